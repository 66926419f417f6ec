"""What a retry budget is asked, and what it answers."""

from __future__ import annotations

import abc
import enum
from typing import NamedTuple


class RetryDenialKind(enum.Enum):
    """Why a retry may not be made."""

    DEADLINE = "deadline"
    BUDGET_SPENT = "budget-spent"
    TOO_MANY_ATTEMPTS = "too-many-attempts"


class RetryDenial(NamedTuple):
    """The request must not be sent again by this entry."""

    kind: RetryDenialKind
    reason: str


class RetryAllowance(NamedTuple):
    """The request may be sent again after a delay, in seconds."""

    delay_s: float


class RetryBudget(abc.ABC):
    """Limits the retries of one entry towards one pool."""

    @abc.abstractmethod
    def record_fresh(self, now_s: float) -> None:
        """Count a request's first attempt."""

    @abc.abstractmethod
    def allow(
        self, attempt: int, deadline_s: float, now_s: float, retry_after_s: float = 0.0
    ) -> RetryAllowance | RetryDenial:
        """Decide on one more attempt; an allowance is spent by asking.

        Parameters
        ----------
        attempt : int
            Attempts already made, at least 1.
        deadline_s, now_s : float
            Monotonic times in seconds.
        retry_after_s : float
            Time that the refusing agent asked for, in seconds; zero when another backend server
            is tried.
        """
