"""Builds the frame that submits a request to an agent."""

from __future__ import annotations

from bronzerudder.configuration import Match
from bronzerudder.dispatch.request import CallerRequest
from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.web.event_stream import LAST_EVENT_ID


def build_submit(
    request: CallerRequest, match: Match, number: int, time_left_s: float, last_event_id: str
) -> pb.Submit:
    """Build the frame of one attempt.

    Parameters
    ----------
    number : int
        Number of the attempt, from 1.
    time_left_s : float
        Time until the deadline, in seconds.
    last_event_id : str
        Id of the last event delivered, after which to continue the answer; empty to start.
    """
    headers = [pb.Header(name=name, value=value) for name, value in request.headers]
    if last_event_id:
        headers = [header for header in headers if header.name != LAST_EVENT_ID]
        headers.append(pb.Header(name=LAST_EVENT_ID, value=last_event_id))
    return pb.Submit(
        request_id=request.request_id,
        attempt=number,
        workspace=request.workspace,
        route=match.route_name,
        method=request.method,
        path=request.path,
        headers=headers,
        payload=request.body,
        time_left_ms=max(0, int(time_left_s * 1000)),
        priority=match.route.get("priority", 0),
        idempotency_key=request.idempotency_key,
        repeatable=match.route["repeatable"],
        traceparent=request.traceparent,
        estimated_tokens=request.estimated_tokens,
        fingerprint=request.fingerprint,
        weight=match.route.get("weight", 1),
        prefix=request.prefix,
        limited="rate_limit_rps" in match.route or "concurrency_limit" in match.route,
    )
