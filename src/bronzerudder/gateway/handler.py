"""Serves callers' requests: matches the route, authenticates, forwards and answers."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable

import anyio

from bronzerudder.gateway.attempt import CompleteAnswer, StreamDelivered
from bronzerudder.gateway.configuration import ConfigurationHolder
from bronzerudder.gateway.crash_watch import subjects_of
from bronzerudder.gateway.errors import AttemptFailure, FailureKind, Refusal, RefusalKind
from bronzerudder.gateway.forwarding import (
    AdmittedRequest,
    GatewayContext,
    Outcome,
    RequestForwarder,
    quarantine_refusal,
)
from bronzerudder.gateway.spans import TRACEPARENT
from bronzerudder.gateway.tables import Configuration, Route, Workspace
from bronzerudder.http1 import Request, ResponseWriter
from bronzerudder.platform.requests import RequestHead, decode_request, own_answer_headers

STATUS_BY_REFUSAL = {
    RefusalKind.NO_ROUTE: 404,
    RefusalKind.WRONG_KEY: 401,
}
"""Statuses by refusal; all others are 503, which promises that the request has not run."""
STATUS_NOT_RUN = 503
STATUS_UNKNOWN = 502
STATUS_DEADLINE_EXCEEDED = 504
MIN_RETRY_AFTER_S = 0.05
STARTUP_WAIT_S = 1.2
"""Wait for the first configuration and list; most callers time out after 2 s without an answer."""

ConfirmCurrent = Callable[[], Awaitable[bool]]


class GatewayHandler:
    """Handles callers' requests.

    Parameters
    ----------
    context : GatewayContext
        Objects that all requests share.
    configuration : ConfigurationHolder
        The configuration in force.
    confirm_current : callable
        Called before a request is denied by the configuration; returns whether the configuration
        is confirmed to be current.
    generator : random.Random
        Picks a service of the route by weight.
    started : Event
        Set once the configuration and the list of backend servers are loaded.
    """

    def __init__(
        self,
        context: GatewayContext,
        configuration: ConfigurationHolder,
        confirm_current: ConfirmCurrent,
        generator: random.Random,
        started: anyio.Event,
    ) -> None:
        self._started = started
        self._context = context
        self._configuration = configuration
        self._confirm_current = confirm_current
        self._generator = generator

    async def __call__(self, request: Request, writer: ResponseWriter) -> None:
        """Serve one request."""
        arrived_at_s = time.monotonic()
        caller = decode_request(request)
        if not self._started.is_set():
            # After a cold start both are loaded within milliseconds once the store answers.
            with anyio.move_on_after(STARTUP_WAIT_S):
                await self._started.wait()
        admission = await self._admit(request, caller, arrived_at_s)
        if isinstance(admission, Refusal):
            outcome = await self._send_refusal(caller, writer, admission)
            self._record_request(caller, None, None, outcome, arrived_at_s)
            return
        await self._forward(admission, writer)

    async def _admit(
        self, request: Request, caller: RequestHead, arrived_at_s: float
    ) -> AdmittedRequest | Refusal:
        """Find the route and the workspace, or return why the request is refused."""
        found = self._match(caller)
        if isinstance(found, Refusal) and found.kind in STATUS_BY_REFUSAL:
            # A newer version of the configuration may allow the request.
            if not await self._confirm_current():
                reason = f"{found.reason}, but the configuration may be outdated"
                return Refusal(RefusalKind.STALE_CONFIGURATION, reason, 1.0)
            found = self._match(caller)
        if isinstance(found, Refusal):
            return found
        configuration, route, workspace = found
        subjects = subjects_of(request, caller)
        verdict = self._context.crashes.find_quarantine(subjects)
        if verdict is not None:
            return quarantine_refusal(verdict)
        time_s = route.timeout_s
        if caller.deadline_s is not None:
            time_s = min(time_s, caller.deadline_s)
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        return AdmittedRequest(
            request,
            caller,
            route,
            "" if workspace is None else workspace.name,
            priority,
            configuration.version,
            arrived_at_s,
            arrived_at_s + time_s,
            subjects,
        )

    def _match(
        self, caller: RequestHead
    ) -> tuple[Configuration, Route, Workspace | None] | Refusal:
        configuration = self._configuration.current
        if configuration is None:
            return Refusal(RefusalKind.NO_CONFIGURATION, "no configuration loaded yet", 1.0)
        route = configuration.find_route(caller.host, caller.path)
        if route is None:
            return Refusal(RefusalKind.NO_ROUTE, f"no route for {caller.host!r} {caller.path!r}")
        if configuration.workspaces is None:
            return configuration, route, None
        workspace = configuration.workspaces.get(caller.key)
        if workspace is None and not route.public:
            return Refusal(RefusalKind.WRONG_KEY, "unknown API key")
        return configuration, route, workspace

    async def _forward(self, admitted: AdmittedRequest, writer: ResponseWriter) -> None:
        traceparent = (admitted.request.header(TRACEPARENT) or b"").decode("latin-1")
        span = self._context.spans.begin(
            "request", traceparent, request=admitted.caller.request_id, route=admitted.route.name
        )
        admitted = admitted._replace(traceparent=span.traceparent)
        pool = self._context.services.pool(self._choose_service(admitted.route))
        forwarder = RequestForwarder(self._context, admitted, pool, writer)
        result: CompleteAnswer | StreamDelivered | AttemptFailure | Refusal | None = None
        outcome = Outcome("unknown", 0, "caller disconnected")
        stop = self._context.stop
        try:
            with anyio.move_on_after(admitted.deadline_at_s - time.monotonic()) as scope:
                stop.add(scope)
                try:
                    result = await forwarder.run()
                finally:
                    stop.remove(scope)
            outcome = await self._send_result(admitted, forwarder, result, writer)
        finally:
            # Also runs when the caller disconnected and this task is being cancelled.
            span.end(status=outcome.status, outcome=outcome.name)
            self._record_request(
                admitted.caller, admitted, forwarder, outcome, admitted.arrived_at_s
            )

    def _choose_service(self, route: Route) -> str:
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        weights = [max(0, share.weight) for share in shares]
        if not any(weights):
            return shares[0].service
        return self._generator.choices(shares, weights)[0].service

    async def _send_result(
        self,
        admitted: AdmittedRequest,
        forwarder: RequestForwarder,
        result: CompleteAnswer | StreamDelivered | AttemptFailure | Refusal | None,
        writer: ResponseWriter,
    ) -> Outcome:
        """Send the caller the final answer."""
        if isinstance(result, StreamDelivered):
            return Outcome("done", writer.status)
        relay = forwarder.relay
        if relay is not None and relay.started:
            # The response is left unfinished, so that the caller sees that it was cut off.
            return Outcome("unknown", 0, _describe(result))
        if isinstance(result, CompleteAnswer):
            answer = result.answer
            await writer.respond(answer.status, answer.headers, result.body)
            return Outcome("done", answer.status)
        if result is None:
            result = self._deadline_result(forwarder)
        if isinstance(result, Refusal):
            return await self._send_refusal(admitted.caller, writer, result)
        status = STATUS_UNKNOWN
        if result.kind is FailureKind.UNRESPONSIVE:
            status = STATUS_DEADLINE_EXCEEDED
        return await self._send_failure(admitted.caller, writer, status, result.reason)

    def _deadline_result(self, forwarder: RequestForwarder) -> AttemptFailure | Refusal:
        """Return why a request was ended, by its deadline or because the gateway ends."""
        if self._context.stop.ended and forwarder.may_have_run:
            return AttemptFailure(FailureKind.UNRESPONSIVE, "no answer before the gateway stopped")
        if self._context.stop.ended:
            return Refusal(RefusalKind.STOPPING, "no slot became free before the gateway stopped")
        if forwarder.may_have_run:
            return AttemptFailure(
                FailureKind.UNRESPONSIVE, "no answer before the request's deadline"
            )
        return Refusal(
            RefusalKind.DEADLINE_EXCEEDED, "no slot became free before the request's deadline"
        )

    async def _send_refusal(
        self, caller: RequestHead, writer: ResponseWriter, refusal: Refusal
    ) -> Outcome:
        self._context.metrics.refusals.labels(refusal.kind.value).inc()
        status = STATUS_BY_REFUSAL.get(refusal.kind, STATUS_NOT_RUN)
        headers = own_answer_headers(caller.request_id)
        if status == STATUS_NOT_RUN:
            retry_after_s = max(MIN_RETRY_AFTER_S, refusal.retry_after_s)
            headers.append((b"retry-after", f"{retry_after_s:.3f}".encode()))
        reason = f"{refusal.kind.value}: {refusal.reason}"
        await writer.respond(status, headers, f"{reason}\n".encode())
        return Outcome("not-run", status, reason)

    async def _send_failure(
        self, caller: RequestHead, writer: ResponseWriter, status: int, reason: str
    ) -> Outcome:
        body = f"outcome unknown: {reason}\n".encode()
        await writer.respond(status, own_answer_headers(caller.request_id), body)
        return Outcome("unknown", status, reason)

    def _record_request(
        self,
        caller: RequestHead,
        admitted: AdmittedRequest | None,
        forwarder: RequestForwarder | None,
        outcome: Outcome,
        arrived_at_s: float,
    ) -> None:
        """Record the metrics and the log line of a finished request."""
        metrics = self._context.metrics
        took_s = time.monotonic() - arrived_at_s
        route = "" if admitted is None else admitted.route.name
        label = metrics.route_label(route)
        metrics.requests.labels(label, str(outcome.status), outcome.name).inc()
        metrics.duration_s.observe(took_s)
        fields = {
            "route": route,
            "status": outcome.status,
            "outcome": outcome.name,
            "reason": outcome.reason,
            "took_s": round(took_s, 4),
        }
        if admitted is not None and forwarder is not None:
            metrics.queue_s.observe(forwarder.queue_s)
            fields.update(
                service=forwarder.service,
                instance=forwarder.last_instance,
                workspace=admitted.workspace,
                priority=admitted.priority,
                configuration=admitted.version,
                attempts=forwarder.attempts,
                queue_s=round(forwarder.queue_s, 4),
                time_s=round(admitted.deadline_at_s - admitted.arrived_at_s, 3),
            )
            self._record_stream(forwarder, fields)
        if outcome.name == "done" and outcome.status < 500:
            if admitted is not None:
                self._context.stop.record_answer(admitted.route, took_s, time.monotonic())
            self._context.log.routine("request finished", caller.request_id, **fields)
            return
        self._context.log.failure("request failed", caller.request_id, **fields)

    def _record_stream(self, forwarder: RequestForwarder, fields: dict[str, object]) -> None:
        relay = forwarder.relay
        if relay is None or not relay.started:
            return
        self._context.metrics.gap_s.observe(relay.longest_gap_s)
        fields["last_event_id"] = relay.last_event_id
        fields["gap_s"] = round(relay.longest_gap_s, 4)


def _describe(result: CompleteAnswer | AttemptFailure | Refusal | None) -> str:
    if result is None:
        return "deadline exceeded"
    if isinstance(result, CompleteAnswer):
        return f"status {result.answer.status} on resuming the stream"
    return result.reason
