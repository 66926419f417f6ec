"""Crash reports, clearances and the verdicts on requests."""

from __future__ import annotations

import enum
from typing import NamedTuple


class CrashReport(NamedTuple):
    """One crash of a backend server.

    Parameters
    ----------
    crash_id : str
        Identifies the crash among all processes.
    fingerprints : frozenset of str
        Requests that were running on the backend server.
    expires_at : float
        When the report expires, in seconds of this process's monotonic clock.
    """

    crash_id: str
    fingerprints: frozenset[str]
    expires_at: float


class Clearance(NamedTuple):
    """Clears a suspect of these crashes, because it has since run to completion."""

    fingerprint: str
    crash_ids: frozenset[str]


class QuarantineState(enum.Enum):
    """Quarantine state of a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class Verdict(NamedTuple):
    """Quarantine state of a request, and when a quarantined one may be retried.

    Parameters
    ----------
    quarantine_state : QuarantineState
        ``SUSPECT`` means that it may run, but not concurrently with another suspect.
    crash_ids : frozenset of str
        Crashes attributed to the request.
    retry_after_s : float
        Remaining quarantine in seconds; 0 when not quarantined.
    """

    quarantine_state: QuarantineState
    crash_ids: frozenset[str] = frozenset()
    retry_after_s: float = 0.0


CLEAR = Verdict(QuarantineState.CLEAR)
