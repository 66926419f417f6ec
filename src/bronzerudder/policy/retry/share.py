"""Retries as a share of fresh traffic."""

from __future__ import annotations

from bronzerudder.policy.retry.api import (
    RetryAllowance,
    RetryBudget,
    RetryDenial,
    RetryDenialKind,
)

DEFAULT_SHARE = 0.1
DEFAULT_MAX_ATTEMPTS = 3
MAX_SAVED_RETRIES = 20.0
"""Retries saved up at most during quiet times."""
INITIAL_RETRIES = 1.0
MIN_TIME_LEFT_S = 0.05
"""An attempt with less time than this before the deadline is not worth its cost."""


class ShareBudget(RetryBudget):
    """Earns a part of a retry with each fresh request and spends one with each retry.

    Parameters
    ----------
    share : float
        Retries allowed for each fresh request.
    max_attempts : int
        Attempts for any one request, so that one caller can't spend it all.
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
        self._balance = INITIAL_RETRIES

    def record_fresh(self, now_s: float) -> None:
        """Earn a part of a retry."""
        self._balance = min(MAX_SAVED_RETRIES, self._balance + self._share)

    def allow(
        self, attempt: int, deadline_s: float, now_s: float, retry_after_s: float = 0.0
    ) -> RetryAllowance | RetryDenial:
        """Allow a retry that fits the deadline, the attempts and the budget, in this order."""
        if now_s + retry_after_s + self._min_time_left_s > deadline_s:
            return RetryDenial(RetryDenialKind.DEADLINE, "no time is left before the deadline")
        if attempt >= self._max_attempts:
            return RetryDenial(RetryDenialKind.TOO_MANY_ATTEMPTS, "no attempts are left")
        if self._balance < 1.0:
            return RetryDenial(RetryDenialKind.BUDGET_SPENT, "the retry budget is spent")
        self._balance -= 1.0
        return RetryAllowance(retry_after_s)
