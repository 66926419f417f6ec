"""Event loop of a discrete-event simulation in virtual time."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class Clock:
    """Runs scheduled calls in order of time; virtual time advances only between calls."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._calls: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = itertools.count()

    def at(self, time_s: float, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call for a time, in seconds."""
        heapq.heappush(self._calls, (time_s, next(self._order), call, arguments))

    def after(self, delay_s: float, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call after a delay, in seconds."""
        self.at(self.now_s + delay_s, call, *arguments)

    def run_until(self, end_s: float) -> None:
        """Run every call due before `end_s`."""
        while self._calls and self._calls[0][0] < end_s:
            self.now_s, _, call, arguments = heapq.heappop(self._calls)
            call(*arguments)
        self.now_s = end_s
