"""Requests and replies between the agents of a group, independent of their wire form."""

from __future__ import annotations

import enum
from typing import NamedTuple

from bronzerudder.backend_server.rank_api import RankStatus


class Phase(enum.IntEnum):
    """Request types; values are those of the wire format.

    ``FLOOR`` reads the promised term. ``PROMISE`` makes an agent refuse lower terms from then on.
    ``STAGE`` loads the weights of a map. ``ARM`` makes the engine hold before a step until the
    version is activated or released. ``COMMIT`` activates a held version. ``ABORT`` marks a version
    as not to be committed, and only then ``RELEASE`` ends its hold. ``RESET`` drops all maps and
    holds before a step until a new one is activated.
    """

    FLOOR = 1
    PROMISE = 2
    STAGE = 3
    ARM = 4
    RESET = 5
    COMMIT = 6
    ABORT = 7
    RELEASE = 8


class Refusal(enum.IntEnum):
    """Why an agent refused a request; values are those of the wire format."""

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
        Type of the request.
    term : int
        Term of the proposer; no two attempts share one.
    version : int
        Version of the map that the request concerns: the term that first proposed it.
    step : int
        First step to run on the map.
    incarnation : int
        Incarnation of the agent that promised the term; another one refuses, as it doesn't know
        what was promised.
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
        Explanation of a refusal.
    incarnation : int
        Incarnation of the answering agent.
    promised : int
        Highest term that it has promised.
    aborted : int
        The held version, if it is marked as aborted.
    status : RankStatus
        State of its engine; meaningful only if the request was accepted.
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
