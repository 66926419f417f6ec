"""Estimates how long callers wait before they time out, from their known behaviour."""

from __future__ import annotations

from bronzerudder.gateway.tables import RequestKind, Route

MIN_STREAM_IDLE_TIMEOUT_S = 2.0
OBJECTIVE_FACTOR = 4.0
GAP_FACTOR = 8.0
"""Callers abandon a stream once it had no event for the longest of 2 s, four times the objective
and eight times the longest pause that is on time."""
ANSWER_TIME_FRACTION = 0.5
"""Fraction of the objective that a plain answer takes once its request has a slot."""
ON_TIME_FRACTION = 0.6
"""A start within this fraction of the objective leaves the usual time to the first event."""
MAX_RETRY_AFTER_FRACTION = 1.0 / 3.0
"""Callers honour a retry-after of up to this fraction of their remaining time."""


def stream_idle_timeout_s(route: Route) -> float:
    """Return the time without an event after which a caller abandons a stream, in seconds."""
    return max(
        MIN_STREAM_IDLE_TIMEOUT_S,
        OBJECTIVE_FACTOR * route.objective_s,
        GAP_FACTOR * route.gap_s,
    )


def latest_start_s(route: Route, last_received_at_s: float, deadline_at_s: float) -> float:
    """Return the latest monotonic time at which a start still serves the caller.

    Parameters
    ----------
    last_received_at_s : float
        Monotonic time of the last event that the caller received, or of the request's arrival.
    deadline_at_s : float
        Monotonic time of the request's deadline.
    """
    reserve_s = ANSWER_TIME_FRACTION * route.objective_s
    latest_s = deadline_at_s - reserve_s
    if route.kind is RequestKind.STREAMING:
        latest_s = min(latest_s, last_received_at_s + stream_idle_timeout_s(route) - reserve_s)
    return latest_s
