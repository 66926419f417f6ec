"""Counters of a rank agent, kept without the metrics library."""

from __future__ import annotations

import enum
from collections import Counter


class Counted(enum.Enum):
    """Counters of an agent; the values are metric names without their prefix."""

    POSTS = "posts"
    ORDERS = "orders"
    MAP_CHANGES = "map_changes"
    LOADS_TOLD = "loads_told"


class AgentCounts:
    """Counters by result.

    They are plain numbers, as an agent next to its rank must use little memory; `metrics` exports
    them on the first request.
    """

    def __init__(self) -> None:
        self._counters: dict[Counted, Counter[str]] = {counted: Counter() for counted in Counted}

    def note(self, counted: Counted, result: str) -> None:
        """Add one to a counter."""
        self._counters[counted][result] += 1

    def by_result(self, counted: Counted) -> dict[str, int]:
        """Return the counts so far, by result."""
        return dict(self._counters[counted])
