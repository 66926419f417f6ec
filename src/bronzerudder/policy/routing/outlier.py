"""Circuit breaker of one backend server, with exponential backoff."""

from __future__ import annotations

from bronzerudder.policy.routing.breaker import Breaker

FAILURES_TO_OPEN = 2
"""A single failure may be caused by the request; two in a row rarely are."""
FIRST_INTERVAL_S = 0.5
"""About the time that a process takes to restart."""
MAX_INTERVAL_S = 8.0
"""A longer interval would leave a recovered backend server idle for too long."""
INTERVAL_GROWTH = 2.0


class OutlierBreaker(Breaker):
    """Opens after consecutive failures, for longer after each, until a request succeeds."""

    def __init__(self) -> None:
        super().__init__(FIRST_INTERVAL_S)
        self._failures = 0
        self._interval_s = FIRST_INTERVAL_S

    @property
    def failures(self) -> int:
        """Failures since the last success."""
        return self._failures

    def record_failure(self, now_s: float, certain: bool = False) -> bool:
        """Count a failure; return whether the breaker is now open.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        certain : bool
            Whether one failure suffices to open the breaker, as a refused connection does.
        """
        self._failures += 1
        if self._failures < FAILURES_TO_OPEN and not certain:
            return False
        self._open_until_s = now_s + self._interval_s
        self._interval_s = min(MAX_INTERVAL_S, self._interval_s * INTERVAL_GROWTH)
        return True

    def record_success(self, now_s: float) -> None:
        """Close the breaker and reset the count of failures."""
        self._failures = 0
        self._interval_s = FIRST_INTERVAL_S
        self.record_progress(now_s)
