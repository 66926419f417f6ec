"""ASGI application that serves callers."""

from __future__ import annotations

from typing import Any

import anyio
from absl import logging
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from bronzerudder.caller.errors import BadRequest
from bronzerudder.caller.headers import CallerHeaders
from bronzerudder.caller.reader import RequestReader
from bronzerudder.caller.sink import CallerSink
from bronzerudder.dispatch import CallerRequest, Dispatcher, Outcome, OutcomeKind
from bronzerudder.observability import Tracing
from bronzerudder.observability.traces import TRACEPARENT
from bronzerudder.web import CallerGone, read_headers
from bronzerudder.web.bounded_app import RETRY_AFTER_S

STATUS_INTERNAL_ERROR = 500
STATUS_NO_ROOM = 503
SEND_TIMEOUT_S = 60.0
"""Time for the last part of an answer; a caller that doesn't read is disconnected after it."""
DURATION_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60)


class CallerApp:
    """Reads each request, dispatches it, and sends its answer and outcome.

    Parameters
    ----------
    dispatcher : Dispatcher
        Serves the requests.
    headers : CallerHeaders
        Names of the headers exchanged with callers.
    max_body_bytes : int
        Maximum length of a request body; longer ones are rejected.
    tracing : Tracing
        Records a span for each request.
    registry : CollectorRegistry
        Registers the metrics.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        headers: CallerHeaders,
        max_body_bytes: int,
        tracing: Tracing,
        registry: CollectorRegistry,
    ) -> None:
        self._dispatcher = dispatcher
        self._headers = headers
        self._reader = RequestReader(headers, max_body_bytes)
        self._tracing = tracing
        self._requests = Counter(
            "bronzerudder_caller_requests_total",
            "Requests of callers by outcome.",
            ["outcome"],
            registry=registry,
        )
        self._duration = Histogram(
            "bronzerudder_caller_request_duration_seconds",
            "Time from a request's head to the end of its answer.",
            buckets=DURATION_BUCKETS_S,
            registry=registry,
        )
        self._in_flight = Gauge(
            "bronzerudder_caller_requests_in_flight", "Requests being served.", registry=registry
        )

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Serve one ASGI request."""
        started = anyio.current_time()
        span = self._tracing.start(
            "caller request", read_headers(scope).get(TRACEPARENT, ""), path=scope["path"]
        )
        with self._in_flight.track_inprogress():
            outcome = await self._serve(
                scope, receive, send, self._tracing.format_traceparent(span)
            )
        self._duration.observe(anyio.current_time() - started)
        name = outcome.kind.value if outcome else "caller-gone"
        self._requests.labels(name).inc()
        span.set_attribute("outcome", name)
        span.end()

    async def send_refusal(self, send: Any, reason: str) -> None:
        """Answer a request that was not read completely, as there was no room for it."""
        outcome = Outcome(OutcomeKind.NOT_RUN, STATUS_NO_ROOM, reason, RETRY_AFTER_S)
        await _conclude(CallerSink(send, self._headers), outcome)

    async def _serve(
        self, scope: dict[str, Any], receive: Any, send: Any, traceparent: str
    ) -> Outcome | None:
        request = await self._reader.read(scope, receive, traceparent)
        if isinstance(request, CallerGone):
            return None
        sink = CallerSink(send, self._headers)
        if isinstance(request, BadRequest):
            outcome = Outcome(OutcomeKind.NOT_RUN, request.status, request.reason)
            await _conclude(sink, outcome)
            return outcome
        outcome = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
            outcome = await self._dispatch(request, sink)
            await _conclude(sink, outcome)
            tasks.cancel_scope.cancel()
        return outcome

    async def _dispatch(self, request: CallerRequest, sink: CallerSink) -> Outcome:
        try:
            return await self._dispatcher.serve(request, sink)
        except Exception:
            logging.exception("request %s failed unexpectedly", request.request_id)
            return Outcome(OutcomeKind.UNKNOWN, STATUS_INTERNAL_ERROR, "internal error")


async def _conclude(sink: CallerSink, outcome: Outcome) -> None:
    with anyio.move_on_after(SEND_TIMEOUT_S):
        await sink.conclude(outcome)


async def _cancel_on_disconnect(receive: Any, scope: anyio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        continue
    scope.cancel()
