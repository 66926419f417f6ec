"""Serves each request of a caller: checks it, forwards it, and gives it one outcome."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable

import anyio

from bronzerudder.gateway.attempt import StreamDelivered, WholeAnswer
from bronzerudder.gateway.configuration import ConfigurationHolder
from bronzerudder.gateway.crash_watch import fingerprint_of
from bronzerudder.gateway.errors import AttemptFailure, FailureKind, Refusal, RefusalKind
from bronzerudder.gateway.forwarding import Forwarding, Job, Outcome, Surroundings
from bronzerudder.gateway.spans import TRACEPARENT
from bronzerudder.gateway.tables import Configuration, Route, Workspace
from bronzerudder.http1 import Request, ResponseWriter
from bronzerudder.platform.requests import CallerRequest, decode_request, own_answer_headers

STATUS_BY_REFUSAL = {
    RefusalKind.NO_ROUTE: 404,
    RefusalKind.WRONG_KEY: 401,
}
"""Statuses of refusals; all others are 503, which promises that the request has not run."""
STATUS_NOT_RUN = 503
STATUS_UNKNOWN = 502
STATUS_OUT_OF_TIME = 504
MIN_RETRY_AFTER_S = 0.05
STARTUP_WAIT_S = 1.2
"""Wait for the first configuration and list; most callers stay for 2 s without an answer."""

ConfirmCurrent = Callable[[], Awaitable[bool]]


class GatewayHandler:
    """Handles callers' requests.

    Parameters
    ----------
    shared : Surroundings
        What all requests share.
    configuration : ConfigurationHolder
        The configuration in force.
    confirm_current : callable
        Makes sure that the configuration is current before a request is denied by it; returns
        whether it is.
    generator : random.Random
        Splits the requests of a route among its services.
    started : Event
        Set once the configuration and the list of backend servers were read.
    """

    def __init__(
        self,
        shared: Surroundings,
        configuration: ConfigurationHolder,
        confirm_current: ConfirmCurrent,
        generator: random.Random,
        started: anyio.Event,
    ) -> None:
        self._started = started
        self._shared = shared
        self._configuration = configuration
        self._confirm_current = confirm_current
        self._generator = generator

    async def __call__(self, request: Request, writer: ResponseWriter) -> None:
        """Serve one request."""
        arrived_at_s = time.monotonic()
        caller = decode_request(request)
        if not self._started.is_set():
            # A cold start reads what it needs in milliseconds once the store answers.
            with anyio.move_on_after(STARTUP_WAIT_S):
                await self._started.wait()
        admitted = await self._admit(request, caller, arrived_at_s)
        if isinstance(admitted, Refusal):
            outcome = await self._refuse(caller, writer, admitted)
            self._record(caller, None, None, outcome, arrived_at_s)
            return
        await self._forward(admitted, writer)

    async def _admit(
        self, request: Request, caller: CallerRequest, arrived_at_s: float
    ) -> Job | Refusal:
        """Find the route and the workspace, or say why the request is refused."""
        found = self._match(caller)
        if isinstance(found, Refusal) and found.kind in STATUS_BY_REFUSAL:
            # A newer version may allow it.
            if not await self._confirm_current():
                reason = f"{found.reason}, but the configuration may be outdated"
                return Refusal(RefusalKind.STALE_CONFIGURATION, reason, 1.0)
            found = self._match(caller)
        if isinstance(found, Refusal):
            return found
        configuration, route, workspace = found
        fingerprint = fingerprint_of(request, caller.key)
        verdict = self._shared.crashes.is_quarantined(fingerprint)
        if verdict is not None:
            reason = f"it was running at {len(verdict.crash_ids)} crashes of backend servers"
            return Refusal(RefusalKind.QUARANTINED, reason, verdict.retry_after_s)
        time_s = route.timeout_s
        if caller.deadline_s is not None:
            time_s = min(time_s, caller.deadline_s)
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        return Job(
            request,
            caller,
            route,
            "" if workspace is None else workspace.name,
            priority,
            configuration.version,
            arrived_at_s,
            arrived_at_s + time_s,
            fingerprint,
        )

    def _match(
        self, caller: CallerRequest
    ) -> tuple[Configuration, Route, Workspace | None] | Refusal:
        configuration = self._configuration.current
        if configuration is None:
            return Refusal(RefusalKind.NO_CONFIGURATION, "no configuration is known yet", 1.0)
        route = configuration.find_route(caller.host, caller.path)
        if route is None:
            return Refusal(RefusalKind.NO_ROUTE, f"no route for {caller.host!r} {caller.path!r}")
        if configuration.workspaces is None:
            return configuration, route, None
        workspace = configuration.workspaces.get(caller.key)
        if workspace is None and not route.public:
            return Refusal(RefusalKind.WRONG_KEY, "the key is not known")
        return configuration, route, workspace

    async def _forward(self, job: Job, writer: ResponseWriter) -> None:
        traceparent = (job.request.header(TRACEPARENT) or b"").decode("latin-1")
        span = self._shared.spans.begin(
            "request", traceparent, request=job.caller.request_id, route=job.route.name
        )
        job = job._replace(traceparent=span.traceparent)
        pool = self._shared.services.pool(self._choose_service(job.route))
        forwarding = Forwarding(self._shared, job, pool, writer)
        result: WholeAnswer | StreamDelivered | AttemptFailure | Refusal | None = None
        outcome = Outcome("unknown", 0, "the caller left")
        try:
            with anyio.move_on_after(job.ends_at_s - time.monotonic()):
                result = await forwarding.run()
            outcome = await self._conclude(job, forwarding, result, writer)
        finally:
            # Also when the caller left and this task is being cancelled.
            span.end(status=outcome.status, outcome=outcome.name)
            self._record(job.caller, job, forwarding, outcome, job.arrived_at_s)

    def _choose_service(self, route: Route) -> str:
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        weights = [max(0, share.weight) for share in shares]
        if not any(weights):
            return shares[0].service
        return self._generator.choices(shares, weights)[0].service

    async def _conclude(
        self,
        job: Job,
        forwarding: Forwarding,
        result: WholeAnswer | StreamDelivered | AttemptFailure | Refusal | None,
        writer: ResponseWriter,
    ) -> Outcome:
        """Give the caller the one final answer."""
        if isinstance(result, StreamDelivered):
            return Outcome("done", writer.status)
        relay = forwarding.relay
        if relay is not None and relay.started:
            # Not finished on purpose: the caller sees that the answer was cut.
            return Outcome("unknown", 0, _describe(result))
        if isinstance(result, WholeAnswer):
            answer = result.answer
            await writer.respond(answer.status, answer.headers, result.body)
            return Outcome("done", answer.status)
        if result is None:
            result = self._out_of_time(forwarding)
        if isinstance(result, Refusal):
            return await self._refuse(job.caller, writer, result)
        status = STATUS_UNKNOWN
        if result.kind is FailureKind.SILENT:
            status = STATUS_OUT_OF_TIME
        return await self._fail(job.caller, writer, status, result.reason)

    def _out_of_time(self, forwarding: Forwarding) -> AttemptFailure | Refusal:
        if forwarding.may_have_run:
            return AttemptFailure(FailureKind.SILENT, "no answer in the time of the request")
        return Refusal(RefusalKind.OUT_OF_TIME, "no slot became free in the time of the request")

    async def _refuse(
        self, caller: CallerRequest, writer: ResponseWriter, refusal: Refusal
    ) -> Outcome:
        self._shared.metrics.refusals.labels(refusal.kind.value).inc()
        status = STATUS_BY_REFUSAL.get(refusal.kind, STATUS_NOT_RUN)
        headers = own_answer_headers(caller.request_id)
        if status == STATUS_NOT_RUN:
            retry_after_s = max(MIN_RETRY_AFTER_S, refusal.retry_after_s)
            headers.append((b"retry-after", f"{retry_after_s:.3f}".encode()))
        reason = f"{refusal.kind.value}: {refusal.reason}"
        await writer.respond(status, headers, f"{reason}\n".encode())
        return Outcome("not-run", status, reason)

    async def _fail(
        self, caller: CallerRequest, writer: ResponseWriter, status: int, reason: str
    ) -> Outcome:
        body = f"outcome unknown: {reason}\n".encode()
        await writer.respond(status, own_answer_headers(caller.request_id), body)
        return Outcome("unknown", status, reason)

    def _record(
        self,
        caller: CallerRequest,
        job: Job | None,
        forwarding: Forwarding | None,
        outcome: Outcome,
        arrived_at_s: float,
    ) -> None:
        """Write the metrics and the log line of a finished request."""
        metrics = self._shared.metrics
        took_s = time.monotonic() - arrived_at_s
        route = "" if job is None else job.route.name
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
        if job is not None and forwarding is not None:
            metrics.queue_s.observe(forwarding.queue_s)
            fields.update(
                service=forwarding.service,
                instance=forwarding.last_instance,
                workspace=job.workspace,
                priority=job.priority,
                configuration=job.version,
                attempts=forwarding.attempts,
                queue_s=round(forwarding.queue_s, 4),
                time_s=round(job.ends_at_s - job.arrived_at_s, 3),
            )
            self._note_stream(forwarding, fields)
        if outcome.name == "done" and outcome.status < 500:
            self._shared.log.routine("request finished", caller.request_id, **fields)
            return
        self._shared.log.failure("request failed", caller.request_id, **fields)

    def _note_stream(self, forwarding: Forwarding, fields: dict[str, object]) -> None:
        relay = forwarding.relay
        if relay is None or not relay.started:
            return
        self._shared.metrics.gap_s.observe(relay.longest_gap_s)
        fields["last_event_id"] = relay.last_event_id
        fields["gap_s"] = round(relay.longest_gap_s, 4)


def _describe(result: WholeAnswer | AttemptFailure | Refusal | None) -> str:
    if result is None:
        return "out of time"
    if isinstance(result, WholeAnswer):
        return f"status {result.answer.status} when the stream was resumed"
    return result.reason
