"""Counts of what an agent beside a rank does."""

from __future__ import annotations

import enum
from collections import Counter


class Counted(enum.Enum):
    """What is counted."""

    POSTS = "posts"
    ORDERS = "orders"
    MAP_CHANGES = "map_changes"
    LOADS_TOLD = "loads_told"


class AgentCounts:
    """Counters by result.

    They are plain numbers, as an agent must stay small beside its rank; `metrics` exports them once
    somebody asks.
    """

    def __init__(self) -> None:
        self._counters: dict[Counted, Counter[str]] = {counted: Counter() for counted in Counted}

    def note(self, counted: Counted, result: str) -> None:
        """Count one more."""
        self._counters[counted][result] += 1

    def by_result(self, counted: Counted) -> dict[str, int]:
        """Numbers so far, by result."""
        return dict(self._counters[counted])
