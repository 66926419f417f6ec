"""Circuit breaker of one backend server, with a slow way back in."""

from __future__ import annotations

from bronzerudder.policy.routing.breaker import Breaker

FAILURES_TO_OPEN = 2
"""One failure may be the request's own fault; two in a row seldom are."""
FIRST_INTERVAL_S = 0.5
"""A restarted process is back in about this time."""
MAX_INTERVAL_S = 8.0
"""Longer would keep a recovered backend server idle for many requests' time."""
GROWTH = 2.0


class OutlierBreaker(Breaker):
    """Opens after consecutive failures, each time for longer, until an answer succeeds."""

    def __init__(self) -> None:
        super().__init__(FIRST_INTERVAL_S)
        self._failures = 0
        self._interval_s = FIRST_INTERVAL_S

    @property
    def failures(self) -> int:
        """Failures since the last success."""
        return self._failures

    def record_failure(self, now_s: float, certain: bool = False) -> bool:
        """Count a failure; tell whether the breaker is open now.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        certain : bool
            Whether one failure is proof enough, as a refused connection is.
        """
        self._failures += 1
        if self._failures < FAILURES_TO_OPEN and not certain:
            return False
        self._open_until_s = now_s + self._interval_s
        self._interval_s = min(MAX_INTERVAL_S, self._interval_s * GROWTH)
        return True

    def record_success(self, now_s: float) -> None:
        """Close the breaker and forget the failures."""
        self._failures = 0
        self._interval_s = FIRST_INTERVAL_S
        self.record_progress(now_s)
