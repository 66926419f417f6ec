"""How long callers wait, by what they are known to do."""

from __future__ import annotations

from bronzerudder.gateway.tables import RequestKind, Route

LEAST_STREAM_PATIENCE_S = 2.0
OBJECTIVE_FACTOR = 4.0
GAP_FACTOR = 8.0
"""Callers abandon a stream without an event for the longest of 2 s, four times the objective and
eight times the longest pause that is on time."""
ANSWER_RESERVE = 0.5
"""Part of the objective that a plain answer takes once its request has a slot."""
ON_TIME_SHARE = 0.6
"""A start within this part of the objective leaves the time that a first event usually takes."""
MAX_RETRY_SHARE = 1.0 / 3.0
"""Callers honour a time to return of up to this part of the time that they have left."""


def stream_patience_s(route: Route) -> float:
    """Longest time without an event for which a caller stays, in seconds."""
    return max(
        LEAST_STREAM_PATIENCE_S,
        OBJECTIVE_FACTOR * route.objective_s,
        GAP_FACTOR * route.gap_s,
    )


def start_by_s(route: Route, last_heard_at_s: float, ends_at_s: float) -> float:
    """Monotonic time by which a request must start to be of use to its caller.

    Parameters
    ----------
    last_heard_at_s : float
        Monotonic time of the last event that the caller received, or of the request's arrival.
    ends_at_s : float
        Monotonic time of the request's deadline.
    """
    reserve_s = ANSWER_RESERVE * route.objective_s
    latest_s = ends_at_s - reserve_s
    if route.kind is RequestKind.STREAMING:
        latest_s = min(latest_s, last_heard_at_s + stream_patience_s(route) - reserve_s)
    return latest_s
