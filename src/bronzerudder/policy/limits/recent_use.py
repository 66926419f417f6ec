"""Our limiter: each entry's part of a limit follows its part of the route's recent use."""

from __future__ import annotations

import math
import random
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
from bronzerudder.policy.limits.use_counter import RATE_TIME_CONSTANT_S

IDLE_SHARE = 0.05
"""Part of a limit that is kept for entries without recent use, all together."""
DIVIDE_INTERVAL_S = 0.1
"""Least time between two sums over all agents, which cost more than a request's decision."""
CONCURRENCY_RETRY_AFTER_S = 0.5


class _Route:
    def __init__(self, limits: RouteLimits) -> None:
        self.limits = limits
        self.bucket = TokenBucket(limits.rate_rps or 0.0)
        self.running = 0
        self.max_running = 0
        self.uses: dict[str, tuple[RouteUse, float]] = {}
        self.is_outdated = False
        self.divided_at_s = -math.inf


class RecentUseLimiter(RouteLimiter):
    """Divides limits by recent use, without a coordinator.

    Every request of a route passes an agent, so the agents together know the route's use. Each
    tells each entry the total and the entry's own part of it; an entry's part of the limit is its
    part of these sums. The parts add up to the whole limit whatever the traffic; a dead entry's
    part goes to the others as its use decays.

    Parameters
    ----------
    generator : random.Random
        Rounds parts of a place in a concurrency limit up or down.
    entries : int
        Entries assumed until an agent tells how many there are.
    """

    def __init__(self, generator: random.Random, entries: int = 1) -> None:
        self._generator = generator
        self._entries = entries
        self._routes: dict[str, _Route] = {}
        self._told: dict[str, frozenset[str]] = {}

    def configure(self, route: str, limits: RouteLimits) -> None:
        """Set a route's limits; unchanged limits keep their state."""
        known = self._routes.get(route)
        if known is not None and known.limits == limits:
            return
        fresh = _Route(limits)
        fresh.bucket = TokenBucket((limits.rate_rps or 0.0) / self._entries)
        fresh.max_running = math.ceil((limits.concurrency or 0) / self._entries)
        fresh.running = known.running if known is not None else 0
        self._routes[route] = fresh

    def acquire(self, route: str, now_s: float) -> RoutePermit | RouteLimited:
        """Allow one request within the entry's part of the limits."""
        known = self._routes.get(route)
        if known is None:
            return RoutePermit(route)
        if known.is_outdated and now_s - known.divided_at_s >= DIVIDE_INTERVAL_S:
            self._divide(known, now_s)
        if known.limits.concurrency is not None and known.running >= known.max_running:
            return RouteLimited(
                RouteLimitKind.CONCURRENCY,
                "the route is at its concurrency limit",
                CONCURRENCY_RETRY_AFTER_S,
            )
        if known.limits.rate_rps is not None and not known.bucket.take(now_s):
            return RouteLimited(
                RouteLimitKind.RATE,
                "the route is at its rate limit",
                known.bucket.wait_s(now_s),
            )
        known.running += 1
        return RoutePermit(route)

    def release(self, permit: RoutePermit, now_s: float) -> None:
        """Give a permit back."""
        known = self._routes.get(permit.route)
        if known is not None:
            known.running = max(0, known.running - 1)

    def observe(self, agent: str, uses: Sequence[tuple[str, RouteUse]], now_s: float) -> None:
        """Take in what an agent has counted, for each route that the entry uses there."""
        told = dict(uses)
        for name in self._told.get(agent, frozenset()).difference(told):
            self._routes[name].uses.pop(agent, None)
            self._routes[name].is_outdated = True
        known = frozenset(name for name in told if name in self._routes)
        for name in known:
            self._routes[name].uses[agent] = (told[name], now_s)
            self._routes[name].is_outdated = True
        self._told[agent] = known

    def forget(self, agent: str, now_s: float) -> None:
        """Drop the counts of an agent that is gone."""
        self.observe(agent, (), now_s)
        self._told.pop(agent, None)

    def _divide(self, known: _Route, now_s: float) -> None:
        known.is_outdated = False
        known.divided_at_s = now_s
        total_rate = own_rate = 0.0
        total_running = own_running = 0
        for use, told_s in known.uses.values():
            keep = math.exp(-max(0.0, now_s - told_s) / RATE_TIME_CONSTANT_S)
            total_rate += use.total_rate * keep
            own_rate += use.own_rate * keep
            total_running += use.total_running
            own_running += use.own_running
            self._entries = max(1, use.entries)
        if known.limits.rate_rps is not None:
            share = self._find_share(own_rate, total_rate, known.limits.rate_rps)
            known.bucket.set_rate(known.limits.rate_rps * share, now_s)
        if known.limits.concurrency is not None:
            share = self._find_share(own_rate, total_rate, total_rate)
            free = known.limits.concurrency - total_running
            known.max_running = own_running + self._round(free * share)

    def _find_share(self, own_rate: float, total_rate: float, scale: float) -> float:
        idle = IDLE_SHARE * scale
        if total_rate + idle <= 0:
            return 1.0 / self._entries
        return (own_rate + idle / self._entries) / (total_rate + idle)

    def _round(self, places: float) -> int:
        whole = math.floor(places)
        return whole + (self._generator.random() < places - whole)
