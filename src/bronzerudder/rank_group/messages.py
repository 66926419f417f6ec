"""Requests and replies between the agents of a group, as the decisions see them."""

from __future__ import annotations

import enum
from typing import NamedTuple

from bronzerudder.backend_server.rank_api import RankStatus


class Phase(enum.IntEnum):
    """What a request asks for; values are those of the wire format."""

    FLOOR = 1
    PROMISE = 2
    STAGE = 3
    ARM = 4
    RESET = 5
    COMMIT = 6
    ABORT = 7
    RELEASE = 8


class Refusal(enum.IntEnum):
    """Why an agent refused; values are those of the wire format."""

    NONE = 0
    RECOVERING = 1
    STALE_TERM = 2
    WRONG_INCARNATION = 3
    ENGINE = 4
    NOT_STAGED = 5


class GroupRequest(NamedTuple):
    """One request of a proposer to the agent of one rank.

    Parameters
    ----------
    phase : Phase
        What is asked for.
    term : int
        Term of the proposer; unique to one attempt of one rank.
    version : int
        Version of the map that the request concerns: the term that first proposed it.
    step : int
        First step to be run on the map.
    incarnation : int
        Incarnation of the agent that promised the term.
    expert_map : bytes
        The map, for ``STAGE`` and ``RESET``.
    """

    phase: Phase
    term: int
    version: int = 0
    step: int = 0
    incarnation: int = 0
    expert_map: bytes = b""


class GroupReply(NamedTuple):
    """Answer of one agent.

    Parameters
    ----------
    refusal : Refusal
        ``NONE`` when the request was carried out.
    reason : str
        What a person should know about a refusal.
    incarnation : int
        Incarnation of the answering agent.
    promised : int
        Highest term that it has promised.
    aborted : int
        The held version, if the agent knows that it is being aborted.
    status : RankStatus
        State of its engine; only meaningful when nothing was refused.
    """

    refusal: Refusal
    reason: str
    incarnation: int
    promised: int
    aborted: int
    status: RankStatus

    @property
    def accepted(self) -> bool:
        """Whether the request was carried out."""
        return self.refusal is Refusal.NONE
