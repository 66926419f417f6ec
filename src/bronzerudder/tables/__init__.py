"""Defines the two tables that operators edit: routes and pools."""

from __future__ import annotations

from bronzerudder.tables.rows import (
    ANY,
    POOL_KIND,
    ROUTE_KIND,
    BackendServerRow,
    GroupRow,
    PoolRow,
    RouteRow,
)

__all__ = [
    "ANY",
    "POOL_KIND",
    "ROUTE_KIND",
    "BackendServerRow",
    "GroupRow",
    "PoolRow",
    "RouteRow",
]
