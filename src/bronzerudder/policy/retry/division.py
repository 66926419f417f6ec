"""How a retry budget is divided among gateways that each know the others only from a list.

A gateway uses its part under a lease: it must have read a list that holds its own entry
`LEASE_S` ago or later, and its entry must have been there for so long that every other gateway
with a lease counts it and has sent nothing by an earlier count in the window. A gateway that has
left the list goes on to count for long after its own lease has ended. So the parts in use never add
up to more than the whole, and a gateway that knows nothing has no part.
"""

from __future__ import annotations

import abc
from collections.abc import Iterable

LEASE_S = 6.0
"""Time for which a list that was read holds; the list is read every 2 s, and two reads may fail."""
FORGET_AFTER_S = 300.0
"""Time for which a gateway counts that is missing from the list. It costs the others its part, and
covers lists that lack gateways for minutes, as from a store that lost their entries."""
SEND_MARGIN_S = 0.5
"""Time that a request may take to a gateway or on to its backend server; one that takes longer was
held up."""


class BudgetDivision(abc.ABC):
    """Decides which part of a budget for all gateways this one may use."""

    @abc.abstractmethod
    def part(self, now_s: float) -> float:
        """Return the fraction of the budget that this gateway may use now; 0 for none."""

    @abc.abstractmethod
    def gateways(self, now_s: float) -> int:
        """Return the number of gateways counted, this one included."""

    @abc.abstractmethod
    def list_age_s(self, now_s: float) -> float:
        """Return the seconds since the list that counts was asked for; infinite without one."""


class LeasedDivision(BudgetDivision):
    """Even parts, used under a lease.

    Parameters
    ----------
    own : str
        Name of this gateway in the list.
    window_s : float
        Window of the budget, in seconds.
    """

    def __init__(self, own: str, window_s: float) -> None:
        self._own = own
        self._window_s = window_s
        self._asked_at_s = float("-inf")
        self._own_listed_since_s: float | None = None
        self._missing_since_s: dict[str, float | None] = {}

    def set_window(self, window_s: float) -> None:
        """Change the window of the budget, in seconds."""
        self._window_s = window_s

    def record_list(self, names: Iterable[str], asked_at_s: float, now_s: float) -> None:
        """Record a list of gateways that was read.

        Parameters
        ----------
        names : iterable of str
            Names of the gateways listed.
        asked_at_s, now_s : float
            Times at which the list was asked for, and was read, in seconds of a clock that also
            counts the time for which the instance is suspended.
        """
        listed = frozenset(names)
        if self._own in listed:
            self._asked_at_s = asked_at_s
            if self._own_listed_since_s is None:
                self._own_listed_since_s = now_s
        else:
            self._own_listed_since_s = None
        for name in listed - {self._own}:
            self._missing_since_s[name] = None
        for name, since_s in list(self._missing_since_s.items()):
            if name in listed:
                continue
            if since_s is None:
                self._missing_since_s[name] = now_s
            elif now_s - since_s >= self._forget_after_s():
                del self._missing_since_s[name]

    def part(self, now_s: float) -> float:
        """Return the fraction that this gateway may use; 0 unless it has a lease."""
        since_s = self._own_listed_since_s
        if since_s is None or now_s - since_s < self._settling_s():
            return 0.0
        if self.list_age_s(now_s) > LEASE_S:
            return 0.0
        return 1.0 / self.gateways(now_s)

    def gateways(self, now_s: float) -> int:
        """Return the number of gateways that may have a part now, or had one in the window."""
        count = 1
        for since_s in self._missing_since_s.values():
            count += since_s is None or now_s - since_s < self._forget_after_s()
        return count

    def list_age_s(self, now_s: float) -> float:
        """Return the seconds since the last list with this gateway's entry was asked for."""
        return now_s - self._asked_at_s

    def _settling_s(self) -> float:
        """Time after a change of the list until no retry counts that was sent by the previous one.

        Leases on the previous list end first, then the window in which they were used.
        """
        return LEASE_S + self._window_s + SEND_MARGIN_S

    def _forget_after_s(self) -> float:
        return max(FORGET_AFTER_S, self._settling_s())
