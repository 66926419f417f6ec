"""Gets one request answered: slot, attempts, retries, resumption, and one outcome."""

from __future__ import annotations

import time
from typing import NamedTuple

from bronzerudder.gateway.attempt import (
    Attempt,
    Outgoing,
    ServiceProgress,
    StreamDelivered,
    WholeAnswer,
)
from bronzerudder.gateway.client_timeout import ON_TIME_SHARE, start_by_s
from bronzerudder.gateway.crash_watch import CrashWatch
from bronzerudder.gateway.errors import AttemptFailure, FailureKind, Refusal, RefusalKind
from bronzerudder.gateway.metrics import GatewayMetrics
from bronzerudder.gateway.relay import StreamRelay
from bronzerudder.gateway.services import ServicePool, ServiceTable
from bronzerudder.gateway.slot_queue import Ticket
from bronzerudder.gateway.spans import TRACEPARENT, SpanSource
from bronzerudder.gateway.tables import RequestKind, Route
from bronzerudder.http1 import ClientPool, Request, ResponseWriter
from bronzerudder.observability.event_log import EventLog
from bronzerudder.platform.requests import BackendAnswer, CallerRequest, encode_request
from bronzerudder.policy.retry import RetryDenial
from bronzerudder.policy.routing import Candidate, Placement, RoutedRequest

MAX_REJECTIONS = 3
"""Backend servers that may reject one request before it is refused; each costs an arrival."""
PLAIN_SILENCE_FACTOR = 3.0
"""A repeatable plain request is tried elsewhere after this many times its objective."""
STREAM_SILENCE_S = 0.8
"""Longer than a prompt waits between other requests' tokens; shorter than callers' patience."""
ERROR_STATUS = 500
STATUS_MISDIRECTED = 421


class Job(NamedTuple):
    """A request that was admitted.

    Parameters
    ----------
    request, caller : Request, CallerRequest
        As it came, and what its headers say.
    route : Route
        Its route.
    workspace : str
        Of the caller's key; empty for public routes.
    priority : int
        0 is the most urgent.
    version : int
        Configuration that it is handled by.
    arrived_at_s, ends_at_s : float
        Monotonic times of its arrival and of the end of its time.
    fingerprint : str
        Names the request when it comes again.
    traceparent : str
        Names the span of the request for those of its attempts; empty if it is not traced.
    """

    request: Request
    caller: CallerRequest
    route: Route
    workspace: str
    priority: int
    version: int
    arrived_at_s: float
    ends_at_s: float
    fingerprint: str
    traceparent: str = ""


class Outcome(NamedTuple):
    """How a request ended.

    Parameters
    ----------
    name : str
        ``done``, ``not-run`` or ``unknown``.
    status : int
        Status given to the caller; 0 when the connection was closed inside the answer.
    reason : str
        Why, for failures.
    """

    name: str
    status: int
    reason: str = ""


class Surroundings(NamedTuple):
    """What all requests of a gateway share."""

    services: ServiceTable
    connections: ClientPool
    progress: dict[str, ServiceProgress]
    crashes: CrashWatch
    metrics: GatewayMetrics
    log: EventLog
    spans: SpanSource


class Forwarding:
    """One request on its way to an answer.

    Parameters
    ----------
    shared : Surroundings
        What all requests share.
    job : Job
        The request.
    pool : ServicePool
        Service that its route chose for it.
    writer : ResponseWriter
        Towards the caller.
    """

    def __init__(
        self, shared: Surroundings, job: Job, pool: ServicePool, writer: ResponseWriter
    ) -> None:
        self._shared = shared
        self._job = job
        self._pool = pool
        self._relay: StreamRelay | None = None
        if job.route.kind is RequestKind.STREAMING:
            self._relay = StreamRelay(writer, job.caller.last_event_id, job.arrived_at_s)
        self._may_have_run = 0
        self._rejections = 0
        self._tried: set[str] = set()
        self._last_failure: AttemptFailure | None = None
        self._last_answer: WholeAnswer | None = None
        self._queue_s = 0.0
        self._last_instance = ""

    @property
    def relay(self) -> StreamRelay | None:
        """The caller's stream; None for plain requests."""
        return self._relay

    @property
    def attempts(self) -> int:
        """Attempts made so far."""
        return self._may_have_run + self._rejections

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
        return self._may_have_run > 0

    @property
    def queue_s(self) -> float:
        """Time spent waiting for a slot, in seconds."""
        return self._queue_s

    async def run(self) -> WholeAnswer | StreamDelivered | AttemptFailure | Refusal:
        """Try until answered, or until nothing more can be done for the caller."""
        self._pool.budget.record_fresh(time.monotonic())
        while True:
            ticket = self._make_ticket()
            asked_at_s = time.monotonic()
            placed = await self._pool.room.acquire(ticket)
            self._queue_s += time.monotonic() - asked_at_s
            if isinstance(placed, Refusal):
                return self._give_up(placed)
            try:
                result = await self._attempt(placed)
            finally:
                self._pool.room.release(ticket, placed)
            if isinstance(result, AttemptFailure):
                denied = self._deny_retry(result)
                if denied:
                    return self._give_up(result, denied)
                continue
            if isinstance(result, WholeAnswer) and result.answer.status >= ERROR_STATUS:
                self._last_answer = result
                self._tried.add(placed.candidate.name)
                failure = AttemptFailure(FailureKind.ERROR_ANSWER, f"status {result.answer.status}")
                if not self._deny_retry(failure):
                    continue
            return result

    def _make_ticket(self) -> Ticket:
        job = self._job
        caller = job.caller
        heard_at_s = job.arrived_at_s if self._relay is None else self._relay.last_event_at_s
        routed = RoutedRequest(
            max(1, caller.prompt_tokens + caller.answer_tokens),
            caller.prompt_tokens,
            excluded=frozenset(self._tried),
        )
        return Ticket(
            caller.request_id,
            job.workspace,
            job.priority,
            job.arrived_at_s + ON_TIME_SHARE * job.route.objective_s,
            start_by_s(job.route, heard_at_s, job.ends_at_s),
            routed,
        )

    async def _attempt(self, placed: Placement) -> WholeAnswer | StreamDelivered | AttemptFailure:
        candidate = placed.candidate
        self._last_instance = candidate.name
        service = self._pool.name
        progress = self._shared.progress.setdefault(service, ServiceProgress())
        span = self._shared.spans.begin(
            "attempt", self._job.traceparent, instance=candidate.name, service=service
        )
        outgoing = self._compose(candidate, span.traceparent)

        def note_event(is_first: bool) -> None:
            placed.count_answer_part()
            if is_first:
                self._note_running()

        attempt = Attempt(self._shared.connections, outgoing, self._relay, progress, note_event)
        sent_at_s = time.monotonic()
        # Counted before the send, so that a cancelled attempt counts as possibly run.
        self._may_have_run += 1
        try:
            with self._shared.crashes.running(candidate.name, self._job.fingerprint):
                result = await attempt.run()
                self._observe(candidate, attempt, result)
        finally:
            span.end(status=0 if attempt.answer is None else attempt.answer.status)
        if isinstance(result, AttemptFailure) and result.has_not_run:
            self._may_have_run -= 1
            self._rejections += 1
        self._log_attempt(candidate, result, time.monotonic() - sent_at_s)
        return result

    def _compose(self, candidate: Candidate, traceparent: str) -> Outgoing:
        job = self._job
        resumed_after = ""
        if self._relay is not None and self._relay.started:
            resumed_after = self._relay.last_event_id
            self._relay.continue_elsewhere()
        headers = encode_request(
            job.request,
            candidate.name,
            job.ends_at_s - time.monotonic(),
            job.workspace,
            job.priority,
            resumed_after,
        )
        if traceparent:
            headers = [item for item in headers if item[0] != TRACEPARENT]
            headers.append((TRACEPARENT, traceparent.encode()))
        return Outgoing(
            self._pool.address_of(candidate.name),
            job.request.method,
            job.request.target,
            headers,
            job.request.body,
            job.caller.request_id,
            self._silence_s(),
        )

    def _silence_s(self) -> float | None:
        route = self._job.route
        if not route.repeatable:
            return None
        if route.kind is RequestKind.STREAMING:
            return STREAM_SILENCE_S
        return PLAIN_SILENCE_FACTOR * route.objective_s

    def _observe(
        self,
        candidate: Candidate,
        attempt: Attempt,
        result: WholeAnswer | StreamDelivered | AttemptFailure,
    ) -> None:
        """Learn from an attempt how its backend server does."""
        services = self._shared.services
        answer = attempt.answer
        if answer is not None and answer.load is not None:
            self._pool.observe_load(candidate.name, answer.load.running + answer.load.waiting)
        if not isinstance(result, AttemptFailure):
            if result.answer.status >= ERROR_STATUS:
                services.suspect(candidate.name, f"status {result.answer.status}", certain=False)
                return
            services.trust(candidate.name)
            self._note_running()
            return
        if answer is not None and answer.status == STATUS_MISDIRECTED:
            services.avoid(candidate.name, "another instance has its address")
            return
        if result.kind is FailureKind.NOT_EXECUTED and answer is not None:
            self._observe_rejection(candidate, answer)
            return
        blamed = self._pool.find_address(result.faulty_address) or candidate.name
        if blamed != candidate.name:
            services.suspect(blamed, result.reason, certain=True)
            return
        if result.kind is FailureKind.BROKEN:
            self._shared.crashes.note_break(candidate.name)
        certain = result.has_not_run
        services.suspect(candidate.name, result.reason, certain)

    def _note_running(self) -> None:
        if self._pool.note_progress():
            self._shared.log.state("group runs again", service=self._pool.name)

    def _observe_rejection(self, candidate: Candidate, answer: BackendAnswer) -> None:
        """Learn from a rejection: the backend server is full, or its whole group does not run."""
        load = answer.load
        if load is not None and load.running + load.waiting >= load.slots:
            # Full, not faulty; its load was noted.
            return
        if not self._pool.in_lockstep:
            self._shared.services.suspect(candidate.name, f"status {answer.status}", True)
            return
        if self._pool.gate.note_rejected(time.monotonic()):
            self._shared.log.state(
                "group does not run",
                service=self._pool.name,
                instance=candidate.name,
                blamed=answer.faulty_address,
            )

    def _deny_retry(self, failure: AttemptFailure) -> str:
        """Return why the request is not sent again, or an empty string."""
        self._last_failure = failure
        if self._shared.crashes.is_quarantined(self._job.fingerprint) is not None:
            return "it crashes backend servers"
        route = self._job.route
        now_s = time.monotonic()
        if not failure.has_not_run:
            if not route.repeatable:
                return "may have run and may not be repeated"
            if self._may_have_run >= route.max_attempts:
                return "no attempts are left"
        elif self._rejections >= MAX_REJECTIONS:
            return "rejected too often"
        if failure.kind is not FailureKind.NOT_SENT:
            allowed = self._pool.budget.allow(self.attempts, self._job.ends_at_s, now_s)
            if isinstance(allowed, RetryDenial):
                self._shared.metrics.retries_denied.labels(allowed.kind.value).inc()
                return allowed.reason
        return ""

    def _give_up(
        self, last: AttemptFailure | Refusal, denied: str = ""
    ) -> WholeAnswer | AttemptFailure | Refusal:
        """Choose the final word once no further attempt is made."""
        if self._last_answer is not None:
            return self._last_answer
        if self.may_have_run or (self._relay is not None and self._relay.started):
            if isinstance(last, AttemptFailure):
                return last._replace(reason=f"{last.reason}; {denied}" if denied else last.reason)
            failed = self._last_failure
            assert failed is not None
            return failed._replace(reason=f"{failed.reason}; {last.reason}")
        if isinstance(last, Refusal):
            return last
        retry_after_s = self._pool.room.estimated_wait_s(self._pool.room.waiting)
        return Refusal(RefusalKind.NOT_EXECUTED, f"{last.reason}; {denied}", retry_after_s)

    def _log_attempt(
        self,
        candidate: Candidate,
        result: WholeAnswer | StreamDelivered | AttemptFailure,
        took_s: float,
    ) -> None:
        name = self._pool.name
        if not isinstance(result, AttemptFailure):
            self._shared.metrics.attempts.labels(name, "answered").inc()
            return
        self._shared.metrics.attempts.labels(name, result.kind.value).inc()
        if not result.has_not_run:
            self._tried.add(candidate.name)
        self._shared.log.failure(
            "attempt failed",
            self._job.caller.request_id,
            instance=candidate.name,
            service=name,
            kind=result.kind.value,
            reason=result.reason,
            blamed=result.faulty_address,
            took_s=round(took_s, 4),
            own_requests=candidate.own_requests,
            others_requests=candidate.others_requests,
            load_age_s=round(time.monotonic() - candidate.reported_at_s, 2),
        )
