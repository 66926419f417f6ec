"""Outcomes of a request that a gateway did not get answered."""

from __future__ import annotations

import enum
from typing import NamedTuple


class RefusalKind(enum.Enum):
    """Why a request was refused before it was sent to a backend server."""

    NO_CONFIGURATION = "no-configuration"
    STALE_CONFIGURATION = "stale-configuration"
    NO_ROUTE = "no-route"
    WRONG_KEY = "wrong-key"
    QUARANTINED = "quarantined"
    NO_BACKEND_SERVER = "no-backend-server"
    OVERLOADED = "overloaded"
    OUT_OF_TIME = "out-of-time"
    NOT_EXECUTED = "not-executed"


class Refusal(NamedTuple):
    """The request has not run and will not run.

    Parameters
    ----------
    kind : RefusalKind
        Why.
    reason : str
        What a person should know.
    retry_after_s : float
        When it would stand a chance, in seconds; 0 when that is not known.
    """

    kind: RefusalKind
    reason: str
    retry_after_s: float = 0.0


class FailureKind(enum.Enum):
    """How an attempt at a backend server failed."""

    NOT_SENT = "not-sent"
    NOT_EXECUTED = "not-executed"
    BROKEN = "broken"
    MALFORMED = "malformed"
    SILENT = "silent"
    ERROR_ANSWER = "error-answer"


class AttemptFailure(NamedTuple):
    """An attempt that gave the caller no whole answer.

    Parameters
    ----------
    kind : FailureKind
        ``NOT_SENT`` and ``NOT_EXECUTED`` are proof that the request has not run.
    reason : str
        What a person should know.
    faulty_address : str
        Backend server that is to blame, as ``host:port``; empty for the one that was asked.
    """

    kind: FailureKind
    reason: str
    faulty_address: str = ""

    @property
    def has_not_run(self) -> bool:
        """Whether the request certainly has not run."""
        return self.kind in (FailureKind.NOT_SENT, FailureKind.NOT_EXECUTED)
