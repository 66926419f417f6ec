"""Interface of a retry budget."""

from __future__ import annotations

import abc
import enum
from typing import NamedTuple


class RetryDenialKind(enum.Enum):
    """Why a retry is denied."""

    DEADLINE = "deadline"
    BUDGET_SPENT = "budget-spent"
    TOO_MANY_ATTEMPTS = "too-many-attempts"


class RetryDenial(NamedTuple):
    """The request must not be retried by this process."""

    kind: RetryDenialKind
    reason: str


class RetryAllowance(NamedTuple):
    """The request may be retried after a delay in seconds."""

    delay_s: float


class RetryBudget(abc.ABC):
    """Limits the retries of one process to one pool."""

    @abc.abstractmethod
    def record_request(self, now_s: float) -> None:
        """Count a request's first attempt."""

    @abc.abstractmethod
    def allow(
        self, attempt: int, deadline_s: float, now_s: float, retry_after_s: float = 0.0
    ) -> RetryAllowance | RetryDenial:
        """Decide whether to make another attempt; a call that allows it spends budget.

        Parameters
        ----------
        attempt : int
            Attempts already made, at least 1.
        deadline_s, now_s : float
            Monotonic times in seconds.
        retry_after_s : float
            Delay in seconds requested by the agent that refused; zero when the next attempt goes to
            another backend server.
        """
