"""Refusals of requests, and failures of attempts at backend servers."""

from __future__ import annotations

import enum
from typing import NamedTuple


class RefusalKind(enum.Enum):
    """Why a request was refused; no backend server has run it."""

    NO_CONFIGURATION = "no-configuration"
    STALE_CONFIGURATION = "stale-configuration"
    NO_ROUTE = "no-route"
    WRONG_KEY = "wrong-key"
    QUARANTINED = "quarantined"
    NO_BACKEND_SERVER = "no-backend-server"
    OVERLOADED = "overloaded"
    RATE_LIMITED = "rate-limited"
    DEADLINE_EXCEEDED = "out-of-time"
    NOT_EXECUTED = "not-executed"
    STOPPING = "stopping"


class Refusal(NamedTuple):
    """A request that has not run and will not run.

    Parameters
    ----------
    kind : RefusalKind
        Cause of the refusal.
    reason : str
        Explanation for people.
    retry_after_s : float
        Time after which a retry may succeed, in seconds; 0 when not known.
    """

    kind: RefusalKind
    reason: str
    retry_after_s: float = 0.0


class FailureKind(enum.Enum):
    """How an attempt at a backend server failed."""

    NOT_SENT = "not-sent"
    WITHHELD = "withheld"
    NOT_EXECUTED = "not-executed"
    BROKEN = "broken"
    MALFORMED = "malformed"
    UNRESPONSIVE = "silent"
    ERROR_ANSWER = "error-answer"


class AttemptFailure(NamedTuple):
    """An attempt that did not give the caller a complete answer.

    Parameters
    ----------
    kind : FailureKind
        ``NOT_SENT``, ``WITHHELD`` and ``NOT_EXECUTED`` are proof that the request has not run.
        ``WITHHELD`` means that the backend server announced, after it was chosen, that it takes no
        requests now.
    reason : str
        Explanation for people.
    faulty_address : str
        Backend server at fault, as ``host:port``; empty for the one that was called.
    """

    kind: FailureKind
    reason: str
    faulty_address: str = ""

    @property
    def has_not_run(self) -> bool:
        """Whether the request certainly has not run."""
        return self.kind in (
            FailureKind.NOT_SENT,
            FailureKind.WITHHELD,
            FailureKind.NOT_EXECUTED,
        )
