"""Outcomes of callers' requests, and their HTTP status codes."""

from __future__ import annotations

import enum
from typing import NamedTuple

from bronzerudder.agent import Incomplete, Lost, Refused
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
    """Whether the request has run, as far as the caller may rely on it."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Outcome(NamedTuple):
    """The result of a request, reported to its caller exactly once.

    Parameters
    ----------
    kind : OutcomeKind
        ``NOT_RUN`` only if it is proven that no backend server has run the request.
    status : int
        HTTP status to answer with if no answer has been started.
    reason : str
        Explanation for the caller.
    retry_after_s : float
        When to retry, in seconds; 0 if a retry does not help.
    replayed : bool
        Whether the answer was stored by an earlier request with the same idempotency key.
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

# Refusals that do not indicate overload: a retry elsewhere adds no load, so it spends no budget.
UNBUDGETED_REFUSALS = frozenset(
    (
        pb.REFUSAL_REASON_UNSPECIFIED,
        pb.REFUSAL_REASON_CANCELLED,
        pb.REFUSAL_REASON_LEAVING,
        pb.REFUSAL_REASON_WRONG_INCARNATION,
        pb.REFUSAL_REASON_BACKEND_DOWN,
        pb.REFUSAL_REASON_WRONG_OWNER,
    )
)
# The request did not reach the agent, or reached another incarnation of it: the same backend server
# may be tried again.
UNDELIVERED_REFUSALS = frozenset(
    (
        pb.REFUSAL_REASON_UNSPECIFIED,
        pb.REFUSAL_REASON_CANCELLED,
        pb.REFUSAL_REASON_WRONG_INCARNATION,
    )
)
RETRYABLE_REFUSALS = UNBUDGETED_REFUSALS | {pb.REFUSAL_REASON_QUEUE_FULL}


def describe_refusal(refused: Refused) -> Outcome:
    """Convert an agent's refusal to an outcome."""
    name = pb.RefusalReason.Name(refused.reason).removeprefix("REFUSAL_REASON_")
    reason = name.lower().replace("_", " ")
    detail = f"{reason}: {refused.detail}" if refused.detail else reason
    status = _REFUSAL_STATUS.get(refused.reason, STATUS_UNAVAILABLE)
    return Outcome(OutcomeKind.NOT_RUN, status, detail, refused.retry_after_s)


def describe_incomplete(event: Incomplete | Lost) -> Outcome:
    """Convert an incomplete or lost answer to an outcome."""
    retry_after_s = event.retry_after_s if isinstance(event, Incomplete) else 0.0
    return Outcome(OutcomeKind.UNKNOWN, STATUS_BAD_GATEWAY, event.reason, retry_after_s)
