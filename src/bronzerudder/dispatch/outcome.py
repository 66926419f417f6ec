"""How a caller's request ended."""

from __future__ import annotations

import enum
from typing import NamedTuple

from bronzerudder.agent import Cut, Lost, Refused
from bronzerudder.frames import exchange_pb2 as pb

STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_UNPROCESSABLE = 422
STATUS_TOO_MANY_REQUESTS = 429
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504


class OutcomeKind(enum.Enum):
    """What the caller may rely on."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Outcome(NamedTuple):
    """The end of a request, told to its caller exactly once.

    Parameters
    ----------
    kind : OutcomeKind
        ``NOT_RUN`` is said only with proof.
    status : int
        HTTP status of the answer where none has been begun.
    reason : str
        What a person should know.
    retry_after_s : float
        When to come back, in seconds; 0 where coming back does not help.
    replayed : bool
        Whether the answer was stored by an earlier request with the same key.
    """

    kind: OutcomeKind
    status: int
    reason: str = ""
    retry_after_s: float = 0.0
    replayed: bool = False


_REFUSAL_STATUS = {
    pb.REFUSAL_REASON_DEADLINE: STATUS_UNAVAILABLE,
    pb.REFUSAL_REASON_CANCELLED: STATUS_TIMEOUT,
    pb.REFUSAL_REASON_QUARANTINED: STATUS_UNPROCESSABLE,
    pb.REFUSAL_REASON_DUPLICATE: STATUS_CONFLICT,
    pb.REFUSAL_REASON_INVALID: STATUS_BAD_REQUEST,
    pb.REFUSAL_REASON_KEY_REUSED: STATUS_UNPROCESSABLE,
    pb.REFUSAL_REASON_SHARE_EXCEEDED: STATUS_TOO_MANY_REQUESTS,
}

# Refusals that say nothing about load: going elsewhere costs no backend server anything.
FREE_REFUSALS = frozenset(
    (
        pb.REFUSAL_REASON_UNSPECIFIED,
        pb.REFUSAL_REASON_CANCELLED,
        pb.REFUSAL_REASON_LEAVING,
        pb.REFUSAL_REASON_WRONG_INCARNATION,
        pb.REFUSAL_REASON_BACKEND_DOWN,
        pb.REFUSAL_REASON_WRONG_OWNER,
    )
)
# The request never arrived where it was meant to; the same backend server may be tried again.
STRAY_REFUSALS = frozenset(
    (
        pb.REFUSAL_REASON_UNSPECIFIED,
        pb.REFUSAL_REASON_CANCELLED,
        pb.REFUSAL_REASON_WRONG_INCARNATION,
    )
)
RETRYABLE_REFUSALS = FREE_REFUSALS | {pb.REFUSAL_REASON_QUEUE_FULL}


def describe_refusal(refused: Refused) -> Outcome:
    """Turn an agent's refusal into an outcome."""
    name = pb.RefusalReason.Name(refused.reason).removeprefix("REFUSAL_REASON_")
    reason = name.lower().replace("_", " ")
    detail = f"{reason}: {refused.detail}" if refused.detail else reason
    status = _REFUSAL_STATUS.get(refused.reason, STATUS_UNAVAILABLE)
    return Outcome(OutcomeKind.NOT_RUN, status, detail, refused.retry_after_s)


def describe_loss(event: Cut | Lost) -> Outcome:
    """Turn an answer that is not whole into an outcome."""
    retry_after_s = event.retry_after_s if isinstance(event, Cut) else 0.0
    return Outcome(OutcomeKind.UNKNOWN, STATUS_BAD_GATEWAY, event.reason, retry_after_s)
