"""What is known of crashes, and what follows for a request."""

from __future__ import annotations

import enum
from typing import NamedTuple


class CrashReport(NamedTuple):
    """One crash of a backend server.

    Parameters
    ----------
    crash_id : str
        Unique over all agents.
    fingerprints : frozenset of str
        Requests that were running on it.
    expires_at : float
        When it stops to count, in seconds of this process's monotonic clock.
    """

    crash_id: str
    fingerprints: frozenset[str]
    expires_at: float


class Clearance(NamedTuple):
    """A suspect has since run to its end, so these crashes were not its doing."""

    fingerprint: str
    crash_ids: frozenset[str]


class Standing(enum.Enum):
    """How a request stands."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class Verdict(NamedTuple):
    """How a request stands, and when a refused one may come back.

    Parameters
    ----------
    standing : Standing
        ``SUSPECT`` means it may run, but not beside another suspect.
    crash_ids : frozenset of str
        Crashes that are held against it.
    retry_after_s : float
        Time left of its quarantine, in seconds; 0 for others.
    """

    standing: Standing
    crash_ids: frozenset[str] = frozenset()
    retry_after_s: float = 0.0


CLEAR = Verdict(Standing.CLEAR)
