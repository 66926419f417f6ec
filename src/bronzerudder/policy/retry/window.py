"""Retry budget as a fraction of the first attempts in a sliding window."""

from __future__ import annotations

import collections

from bronzerudder.policy.retry.api import (
    RetryAllowance,
    RetryBudget,
    RetryDenial,
    RetryDenialKind,
)

MIN_TIME_LEFT_S = 0.05
"""Minimum time before the deadline for an attempt to be worth its cost."""


class WindowBudget(RetryBudget):
    """Allows retries up to a fraction of the window's first attempts plus a fixed number.

    Parameters
    ----------
    share : float
        Retries allowed per first attempt in the window.
    extra : float
        Additional retries per window: this gateway's share of the number for all gateways.
    window_s : float
        Length of the window in seconds.
    """

    def __init__(self, share: float, extra: float, window_s: float) -> None:
        self._share = share
        self._extra = extra
        self._window_s = window_s
        self._first_attempts: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def set_limits(self, share: float, extra: float, window_s: float) -> None:
        """Replace the limits when settings or the number of gateways change."""
        self._share = share
        self._extra = extra
        self._window_s = window_s

    def spent(self, now_s: float) -> int:
        """Return the number of retries made in the window that ends now."""
        self._expire(now_s)
        return len(self._retries)

    def allowed(self, now_s: float) -> float:
        """Return the number of retries that the window that ends now allows."""
        self._expire(now_s)
        return self._share * len(self._first_attempts) + self._extra

    def remaining(self, now_s: float) -> float:
        """Return the number of retries that may be made now."""
        return self.allowed(now_s) - self.spent(now_s)

    def record_request(self, now_s: float) -> None:
        """Count a request's first attempt."""
        self._first_attempts.append(now_s)

    def allow(
        self, attempt: int, deadline_s: float, now_s: float, retry_after_s: float = 0.0
    ) -> RetryAllowance | RetryDenial:
        """Check the deadline, then the budget of the window."""
        if now_s + retry_after_s + MIN_TIME_LEFT_S > deadline_s:
            return RetryDenial(RetryDenialKind.DEADLINE, "no time is left before the deadline")
        if self.remaining(now_s) < 1.0:
            return RetryDenial(RetryDenialKind.BUDGET_SPENT, "the retry budget is spent")
        self._retries.append(now_s)
        return RetryAllowance(retry_after_s)

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for times in (self._first_attempts, self._retries):
            while times and times[0] <= oldest_s:
                times.popleft()
