"""Counts at an agent how much each entry uses each route."""

from __future__ import annotations

import math
from collections import Counter

from bronzerudder.policy.limits.api import RouteUse

RATE_TIME_CONSTANT_S = 1.0
IDLE_RATE = 0.01
"""Requests per second below which an entry's use of a route is dropped."""


class DecayingRate:
    """An event rate with exponential decay of time constant `RATE_TIME_CONSTANT_S`."""

    def __init__(self) -> None:
        self._value = 0.0
        self._at_s = 0.0

    def add(self, now_s: float) -> None:
        """Count an event."""
        self._value = self.get(now_s) + 1.0 / RATE_TIME_CONSTANT_S
        self._at_s = now_s

    def get(self, now_s: float) -> float:
        """Return the rate in events per second."""
        return self._value * math.exp(-max(0.0, now_s - self._at_s) / RATE_TIME_CONSTANT_S)


class _EntryUse:
    def __init__(self) -> None:
        self.rate = DecayingRate()
        self.running = 0


UNUSED = _EntryUse()


class RouteUseCounter:
    """Counts accepted and running requests by route and entry.

    Every entry gets the counts of every limited route in use at this agent, also of routes that it
    sends to other agents: entries prefer agents of their own failure domain, so one agent may see
    only one entry.
    """

    def __init__(self) -> None:
        self._uses: dict[str, dict[str, _EntryUse]] = {}
        self._connections: Counter[str] = Counter()

    def connect(self, entry: str) -> None:
        """Count a connection of an entry."""
        self._connections[entry] += 1

    def disconnect(self, entry: str) -> None:
        """Count a connection of an entry as ended."""
        self._connections[entry] -= 1
        if self._connections[entry] <= 0:
            del self._connections[entry]

    def begin(self, route: str, entry: str, now_s: float) -> None:
        """Count a request as accepted."""
        use = self._uses.setdefault(route, {}).setdefault(entry, _EntryUse())
        use.rate.add(now_s)
        use.running += 1

    def end(self, route: str, entry: str) -> None:
        """Count an accepted request as ended."""
        self._uses[route][entry].running -= 1

    def describe(self, entry: str, now_s: float) -> list[tuple[str, RouteUse]]:
        """Return the use of each route, to be reported to an entry."""
        described = []
        entries = max(1, len(self._connections))
        for route, by_entry in list(self._uses.items()):
            self._forget_idle(route, now_s)
            if not by_entry:
                continue
            own = by_entry.get(entry, UNUSED)
            described.append((route, _total_use(own, by_entry, entries, now_s)))
        return described

    def _forget_idle(self, route: str, now_s: float) -> None:
        by_entry = self._uses[route]
        for entry, use in list(by_entry.items()):
            if use.running == 0 and use.rate.get(now_s) < IDLE_RATE:
                del by_entry[entry]
        if not by_entry:
            del self._uses[route]


def _total_use(
    own: _EntryUse, by_entry: dict[str, _EntryUse], entries: int, now_s: float
) -> RouteUse:
    return RouteUse(
        sum(use.rate.get(now_s) for use in by_entry.values()),
        own.rate.get(now_s),
        sum(use.running for use in by_entry.values()),
        own.running,
        entries,
    )
