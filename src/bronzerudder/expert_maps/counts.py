"""Counters of a rank agent, kept without the metrics library."""

from __future__ import annotations

import enum
from collections import Counter


class CounterName(enum.Enum):
    """Counters of an agent; the values are metric names without their prefix."""

    REPORTS = "posts"
    ORDERS = "orders"
    MAP_CHANGES = "map_changes"
    LOAD_UPDATES = "loads_told"
    REFUSALS = "callers_refused"


class AgentCounts:
    """Counters by result.

    They are plain numbers, as an agent next to its rank must use little memory; `metrics` exports
    them when they are requested.
    """

    def __init__(self) -> None:
        self._counters: dict[CounterName, Counter[str]] = {name: Counter() for name in CounterName}

    def increment(self, name: CounterName, result: str) -> None:
        """Add one to a counter."""
        self._counters[name][result] += 1

    def by_result(self, name: CounterName) -> dict[str, int]:
        """Return the counts so far, by result."""
        return dict(self._counters[name])
