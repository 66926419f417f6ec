"""What a gateway that is being stopped still takes on, and how it ends what it can't finish."""

from __future__ import annotations

import math

import anyio

from bronzerudder.gateway.errors import Refusal, RefusalKind
from bronzerudder.gateway.tables import Route

MEMORY_S = 30.0
"""Answers of the last one to two of these spans tell how long an answer may take."""
MAX_ROUTES = 1024
"""Bounds memory; the times of further routes are not kept."""


class LongestAnswers:
    """The longest time that an answer of each route took lately, from the request's arrival."""

    def __init__(self) -> None:
        self._current: dict[str, float] = {}
        self._previous: dict[str, float] = {}
        self._since_s = -math.inf

    def record(self, route: str, took_s: float, now_s: float) -> None:
        """Record an answer."""
        if now_s - self._since_s > MEMORY_S:
            self._previous = self._current if now_s - self._since_s < 2 * MEMORY_S else {}
            self._current = {}
            self._since_s = now_s
        if route in self._current or len(self._current) < MAX_ROUTES:
            self._current[route] = max(took_s, self._current.get(route, 0.0))

    def find(self, route: str) -> float:
        """Return the longest time in seconds; 0 if none is known."""
        return max(self._current.get(route, 0.0), self._previous.get(route, 0.0))


class PlannedStop:
    """Refuses requests that can't be answered before the gateway ends, and ends the others in time.

    A request that was sent to a backend server must not be cut off without an answer. So one that
    could not end in time is not sent, while it can still be refused as not run.
    """

    def __init__(self) -> None:
        self._end_s = math.inf
        self._ended = False
        self._longest = LongestAnswers()
        self._running: set[anyio.CancelScope] = set()

    @property
    def ended(self) -> bool:
        """Whether the requests that were running had to be ended."""
        return self._ended

    def begin(self, end_s: float) -> None:
        """Begin to stop; `end_s` is the monotonic time at which running requests are ended."""
        self._end_s = end_s

    def end(self) -> None:
        """End the requests that are running; each is answered as far as that is possible."""
        self._ended = True
        for scope in list(self._running):
            scope.cancel()

    def add(self, scope: anyio.CancelScope) -> None:
        """Add the scope of a request that runs."""
        self._running.add(scope)
        if self._ended:
            scope.cancel()

    def remove(self, scope: anyio.CancelScope) -> None:
        """Remove the scope of a request that has ended."""
        self._running.discard(scope)

    def record_answer(self, route: Route, took_s: float, now_s: float) -> None:
        """Record how long an answer took, in seconds."""
        self._longest.record(route.name, took_s, now_s)

    def find_refusal(self, route: Route, now_s: float) -> Refusal | None:
        """Return why a request must not be sent any more, if there is a reason."""
        if self._end_s == math.inf:
            return None
        needed_s = max(route.objective_s, self._longest.find(route.name))
        if now_s + needed_s <= self._end_s:
            return None
        left_s = max(0.0, self._end_s - now_s)
        reason = f"the gateway stops in {left_s:.1f} s, and answers take up to {needed_s:.1f} s"
        return Refusal(RefusalKind.STOPPING, reason)
