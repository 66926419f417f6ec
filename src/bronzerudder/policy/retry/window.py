"""Retries as a share of the requests of a sliding window."""

from __future__ import annotations

import collections

from bronzerudder.policy.retry.api import (
    RetryAllowance,
    RetryBudget,
    RetryDenial,
    RetryDenialKind,
)

MIN_TIME_LEFT_S = 0.05
"""An attempt with less time than this before the deadline is not worth its cost."""


class WindowBudget(RetryBudget):
    """Allows retries up to a share of a window's requests and a fixed number besides.

    Parameters
    ----------
    share : float
        Retries for each request of the window.
    extra : float
        Retries of a window besides, this gateway's part of what all of them may use.
    window_s : float
        Length of the window in seconds.
    """

    def __init__(self, share: float, extra: float, window_s: float) -> None:
        self._share = share
        self._extra = extra
        self._window_s = window_s
        self._fresh: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def set_terms(self, share: float, extra: float, window_s: float) -> None:
        """Change the terms, as settings change and gateways come and go."""
        self._share = share
        self._extra = extra
        self._window_s = window_s

    def left(self, now_s: float) -> float:
        """Retries that may be made now."""
        self._expire(now_s)
        return self._share * len(self._fresh) + self._extra - len(self._retries)

    def record_fresh(self, now_s: float) -> None:
        """Count a request's first attempt."""
        self._fresh.append(now_s)

    def allow(
        self, attempt: int, deadline_s: float, now_s: float, retry_after_s: float = 0.0
    ) -> RetryAllowance | RetryDenial:
        """Allow a retry that fits the deadline and the window."""
        if now_s + retry_after_s + MIN_TIME_LEFT_S > deadline_s:
            return RetryDenial(RetryDenialKind.DEADLINE, "no time is left before the deadline")
        if self.left(now_s) < 1.0:
            return RetryDenial(RetryDenialKind.BUDGET_SPENT, "the retry budget is spent")
        self._retries.append(now_s)
        return RetryAllowance(retry_after_s)

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for times in (self._fresh, self._retries):
            while times and times[0] <= oldest_s:
                times.popleft()
