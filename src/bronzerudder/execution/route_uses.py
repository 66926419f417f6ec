"""Encodes the use of limited routes for the load report to an entry."""

from __future__ import annotations

from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.policy.limits import RouteUseCounter

RATE_DIGITS = 2


def describe_uses(counter: RouteUseCounter, entry_id: str, now: float) -> list[pb.RouteUse]:
    """Describe the routes that an entry uses: totals over all entries, and its own share."""
    described = []
    for route, use in counter.describe(entry_id, now):
        described.append(
            pb.RouteUse(
                route=route,
                total_rate=round(use.total_rate, RATE_DIGITS),
                own_rate=round(use.own_rate, RATE_DIGITS),
                total_running=use.total_running,
                own_running=use.own_running,
                entries=use.entries,
            )
        )
    return described
