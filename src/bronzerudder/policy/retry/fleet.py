"""Retry budget for all gateways together, of which each keeps its own account."""

from __future__ import annotations

import collections
from typing import NamedTuple

from bronzerudder.policy.retry.api import RetryDenial, RetryDenialKind
from bronzerudder.policy.retry.division import SEND_MARGIN_S, BudgetDivision

MIN_TIME_LEFT_S = 0.05
"""Minimum time before the deadline for an attempt to be worth its cost."""
ONE_RETRY = 1.0 - 1e-9
"""Fractions that were added up may miss a whole retry by rounding."""
BUDGET_SPENT = "the retry budget is spent"
EARNED_FRACTION = 0.5
"""Part of the share that a request earns. A retry is sent in the window of the request that earned
it or in the next one, so a window sees at most what two windows of requests have earned."""
SLICE_S = 0.1
"""Requests of this time are kept as one amount, so that memory does not grow with their rate."""


class _Amount(NamedTuple):
    at_s: float
    retries: float


class FleetRetryBudget:
    """Bounds the retries that all gateways send to a service, without asking any of them.

    Two accounts, both empty when a gateway starts:

    - Each request earns half of `share`, valid for one window. All requests of two successive
      windows so earn no more than `share` for each of one window, whichever gateways they reach
      and whether these restart or not.
    - This gateway's part of `extra` in each window, while it has one.

    A retry is charged when it is sent. One that was decided on and waits has a place reserved, but
    no claim on what is valid now.

    Parameters
    ----------
    share : float
        Retries of all gateways per request, in a window.
    extra : float
        Retries in addition, in a window.
    window_s : float
        Length of the window in seconds.
    division : BudgetDivision
        Divides `extra` among the gateways.

    Notes
    -----
    Times are seconds of a clock that also counts the time for which the instance is suspended.
    """

    def __init__(
        self, share: float, extra: float, window_s: float, division: BudgetDivision
    ) -> None:
        self._share = share
        self._extra = extra
        self._window_s = window_s
        self._division = division
        self._earned: collections.deque[_Amount] = collections.deque()
        self._lent: collections.deque[_Amount] = collections.deque()
        self._sent: collections.deque[float] = collections.deque()
        self._waiting = 0

    @property
    def waiting(self) -> int:
        """Retries that were decided on and are not sent yet."""
        return self._waiting

    def set_limits(self, share: float, extra: float, window_s: float) -> None:
        """Replace the limits when settings change."""
        self._share = share
        self._extra = extra
        self._window_s = window_s

    def spent(self, now_s: float) -> int:
        """Return the number of retries sent in the window that ends now."""
        self._expire(now_s)
        return len(self._sent)

    def remaining(self, now_s: float) -> float:
        """Return the number of retries that may be sent now, those that wait included."""
        self._expire(now_s)
        return sum(amount.retries for amount in self._earned) + self._lendable(now_s)

    def record_request(self, now_s: float) -> None:
        """Count a request's first attempt."""
        self._expire(now_s)
        earned = EARNED_FRACTION * self._share
        if self._earned and now_s - self._earned[-1].at_s < SLICE_S:
            last = self._earned.pop()
            self._earned.append(last._replace(retries=last.retries + earned))
            return
        self._earned.append(_Amount(now_s, earned))

    def reserve(self, time_left_s: float, now_s: float) -> RetryDenial | None:
        """Reserve a place for a retry, to be sent or released; return why it is denied, if it is.

        Parameters
        ----------
        time_left_s, now_s : float
            Time until the deadline of the request, and the present time.
        """
        if time_left_s < MIN_TIME_LEFT_S:
            return RetryDenial(RetryDenialKind.DEADLINE, "no time is left before the deadline")
        if self.remaining(now_s) - self._waiting < ONE_RETRY:
            return RetryDenial(RetryDenialKind.BUDGET_SPENT, BUDGET_SPENT)
        self._waiting += 1
        return None

    def release(self) -> None:
        """Release the place of a retry that is not sent."""
        self._waiting -= 1

    def spend(self, now_s: float) -> RetryDenial | None:
        """Charge a retry that has a place and is about to be sent; return why it is denied.

        The place is given up if it is sent, and kept if it is denied.
        """
        if self.remaining(now_s) < ONE_RETRY:
            return RetryDenial(RetryDenialKind.BUDGET_SPENT, BUDGET_SPENT)
        self._waiting -= 1
        missing = 1.0
        while self._earned and missing > 0.0:
            oldest = self._earned.popleft()
            used = min(oldest.retries, missing)
            missing -= used
            if used < oldest.retries:
                self._earned.appendleft(oldest._replace(retries=oldest.retries - used))
        if missing > 0.0:
            self._lent.append(_Amount(now_s, missing))
        self._sent.append(now_s)
        return None

    def _lendable(self, now_s: float) -> float:
        part = self._division.part(now_s)
        return max(0.0, part * self._extra - sum(amount.retries for amount in self._lent))

    def _expire(self, now_s: float) -> None:
        # A retry may arrive later than it is charged, and a request may have been sent earlier than
        # it was received, so both accounts keep away from the edges of the window.
        earned_since_s = now_s - self._window_s + 2 * SEND_MARGIN_S
        while self._earned and self._earned[0].at_s <= earned_since_s:
            self._earned.popleft()
        lent_since_s = now_s - self._window_s - SEND_MARGIN_S
        while self._lent and self._lent[0].at_s <= lent_since_s:
            self._lent.popleft()
        while self._sent and self._sent[0] <= now_s - self._window_s:
            self._sent.popleft()
