"""Errors of calls between the agents of a group."""

from __future__ import annotations

from typing import NamedTuple


class PeerError(NamedTuple):
    """A rank's agent gave no answer; the request may or may not have been carried out."""

    rank: int
    reason: str
