"""Holds the limits of routes across entries."""

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

__all__ = [
    "EvenSplitLimiter",
    "RouteLimitKind",
    "RouteLimited",
    "RouteLimiter",
    "RouteLimits",
    "RoutePermit",
    "RouteUse",
]
