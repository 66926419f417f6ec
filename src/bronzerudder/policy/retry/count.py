"""Baseline: a fixed number of attempts for each request."""

from __future__ import annotations

from bronzerudder.policy.retry.api import (
    RetryAllowance,
    RetryBudget,
    RetryDenial,
    RetryDenialKind,
)

DEFAULT_MAX_ATTEMPTS = 3


class CountBudget(RetryBudget):
    """Allows each request a number of attempts, whatever the others do."""

    def __init__(self, max_attempts: int = DEFAULT_MAX_ATTEMPTS) -> None:
        self._max_attempts = max_attempts

    def record_fresh(self, now_s: float) -> None:
        """Count nothing."""

    def allow(
        self, attempt: int, deadline_s: float, now_s: float, retry_after_s: float = 0.0
    ) -> RetryAllowance | RetryDenial:
        """Allow while attempts are left."""
        if attempt >= self._max_attempts:
            return RetryDenial(RetryDenialKind.TOO_MANY_ATTEMPTS, "no attempts are left")
        return RetryAllowance(retry_after_s)
