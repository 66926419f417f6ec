"""Holds back requests from a group of ranks that is not running.

While a group re-forms after a crash or a restart, every rank rejects all requests for seconds. Each
rejection would use up retry budget and part of the caller's timeout.
"""

from __future__ import annotations

FIRST_PROBE_INTERVAL_S = 0.15
MAX_PROBE_INTERVAL_S = 0.4
PROBE_INTERVAL_GROWTH = 1.5
"""Interval between probes, in seconds. A group forms within some tenths of a second, and one probe
in each interval finds it running soon enough."""
PROBE_TIMEOUT_S = 1.0
"""Time without a result after which another probe may be sent."""
REPORT_LIFETIME_S = 0.6
"""Lifetime of an agent's report; agents report the state of their rank several times within it."""


class GroupGate:
    """Open while the group runs; once closed, admits one request at a time as a probe."""

    def __init__(self) -> None:
        self._closed_until_s = 0.0
        self._reported_closed_until_s = 0.0
        self._interval_s = FIRST_PROBE_INTERVAL_S
        self._closed = False
        self._probe_until_s = 0.0

    @property
    def closed(self) -> bool:
        """Whether the group was rejecting requests when last seen."""
        return self._closed

    def admits(self, now_s: float) -> bool:
        """Whether a request may be sent now."""
        if now_s < self._reported_closed_until_s:
            return False
        if not self._closed:
            return True
        return now_s >= self._closed_until_s and now_s >= self._probe_until_s

    def record_sent(self, now_s: float) -> None:
        """Record that a request was given a slot; while the gate is closed, it is a probe."""
        if self._closed:
            self._probe_until_s = now_s + PROBE_TIMEOUT_S

    def record_not_sent(self) -> None:
        """Record that the request that was given a slot was not sent, so that another may probe."""
        self._probe_until_s = 0.0

    def record_rejection(self, now_s: float) -> bool:
        """Record a rejection by a rank that was not full; return whether this closed the gate."""
        was_closed = self._closed
        self._closed = True
        self._closed_until_s = now_s + self._interval_s
        self._interval_s = min(MAX_PROBE_INTERVAL_S, self._interval_s * PROBE_INTERVAL_GROWTH)
        self._probe_until_s = 0.0
        return not was_closed

    def record_progress(self) -> bool:
        """Record that the group advances; return whether this opened the gate."""
        was_closed = self._closed
        self._closed = False
        self._interval_s = FIRST_PROBE_INTERVAL_S
        self._closed_until_s = 0.0
        self._probe_until_s = 0.0
        return was_closed

    def on_agent_report(self, is_open: bool, now_s: float) -> bool:
        """Handle an agent's report of its group; return whether it ended a closed state."""
        if not is_open:
            self._reported_closed_until_s = now_s + REPORT_LIFETIME_S
            return False
        was_reported_closed = self._reported_closed_until_s > 0.0
        self._reported_closed_until_s = 0.0
        return self.record_progress() or was_reported_closed
