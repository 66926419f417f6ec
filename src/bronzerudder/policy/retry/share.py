"""Retry budget as a fraction of first attempts."""

from __future__ import annotations

from bronzerudder.policy.retry.api import (
    RetryAllowance,
    RetryBudget,
    RetryDenial,
    RetryDenialKind,
)

DEFAULT_SHARE = 0.1
DEFAULT_MAX_ATTEMPTS = 3
MAX_BALANCE = 20.0
"""Maximum number of retries that can accumulate while few are made."""
INITIAL_BALANCE = 1.0
MIN_TIME_LEFT_S = 0.05
"""Minimum time before the deadline for an attempt to be worth its cost."""


class ShareBudget(RetryBudget):
    """Token bucket of retries: each first attempt adds `share`, each retry spends one.

    Parameters
    ----------
    share : float
        Retries earned by each first attempt.
    max_attempts : int
        Maximum attempts per request, so that one request can't spend the whole budget.
    min_time_left_s : float
        Time before the deadline below which no attempt is made.
    """

    def __init__(
        self,
        share: float = DEFAULT_SHARE,
        max_attempts: int = DEFAULT_MAX_ATTEMPTS,
        min_time_left_s: float = MIN_TIME_LEFT_S,
    ) -> None:
        self._share = share
        self._max_attempts = max_attempts
        self._min_time_left_s = min_time_left_s
        self._balance = INITIAL_BALANCE

    def record_request(self, now_s: float) -> None:
        """Add a first attempt's share of a retry to the balance."""
        self._balance = min(MAX_BALANCE, self._balance + self._share)

    def allow(
        self, attempt: int, deadline_s: float, now_s: float, retry_after_s: float = 0.0
    ) -> RetryAllowance | RetryDenial:
        """Check the deadline, the number of attempts and the budget, in this order."""
        if now_s + retry_after_s + self._min_time_left_s > deadline_s:
            return RetryDenial(RetryDenialKind.DEADLINE, "no time is left before the deadline")
        if attempt >= self._max_attempts:
            return RetryDenial(RetryDenialKind.TOO_MANY_ATTEMPTS, "no attempts are left")
        if self._balance < 1.0:
            return RetryDenial(RetryDenialKind.BUDGET_SPENT, "the retry budget is spent")
        self._balance -= 1.0
        return RetryAllowance(retry_after_s)
