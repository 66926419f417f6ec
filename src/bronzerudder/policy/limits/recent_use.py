"""Route limiter that gives each entry a share of a limit in proportion to its recent use."""

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

IDLE_FRACTION = 0.05
"""Fraction of a limit reserved for all entries without recent use together."""
MIN_UPDATE_INTERVAL_S = 0.1
"""Minimum time between two sums over all agents, which cost more than a request's decision."""
CONCURRENCY_RETRY_AFTER_S = 0.5


class _RouteState:
    def __init__(self, limits: RouteLimits) -> None:
        self.limits = limits
        self.bucket = TokenBucket(limits.rate_rps or 0.0)
        self.running = 0
        self.max_running = 0
        self.uses: dict[str, tuple[RouteUse, float]] = {}
        self.is_stale = False
        self.computed_at_s = -math.inf


class RecentUseLimiter(RouteLimiter):
    """Divides limits by recent use, without a coordinator.

    Every request of a route passes an agent, so the agents together count all use of the route.
    Each reports to each entry the total use and the entry's own. An entry's share of the limit is
    its own use divided by the total, each summed over the agents. The shares add up to the limit
    whatever the traffic; the share of a failed entry passes to the others as its use decays.

    Parameters
    ----------
    generator : random.Random
        Rounds fractional shares of a concurrency limit up or down.
    entries : int
        Number of entries assumed until an agent reports it.
    """

    def __init__(self, generator: random.Random, entries: int = 1) -> None:
        self._generator = generator
        self._entries = entries
        self._routes: dict[str, _RouteState] = {}
        self._reported_routes: dict[str, frozenset[str]] = {}

    def configure(self, route: str, limits: RouteLimits) -> None:
        """Set a route's limits; unchanged limits keep their state."""
        state = self._routes.get(route)
        if state is not None and state.limits == limits:
            return
        fresh = _RouteState(limits)
        fresh.bucket = TokenBucket((limits.rate_rps or 0.0) / self._entries)
        fresh.max_running = math.ceil((limits.concurrency or 0) / self._entries)
        fresh.running = state.running if state is not None else 0
        self._routes[route] = fresh

    def acquire(self, route: str, now_s: float) -> RoutePermit | RouteLimited:
        """Allow one request within the entry's share of the limits."""
        state = self._routes.get(route)
        if state is None:
            return RoutePermit(route)
        if state.is_stale and now_s - state.computed_at_s >= MIN_UPDATE_INTERVAL_S:
            self._update_shares(state, now_s)
        if state.limits.concurrency is not None and state.running >= state.max_running:
            return RouteLimited(
                RouteLimitKind.CONCURRENCY,
                "the route is at its concurrency limit",
                CONCURRENCY_RETRY_AFTER_S,
            )
        if state.limits.rate_rps is not None and not state.bucket.take(now_s):
            return RouteLimited(
                RouteLimitKind.RATE,
                "the route is at its rate limit",
                state.bucket.wait_s(now_s),
            )
        state.running += 1
        return RoutePermit(route)

    def release(self, permit: RoutePermit, now_s: float) -> None:
        """Return a permit."""
        state = self._routes.get(permit.route)
        if state is not None:
            state.running = max(0, state.running - 1)

    def observe(self, agent: str, uses: Sequence[tuple[str, RouteUse]], now_s: float) -> None:
        """Record an agent's report, which replaces its previous one."""
        reported = dict(uses)
        for name in self._reported_routes.get(agent, frozenset()).difference(reported):
            self._routes[name].uses.pop(agent, None)
            self._routes[name].is_stale = True
        known = frozenset(name for name in reported if name in self._routes)
        for name in known:
            self._routes[name].uses[agent] = (reported[name], now_s)
            self._routes[name].is_stale = True
        self._reported_routes[agent] = known

    def forget(self, agent: str, now_s: float) -> None:
        """Drop the counts of an agent that has left."""
        self.observe(agent, (), now_s)
        self._reported_routes.pop(agent, None)

    def _update_shares(self, state: _RouteState, now_s: float) -> None:
        state.is_stale = False
        state.computed_at_s = now_s
        total_rate = own_rate = 0.0
        total_running = own_running = 0
        for use, reported_at_s in state.uses.values():
            decay = math.exp(-max(0.0, now_s - reported_at_s) / RATE_TIME_CONSTANT_S)
            total_rate += use.total_rate * decay
            own_rate += use.own_rate * decay
            total_running += use.total_running
            own_running += use.own_running
            self._entries = max(1, use.entries)
        if state.limits.rate_rps is not None:
            share = self._find_share(own_rate, total_rate, state.limits.rate_rps)
            state.bucket.set_rate(state.limits.rate_rps * share, now_s)
        if state.limits.concurrency is not None:
            share = self._find_share(own_rate, total_rate, total_rate)
            free = state.limits.concurrency - total_running
            state.max_running = own_running + self._round_randomly(free * share)

    def _find_share(self, own_rate: float, total_rate: float, scale: float) -> float:
        idle = IDLE_FRACTION * scale
        if total_rate + idle <= 0:
            return 1.0 / self._entries
        return (own_rate + idle / self._entries) / (total_rate + idle)

    def _round_randomly(self, value: float) -> int:
        floor = math.floor(value)
        return floor + (self._generator.random() < value - floor)
