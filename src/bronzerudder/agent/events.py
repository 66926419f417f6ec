"""What an entry learns about an attempt that it sent to an agent."""

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
    """The answer is whole; ``replayed`` when it was stored by an earlier request."""

    replayed: bool


class Cut(NamedTuple):
    """The attempt ran, or may have run, and its answer is not whole; the wait is in seconds."""

    state: pb.FinishState
    reason: str
    retry_after_s: float = 0.0


class Refused(NamedTuple):
    """Proof that the attempt has not run and never will; the wait is in seconds."""

    reason: pb.RefusalReason
    detail: str
    retry_after_s: float


class Lost(NamedTuple):
    """The agent can not be asked any more; the attempt may have run."""

    reason: str


AnswerEvent = Head | Body | Completed | Cut | Refused | Lost
FINAL_EVENTS = (Completed, Cut, Refused, Lost)
