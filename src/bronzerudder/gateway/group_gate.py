"""Keeps requests from a group of ranks that does not run.

It answers a group that forms again after a crash or a restart: every rank rejects all requests for
seconds, and each rejection would spend a retry of the budget and of the caller's patience.
"""

from __future__ import annotations

FIRST_CLOSED_S = 0.15
MAX_CLOSED_S = 0.4
GROWTH = 1.5
"""A group forms in some tenths of a second; one probe in this time finds it open soon enough."""
PROBE_TIMEOUT_S = 1.0
"""After this time without a result another probe may go."""
TOLD_S = 0.6
"""Agents tell the state of their rank several times in this time."""


class GroupGate:
    """Open while the group runs; once closed, lets one request through at a time as a probe."""

    def __init__(self) -> None:
        self._closed_until_s = 0.0
        self._told_closed_until_s = 0.0
        self._interval_s = FIRST_CLOSED_S
        self._closed = False
        self._probe_until_s = 0.0

    @property
    def closed(self) -> bool:
        """Whether the group was rejecting requests when last seen."""
        return self._closed

    def admits(self, now_s: float) -> bool:
        """Whether a request may be sent now."""
        if now_s < self._told_closed_until_s:
            return False
        if not self._closed:
            return True
        return now_s >= self._closed_until_s and now_s >= self._probe_until_s

    def note_sent(self, now_s: float) -> None:
        """Note that a request was given a slot; while the gate is closed, it is a probe."""
        if self._closed:
            self._probe_until_s = now_s + PROBE_TIMEOUT_S

    def note_rejected(self, now_s: float) -> bool:
        """Note that a rank rejected a request though it was not full; tell whether it is news."""
        was_closed = self._closed
        self._closed = True
        self._closed_until_s = now_s + self._interval_s
        self._interval_s = min(MAX_CLOSED_S, self._interval_s * GROWTH)
        self._probe_until_s = 0.0
        return not was_closed

    def note_progress(self) -> bool:
        """Note that the group advances; tell whether it is news."""
        was_closed = self._closed
        self._closed = False
        self._interval_s = FIRST_CLOSED_S
        self._closed_until_s = 0.0
        self._probe_until_s = 0.0
        return was_closed

    def note_told(self, is_open: bool, now_s: float) -> bool:
        """Note what an agent tells of its group; tell whether requests may be sent again."""
        if not is_open:
            self._told_closed_until_s = now_s + TOLD_S
            return False
        was_told_closed = self._told_closed_until_s > 0.0
        self._told_closed_until_s = 0.0
        return self.note_progress() or was_told_closed
