"""Events of an attempt that an entry sent to an agent."""

from __future__ import annotations

from typing import NamedTuple

from bronzerudder.frames import exchange_pb2 as pb


class Head(NamedTuple):
    """Status and headers of the answer."""

    status: int
    headers: tuple[tuple[str, str], ...]


class Body(NamedTuple):
    """The next part of the body."""

    payload: bytes


class Completed(NamedTuple):
    """The answer is complete; ``replayed`` if it was stored by an earlier request."""

    replayed: bool


class Incomplete(NamedTuple):
    """The attempt ran, or may have run, and its answer is incomplete; the wait is in seconds."""

    state: pb.FinishState
    reason: str
    retry_after_s: float = 0.0


class Refused(NamedTuple):
    """Proof that the attempt has not run and never will; the wait is in seconds."""

    reason: pb.RefusalReason
    detail: str
    retry_after_s: float


class Lost(NamedTuple):
    """The agent can no longer report the result; the attempt may have run."""

    reason: str


AnswerEvent = Head | Body | Completed | Incomplete | Refused | Lost
FINAL_EVENTS = (Completed, Incomplete, Refused, Lost)
