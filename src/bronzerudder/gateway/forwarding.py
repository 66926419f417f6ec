"""Forwards one request: waits for a slot, attempts, retries and resumes until it has an outcome."""

from __future__ import annotations

import time
from typing import NamedTuple

from bronzerudder.clock import elapsed_s
from bronzerudder.gateway.attempt import (
    BackendAttempt,
    CompleteAnswer,
    OutgoingRequest,
    StreamDelivered,
)
from bronzerudder.gateway.client_timeout import ON_TIME_FRACTION, latest_start_s
from bronzerudder.gateway.crash_watch import CrashWatch
from bronzerudder.gateway.errors import AttemptFailure, FailureKind, Refusal, RefusalKind
from bronzerudder.gateway.metrics import GatewayMetrics
from bronzerudder.gateway.planned_stop import PlannedStop
from bronzerudder.gateway.relay import StreamRelay
from bronzerudder.gateway.services import ServicePool, ServiceTable
from bronzerudder.gateway.slot_queue import SlotRequest
from bronzerudder.gateway.spans import TRACEPARENT, SpanSource
from bronzerudder.gateway.tables import RequestKind, Route
from bronzerudder.http1 import ClientPool, Request, ResponseWriter
from bronzerudder.observability.event_log import EventLog
from bronzerudder.platform.requests import AnswerHead, RequestHead, encode_request
from bronzerudder.policy.quarantine import QuarantineState, RequestSubjects, Verdict
from bronzerudder.policy.routing import Assignment, Candidate, RoutedRequest

MAX_REJECTIONS = 3
"""Rejections after which a request is refused; each has cost a request to a backend server."""
PLAIN_TIMEOUT_FACTOR = 3.0
"""Idle timeout of a repeatable plain request, as a multiple of the route's objective."""
STREAM_IDLE_TIMEOUT_S = 0.8
"""Idle timeout of a repeatable stream: longer than a prompt is held up by the tokens of other
requests, shorter than callers' timeouts."""
STATUS_NOT_SUCCESS = 300
ERROR_STATUS = 500
STATUS_MISDIRECTED = 421


class AdmittedRequest(NamedTuple):
    """A request that passed routing and authentication.

    Parameters
    ----------
    request, caller : Request, RequestHead
        The HTTP request, and the data decoded from its headers.
    route : Route
        Route that the request matches.
    workspace : str
        Workspace of the caller's key; empty if the key is unknown, as a public route allows, or if
        no keys are required.
    priority : int
        0 is the most urgent.
    version : int
        Version of the configuration that applies to it.
    arrived_at_s, deadline_at_s : float
        Monotonic times of its arrival and of its deadline.
    subjects : RequestSubjects
        What the request is judged by when backend servers crash.
    traceparent : str
        Parent of the spans of its attempts; empty if the request is not traced.
    """

    request: Request
    caller: RequestHead
    route: Route
    workspace: str
    priority: int
    version: int
    arrived_at_s: float
    deadline_at_s: float
    subjects: RequestSubjects
    traceparent: str = ""


class Outcome(NamedTuple):
    """How a request ended.

    Parameters
    ----------
    name : str
        ``done``, ``not-run`` or ``unknown``.
    status : int
        Status sent to the caller; 0 if the connection was closed before the end of an answer.
    reason : str
        Cause of a failure; empty for success.
    """

    name: str
    status: int
    reason: str = ""


class GatewayContext(NamedTuple):
    """Objects that all requests of a gateway share."""

    services: ServiceTable
    connections: ClientPool
    crashes: CrashWatch
    metrics: GatewayMetrics
    log: EventLog
    spans: SpanSource
    stop: PlannedStop


def quarantine_refusal(verdict: Verdict) -> Refusal:
    """Return the refusal of a request that must not run, or not now."""
    if verdict.quarantine_state is QuarantineState.QUARANTINED:
        reason = f"it would crash backend servers, as at {len(verdict.crash_ids)} crashes"
    else:
        reason = "a similar request runs to find out whether it crashes backend servers"
    return Refusal(RefusalKind.QUARANTINED, reason, verdict.retry_after_s)


class RequestForwarder:
    """Forwards one request until it is answered or has failed.

    Parameters
    ----------
    context : GatewayContext
        Objects that all requests share.
    admitted : AdmittedRequest
        The request to forward.
    pool : ServicePool
        Service that its route chose for it.
    writer : ResponseWriter
        Writes the response to the caller.
    """

    def __init__(
        self,
        context: GatewayContext,
        admitted: AdmittedRequest,
        pool: ServicePool,
        writer: ResponseWriter,
    ) -> None:
        self._context = context
        self._admitted = admitted
        self._pool = pool
        self._relay: StreamRelay | None = None
        if admitted.route.kind is RequestKind.STREAMING:
            # A backend server of a route without resumption may ignore where to resume.
            resumed_after = admitted.caller.last_event_id if admitted.route.repeatable else ""
            self._relay = StreamRelay(writer, resumed_after, admitted.arrived_at_s)
        self._possible_runs = 0
        self._rejections = 0
        self._tried: set[str] = set()
        self._last_failure: AttemptFailure | None = None
        self._last_answer: CompleteAnswer | None = None
        self._queue_s = 0.0
        self._last_instance = ""
        self._judged_after_changes = -1
        self._arrivals = 0
        self._retry_decided_at_s = 0.0
        self._has_retry_place = False
        self._late_denial = ""

    @property
    def relay(self) -> StreamRelay | None:
        """Relay of the caller's stream; None for plain requests."""
        return self._relay

    @property
    def attempts(self) -> int:
        """Attempts made so far."""
        return self._possible_runs + self._rejections

    @property
    def service(self) -> str:
        """Service that the request goes to."""
        return self._pool.name

    @property
    def last_instance(self) -> str:
        """Backend server that the request was last sent to; empty before the first."""
        return self._last_instance

    @property
    def may_have_run(self) -> bool:
        """Whether any backend server may have run the request."""
        return self._possible_runs > 0

    @property
    def queue_s(self) -> float:
        """Time spent waiting for a slot, in seconds."""
        return self._queue_s

    async def run(self) -> CompleteAnswer | StreamDelivered | AttemptFailure | Refusal:
        """Attempt until the request is answered or no further attempt is allowed."""
        self._pool.budget.record_request(elapsed_s())
        try:
            return await self._run()
        finally:
            if self._has_retry_place:
                self._pool.budget.release()

    async def _run(self) -> CompleteAnswer | StreamDelivered | AttemptFailure | Refusal:
        while True:
            stopping = self._find_stop()
            if stopping is not None:
                return self._final_result(stopping)
            slot_request = self._make_slot_request()
            queued_at_s = time.monotonic()
            assignment = await self._pool.queue.acquire(slot_request)
            self._queue_s += time.monotonic() - queued_at_s
            if isinstance(assignment, Refusal):
                return self._final_result(assignment)
            try:
                verdict = self._context.crashes.find_refusal(self._admitted.subjects)
                if verdict is not None:
                    self._pool.record_not_sent(assignment.candidate.name)
                    return self._final_result(quarantine_refusal(verdict))
                result = await self._attempt(assignment)
            finally:
                self._pool.queue.release(slot_request, assignment)
            if isinstance(result, AttemptFailure):
                denial = self._find_retry_denial(result)
                if denial:
                    return self._final_result(result, denial)
                continue
            if isinstance(result, CompleteAnswer) and result.answer.status >= ERROR_STATUS:
                self._last_answer = result
                self._tried.add(assignment.candidate.name)
                failure = AttemptFailure(FailureKind.ERROR_ANSWER, f"status {result.answer.status}")
                if not self._find_retry_denial(failure):
                    continue
            return result

    def _make_slot_request(self) -> SlotRequest:
        admitted = self._admitted
        caller = admitted.caller
        last_received_at_s = (
            admitted.arrived_at_s if self._relay is None else self._relay.last_event_at_s
        )
        routed = RoutedRequest(
            max(1, caller.prompt_tokens + caller.answer_tokens),
            caller.prompt_tokens,
            excluded=frozenset(self._tried),
        )
        return SlotRequest(
            caller.request_id,
            admitted.workspace,
            admitted.priority,
            admitted.arrived_at_s + ON_TIME_FRACTION * admitted.route.objective_s,
            latest_start_s(admitted.route, last_received_at_s, admitted.deadline_at_s),
            routed,
            lambda: self._find_stop() or self._find_quarantine(),
        )

    def _find_stop(self) -> Refusal | None:
        """Return why a request that has not run is refused as the gateway stops."""
        if self.may_have_run:
            # It can't be refused any more, so that another attempt can only help.
            return None
        return self._context.stop.find_refusal(self._admitted.route, time.monotonic())

    def _find_quarantine(self) -> Refusal | None:
        """Return why the request must not run; judges only if verdicts have changed since."""
        crashes = self._context.crashes
        if crashes.verdicts_changed == self._judged_after_changes:
            return None
        self._judged_after_changes = crashes.verdicts_changed
        verdict = crashes.find_quarantine(self._admitted.subjects)
        return None if verdict is None else quarantine_refusal(verdict)

    async def _attempt(
        self, assignment: Assignment
    ) -> CompleteAnswer | StreamDelivered | AttemptFailure:
        candidate = assignment.candidate
        self._last_instance = candidate.name
        service = self._pool.name
        group = self._pool.groups.group_of(candidate.name)
        span = self._context.spans.begin(
            "attempt", self._admitted.traceparent, instance=candidate.name, service=service
        )
        outgoing = self._build_outgoing(candidate, span.traceparent)
        incarnation = self._pool.incarnation_of(candidate.name)
        crashes = self._context.crashes

        last_event_at_s = 0.0

        def on_event(is_first: bool) -> None:
            nonlocal last_event_at_s
            now_s = time.monotonic()
            if not is_first and self._admitted.route.gap_s > 0.0:
                pause_s = now_s - last_event_at_s
                group.bound.record_pause(pause_s / self._admitted.route.gap_s, now_s)
            last_event_at_s = now_s
            assignment.count_answer_token()
            crashes.record_event(running)
            if is_first:
                self._record_group_progress(candidate)

        def on_head(answer: AnswerHead, asked_at_s: float) -> None:
            self._record_announcements(candidate, incarnation, answer)
            self._record_limit(incarnation, answer, asked_at_s)

        limit = self._context.services.limits.describe(incarnation)
        if limit:
            self._context.metrics.limited_attempts.labels(service).inc()
        attempt = BackendAttempt(
            self._context.connections,
            outgoing,
            self._relay,
            group.progress,
            on_event,
            on_head,
            lambda: self._before_send(candidate),
        )
        sent_at_s = time.monotonic()
        # Counted before the send, so that a cancelled attempt counts as possibly run.
        self._possible_runs += 1
        try:
            with crashes.running(incarnation, self._admitted.subjects) as running:
                result = await attempt.run()
                self._record_result(candidate, attempt, result)
                if _has_run(attempt, result):
                    crashes.record_success(running)
                await self._check_for_crash(candidate, incarnation, attempt, result)
        finally:
            span.end(status=0 if attempt.answer is None else attempt.answer.status)
        if isinstance(result, AttemptFailure) and result.has_not_run:
            self._possible_runs -= 1
            self._rejections += result.kind is not FailureKind.WITHHELD
        self._arrivals += attempt.sent
        self._log_attempt(candidate, attempt, result, time.monotonic() - sent_at_s, limit)
        return result

    def _before_send(self, candidate: Candidate) -> str:
        """Charge a retry to the budget; return why the request must not be sent, if so."""
        if not candidate.wants_requests(time.monotonic()):
            return "the backend server announced that it takes no requests now"
        if not self._arrivals:
            return ""
        denial = self._pool.budget.spend(elapsed_s())
        if denial is not None:
            self._late_denial = denial.reason
            self._context.metrics.retries_denied.labels(denial.kind.value).inc()
            return denial.reason
        self._has_retry_place = False
        self._log_retry(candidate)
        return ""

    def _log_retry(self, candidate: Candidate) -> None:
        """Count and log a request that may have reached a backend server before."""
        wait_s = time.monotonic() - self._retry_decided_at_s
        self._context.metrics.retry_wait_s.observe(wait_s)
        self._context.log.failure(
            "retry sent",
            self._admitted.caller.request_id,
            instance=candidate.name,
            service=self._pool.name,
            arrivals=self._arrivals,
            wait_s=round(wait_s, 4),
            **self._pool.describe_budget(elapsed_s()),
        )

    def _build_outgoing(self, candidate: Candidate, traceparent: str) -> OutgoingRequest:
        admitted = self._admitted
        resumed_after = ""
        if self._relay is not None and self._relay.started:
            resumed_after = self._relay.last_event_id
        headers = encode_request(
            admitted.request,
            candidate.name,
            admitted.deadline_at_s - time.monotonic(),
            admitted.workspace,
            admitted.priority,
            resumed_after,
        )
        if traceparent:
            headers = [item for item in headers if item[0] != TRACEPARENT]
            headers.append((TRACEPARENT, traceparent.encode()))
        return OutgoingRequest(
            self._pool.address_of(candidate.name),
            admitted.request.method,
            admitted.request.target,
            headers,
            admitted.request.body,
            admitted.caller.request_id,
            self._idle_timeout_s(),
        )

    def _idle_timeout_s(self) -> float | None:
        route = self._admitted.route
        if not route.repeatable:
            return None
        if route.kind is RequestKind.STREAMING:
            return STREAM_IDLE_TIMEOUT_S
        return PLAIN_TIMEOUT_FACTOR * route.objective_s

    def _record_announcements(
        self, candidate: Candidate, incarnation: str, answer: AnswerHead
    ) -> None:
        """Record what an answer announces about the backend server that gave it."""
        if answer.status == STATUS_MISDIRECTED:
            # Another instance has answered.
            return
        if answer.leaving:
            self._context.services.record_leaving(candidate.name, incarnation)
        pause = answer.pause
        if pause.pause_s > 0.0 or pause.malformed:
            self._context.services.record_pause(
                candidate.name, incarnation, pause.pause_s, pause.malformed
            )

    def _record_limit(self, incarnation: str, answer: AnswerHead, asked_at_s: float) -> None:
        """Record the rate limit that an answer names, or that it names none any more."""
        limits = self._context.services.limits
        if answer.status == STATUS_MISDIRECTED or not answer.request_id:
            # Another instance has answered, or the server did not read the request.
            return
        if answer.limit.malformed:
            limits.record_malformed(incarnation, answer.limit.malformed, answer.request_id)
            return
        if answer.limit.rate_rps is None and not answer.signed:
            return
        limits.record_answer(incarnation, answer.limit.rate_rps, asked_at_s, answer.request_id)

    def _record_result(
        self,
        candidate: Candidate,
        attempt: BackendAttempt,
        result: CompleteAnswer | StreamDelivered | AttemptFailure,
    ) -> None:
        """Update load and health of the backend server from the result of an attempt."""
        services = self._context.services
        answer = attempt.answer
        if answer is not None and answer.load is not None:
            self._pool.observe_load(candidate.name, answer.load.running + answer.load.waiting)
        if not isinstance(result, AttemptFailure):
            if result.answer.status >= ERROR_STATUS:
                services.report_failure(
                    candidate.name, f"status {result.answer.status}", certain=False
                )
                return
            services.report_success(candidate.name)
            self._record_group_progress(candidate)
            return
        if result.kind is FailureKind.NOT_EXECUTED and answer is not None:
            if answer.status == STATUS_MISDIRECTED:
                services.exclude(candidate.name, "another instance has its address")
                return
            self._record_rejection(candidate, answer)
            return
        if result.kind is FailureKind.WITHHELD:
            return
        blamed = self._pool.find_address(result.faulty_address) or candidate.name
        if blamed != candidate.name:
            services.report_failure(blamed, result.reason, certain=True)
            return
        certain = result.has_not_run
        services.report_failure(candidate.name, result.reason, certain)

    async def _check_for_crash(
        self,
        candidate: Candidate,
        incarnation: str,
        attempt: BackendAttempt,
        result: CompleteAnswer | StreamDelivered | AttemptFailure,
    ) -> None:
        """Check whether an attempt ended because the backend server crashed."""
        must_refuse = True
        if isinstance(result, AttemptFailure):
            if result.faulty_address not in ("", attempt.address):
                return
            if result.kind not in (FailureKind.BROKEN, FailureKind.UNRESPONSIVE):
                return
            is_rank = self._pool.groups.is_rank(candidate.name)
            must_refuse = is_rank or result.kind is FailureKind.UNRESPONSIVE
        elif not isinstance(result, StreamDelivered) or attempt.has_event:
            return
        # A stream without an event may end with its connection, and so look complete.
        await self._context.crashes.on_connection_broken(incarnation, attempt.address, must_refuse)

    def _record_group_progress(self, candidate: Candidate) -> None:
        if self._pool.record_progress(candidate.name):
            self._context.log.state(
                "group runs again",
                service=self._pool.name,
                group=self._pool.groups.name_of(candidate.name),
            )

    def _record_rejection(self, candidate: Candidate, answer: AnswerHead) -> None:
        """Handle a rejection by a server that is full or faulty, or whose group is not running."""
        load = answer.load
        if load is not None and load.running + load.waiting >= load.slots:
            # Full, not faulty; its load is recorded already.
            return
        if answer.limit.rate_rps is not None or answer.leaving or answer.pause.pause_s > 0.0:
            # It limits its rate, is about to end or asks for a pause, and is not faulty.
            return
        if not self._pool.groups.is_rank(candidate.name):
            self._context.services.report_failure(candidate.name, f"status {answer.status}", True)
            return
        group = self._pool.groups.group_of(candidate.name)
        if group.gate.record_rejection(time.monotonic()):
            self._context.log.state(
                "group does not run",
                service=self._pool.name,
                group=self._pool.groups.name_of(candidate.name),
                instance=candidate.name,
                blamed=answer.faulty_address,
            )

    def _find_retry_denial(self, failure: AttemptFailure) -> str:
        """Return why the request is not sent again, or an empty string."""
        self._last_failure = failure
        if self._context.crashes.find_quarantine(self._admitted.subjects) is not None:
            return "it crashes backend servers"
        if self._relay is not None and not self._relay.resumable:
            return "the last event sent has no id after which to resume"
        route = self._admitted.route
        if not failure.has_not_run:
            if not route.repeatable:
                return "may have run and may not be repeated"
            if self._possible_runs >= route.max_attempts:
                return "no attempts are left"
        elif self._rejections >= MAX_REJECTIONS:
            return "rejected too often"
        if self._pool.queue.is_paused_too_long(self._make_slot_request()):
            return "the backend servers left ask for longer pauses"
        return self._reserve_retry()

    def _reserve_retry(self) -> str:
        """Reserve a place in the retry budget if one is needed; return why it is denied."""
        if self._late_denial:
            return self._late_denial
        if not self._arrivals or self._has_retry_place:
            # No backend server can have got the request, or it waits for its next attempt still.
            return ""
        time_left_s = self._admitted.deadline_at_s - time.monotonic()
        denial = self._pool.budget.reserve(time_left_s, elapsed_s())
        if denial is not None:
            self._context.metrics.retries_denied.labels(denial.kind.value).inc()
            return denial.reason
        self._has_retry_place = True
        self._retry_decided_at_s = time.monotonic()
        return ""

    def _final_result(
        self, last: AttemptFailure | Refusal, denial: str = ""
    ) -> CompleteAnswer | AttemptFailure | Refusal:
        """Choose the result to return when no further attempt is made."""
        if self._last_answer is not None:
            return self._last_answer
        if self.may_have_run or (self._relay is not None and self._relay.started):
            if isinstance(last, AttemptFailure):
                return last._replace(reason=f"{last.reason}; {denial}" if denial else last.reason)
            failed = self._last_failure
            assert failed is not None
            return failed._replace(reason=f"{failed.reason}; {last.reason}")
        if isinstance(last, Refusal):
            return last
        retry_after_s = self._pool.queue.estimated_wait_s(self._pool.queue.waiting)
        return Refusal(RefusalKind.NOT_EXECUTED, f"{last.reason}; {denial}", retry_after_s)

    def _log_attempt(
        self,
        candidate: Candidate,
        attempt: BackendAttempt,
        result: CompleteAnswer | StreamDelivered | AttemptFailure,
        took_s: float,
        limit: dict[str, object],
    ) -> None:
        """Count and log a result; a server that may have run the request is not tried again."""
        name = self._pool.name
        if not isinstance(result, AttemptFailure):
            self._context.metrics.attempts.labels(name, "answered").inc()
            if limit or _is_notable(attempt, result.answer):
                self._context.log.routine(
                    "attempt answered",
                    self._admitted.caller.request_id,
                    instance=candidate.name,
                    service=name,
                    took_s=round(took_s, 4),
                    **limit,
                    **_describe_connection(attempt),
                )
            return
        self._context.metrics.attempts.labels(name, result.kind.value).inc()
        if not result.has_not_run:
            self._tried.add(candidate.name)
        self._context.log.failure(
            "attempt failed",
            self._admitted.caller.request_id,
            instance=candidate.name,
            service=name,
            kind=result.kind.value,
            reason=result.reason,
            blamed=result.faulty_address,
            has_event=attempt.has_event,
            shared_parts=self._admitted.caller.shared_parts,
            took_s=round(took_s, 4),
            own_requests=candidate.own_requests,
            others_requests=candidate.others_requests,
            load_age_s=round(time.monotonic() - candidate.reported_at_s, 2),
            **limit,
            **_describe_connection(attempt),
        )


def _is_notable(attempt: BackendAttempt, answer: AnswerHead) -> bool:
    """Whether the answer could be confused with another one on its connection."""
    return bool(attempt.skipped_ids) or not answer.delimited or not answer.request_id


def _describe_connection(attempt: BackendAttempt) -> dict[str, object]:
    """Log fields that tell which answers a connection carried."""
    answer = attempt.answer
    fields: dict[str, object] = {"reused": attempt.reused, "skipped": attempt.skipped_ids}
    if answer is not None:
        fields.update(status=answer.status, answer_id=answer.request_id, delimited=answer.delimited)
    return fields


def _has_run(
    attempt: BackendAttempt, result: CompleteAnswer | StreamDelivered | AttemptFailure
) -> bool:
    """Whether the backend server has run the request to its end."""
    if isinstance(result, StreamDelivered):
        return attempt.has_event
    return isinstance(result, CompleteAnswer) and result.answer.status < STATUS_NOT_SUCCESS
