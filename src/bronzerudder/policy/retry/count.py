"""Baseline retry budget: a fixed number of attempts per request."""

from __future__ import annotations

from bronzerudder.policy.retry.api import (
    RetryAllowance,
    RetryBudget,
    RetryDenial,
    RetryDenialKind,
)

DEFAULT_MAX_ATTEMPTS = 3


class CountBudget(RetryBudget):
    """Allows each request a fixed number of attempts, independent of other requests."""

    def __init__(self, max_attempts: int = DEFAULT_MAX_ATTEMPTS) -> None:
        self._max_attempts = max_attempts

    def record_request(self, now_s: float) -> None:
        """Do nothing: attempts are limited per request."""

    def allow(
        self, attempt: int, deadline_s: float, now_s: float, retry_after_s: float = 0.0
    ) -> RetryAllowance | RetryDenial:
        """Allow a retry while the request has attempts left."""
        if attempt >= self._max_attempts:
            return RetryDenial(RetryDenialKind.TOO_MANY_ATTEMPTS, "no attempts are left")
        return RetryAllowance(retry_after_s)
