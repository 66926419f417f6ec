"""Enforces the rate and concurrency limits of routes across entries."""

from __future__ import annotations

from bronzerudder.policy.limits.api import (
    RouteLimited,
    RouteLimiter,
    RouteLimitKind,
    RouteLimits,
    RoutePermit,
    RouteUse,
)
from bronzerudder.policy.limits.even_split import EvenSplitLimiter
from bronzerudder.policy.limits.recent_use import RecentUseLimiter
from bronzerudder.policy.limits.use_counter import RouteUseCounter

__all__ = [
    "EvenSplitLimiter",
    "RecentUseLimiter",
    "RouteLimitKind",
    "RouteLimited",
    "RouteLimiter",
    "RouteLimits",
    "RoutePermit",
    "RouteUse",
    "RouteUseCounter",
]
