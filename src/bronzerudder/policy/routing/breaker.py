"""Circuit breaker shared by the ranks of a group."""

from __future__ import annotations

OPEN_INTERVAL_S = 1.0
"""Time without new work after a stall was seen, before it may be tried again."""


class Breaker:
    """Stops new work to a group of ranks that takes no steps, and tries again after a while."""

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
        """Note that a rank of the group took no step in time."""
        self._open_until_s = now_s + self._open_interval_s

    def record_progress(self, now_s: float) -> None:
        """Note that the group took a step, so that work flows again."""
        self._open_until_s = None
