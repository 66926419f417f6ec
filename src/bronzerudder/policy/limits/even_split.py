"""Baseline limiter: every entry gets an equal share of each limit."""

from __future__ import annotations

from collections.abc import Sequence

from bronzerudder.policy.limits.api import (
    RouteLimited,
    RouteLimiter,
    RouteLimitKind,
    RouteLimits,
    RoutePermit,
    RouteUse,
)
from bronzerudder.policy.limits.bucket import TokenBucket

CONCURRENCY_RETRY_AFTER_S = 1.0


class EvenSplitLimiter(RouteLimiter):
    """Divides each limit by the number of entries.

    Parameters
    ----------
    entries : int
        Number of live entries.
    """

    def __init__(self, entries: int) -> None:
        self._entries = entries
        self._limits: dict[str, RouteLimits] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._running: dict[str, int] = {}

    def configure(self, route: str, limits: RouteLimits) -> None:
        """Set a route's limits; unchanged limits keep their state."""
        if self._limits.get(route) == limits:
            return
        self._limits[route] = limits
        self._buckets.pop(route, None)
        if limits.rate_rps is not None:
            self._buckets[route] = TokenBucket(limits.rate_rps / self._entries)

    def acquire(self, route: str, now_s: float) -> RoutePermit | RouteLimited:
        """Allow one request within the entry's share."""
        limits = self._limits.get(route, RouteLimits())
        running = self._running.get(route, 0)
        if limits.concurrency is not None and running >= limits.concurrency / self._entries:
            return RouteLimited(
                RouteLimitKind.CONCURRENCY,
                "the route is at its concurrency limit",
                CONCURRENCY_RETRY_AFTER_S,
            )
        bucket = self._buckets.get(route)
        if bucket is not None and not bucket.take(now_s):
            return RouteLimited(
                RouteLimitKind.RATE, "the route is at its rate limit", bucket.wait_s(now_s)
            )
        self._running[route] = running + 1
        return RoutePermit(route)

    def release(self, permit: RoutePermit, now_s: float) -> None:
        """Return a permit."""
        self._running[permit.route] = max(0, self._running.get(permit.route, 0) - 1)

    def observe(self, agent: str, uses: Sequence[tuple[str, RouteUse]], now_s: float) -> None:
        """Do nothing: the split is fixed."""

    def forget(self, agent: str, now_s: float) -> None:
        """Do nothing: the split is fixed."""
