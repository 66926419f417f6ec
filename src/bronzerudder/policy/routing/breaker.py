"""Circuit breaker shared by the ranks of a group."""

from __future__ import annotations

OPEN_INTERVAL_S = 1.0
"""Time after a stall during which no new work is sent, in seconds."""


class Breaker:
    """Stops new work to a stalled group of ranks for an interval after each stall."""

    def __init__(self, open_interval_s: float = OPEN_INTERVAL_S) -> None:
        self._open_interval_s = open_interval_s
        self._open_until_s: float | None = None

    def allows(self, now_s: float) -> bool:
        """Whether a request may be sent."""
        return self._open_until_s is None or now_s >= self._open_until_s

    def retry_after_s(self, now_s: float) -> float:
        """Seconds until a request may be sent."""
        if self._open_until_s is None:
            return 0.0
        return max(0.0, self._open_until_s - now_s)

    def record_stall(self, now_s: float) -> None:
        """Open the breaker: a rank of the group took no step in time."""
        self._open_until_s = now_s + self._open_interval_s

    def record_progress(self, now_s: float) -> None:
        """Close the breaker: the group took a step."""
        self._open_until_s = None
