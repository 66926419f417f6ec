"""Sends a request to backend servers, one attempt at a time, until it has an outcome."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import anyio

from bronzerudder.agent import (
    FINAL_EVENTS,
    Body,
    Completed,
    Incomplete,
    Lost,
    Refused,
    RemoteAttempt,
)
from bronzerudder.claims.keys import key_digest
from bronzerudder.configuration import Match, Snapshot
from bronzerudder.dispatch.api import AnswerSink
from bronzerudder.dispatch.outcome import (
    RETRYABLE_REFUSALS,
    STATUS_NOT_FOUND,
    STATUS_OK,
    STATUS_TIMEOUT,
    STATUS_TOO_MANY_REQUESTS,
    STATUS_UNAVAILABLE,
    UNBUDGETED_REFUSALS,
    UNDELIVERED_REFUSALS,
    Outcome,
    OutcomeKind,
    describe_incomplete,
    describe_refusal,
)
from bronzerudder.dispatch.progress import Progress
from bronzerudder.dispatch.request import CallerRequest
from bronzerudder.dispatch.submit import build_submit
from bronzerudder.dispatch.targets import Target, TargetTable
from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.observability import Tracing
from bronzerudder.policy.limits import RouteLimited, RouteLimiter, RouteLimits, RoutePermit
from bronzerudder.policy.retry import RetryBudget, RetryDenial
from bronzerudder.policy.routing import Assignment, NoCandidate, NoCandidateKind, RoutedRequest

CANCEL_CONFIRMATION_TIMEOUT_S = 0.25
MAX_ATTEMPTS = 8
UNCONNECTED_POOL_RETRY_AFTER_S = 1.0
UNLIMITED = RouteLimits()
# A failover follows a failure, not overload, so it spends no retry budget. It is done once: when a
# second backend server fails too, the request itself may be the cause.
MAX_FAILOVERS = 1

FinalEvent = Completed | Incomplete | Refused | Lost


class _Job(NamedTuple):
    """A request being served; the deadline is in monotonic seconds."""

    request: CallerRequest
    match: Match
    progress: Progress
    deadline: float

    @property
    def repeatable(self) -> bool:
        return self.match.route["repeatable"]

    @property
    def time_left_s(self) -> float:
        return self.deadline - anyio.current_time()


class _AttemptResult(NamedTuple):
    """Final event of an attempt, and whether the deadline passed before it arrived."""

    event: FinalEvent
    timed_out: bool


class Dispatcher:
    """Serves callers' requests.

    Parameters
    ----------
    current : callable
        Returns the configuration in force.
    targets : TargetTable
        Backend servers of each pool.
    limiter : RouteLimiter
        Enforces the rate and concurrency limits of routes.
    build_budget : callable
        Creates the retry budget of a pool.
    tracing : Tracing
        Records a span for each attempt.
    """

    def __init__(
        self,
        current: Callable[[], Snapshot],
        targets: TargetTable,
        limiter: RouteLimiter,
        build_budget: Callable[[], RetryBudget],
        tracing: Tracing,
    ) -> None:
        self._current = current
        self._targets = targets
        self._limiter = limiter
        self._build_budget = build_budget
        self._tracing = tracing
        self._budgets: dict[str, RetryBudget] = {}

    async def serve(self, request: CallerRequest, sink: AnswerSink) -> Outcome:
        """Serve one request and return its outcome."""
        match = self._current().match(request.workspace, request.path, request.model)
        if match is None:
            return Outcome(OutcomeKind.NOT_RUN, STATUS_NOT_FOUND, "no route for this request")
        permit = self._acquire(match)
        if isinstance(permit, RouteLimited):
            status = STATUS_TOO_MANY_REQUESTS
            return Outcome(OutcomeKind.NOT_RUN, status, permit.reason, permit.retry_after_s)
        try:
            deadline = anyio.current_time() + _find_time_limit(request, match)
            return await self._serve_job(_Job(request, match, Progress(sink), deadline))
        finally:
            self._limiter.release(permit, anyio.current_time())

    def _acquire(self, match: Match) -> RoutePermit | RouteLimited:
        now = anyio.current_time()
        route = match.route
        limits = RouteLimits(route.get("rate_limit_rps"), route.get("concurrency_limit"))
        self._limiter.configure(match.route_name, limits)
        targets = self._targets.get(match.pool_name)
        if limits != UNLIMITED and targets is not None:
            targets.refresh(now)
        return self._limiter.acquire(match.route_name, now)

    async def _serve_job(self, job: _Job) -> Outcome:
        budget = self._budgets.setdefault(job.match.pool_name, self._build_budget())
        budget.record_request(anyio.current_time())
        tried: set[str] = set()
        outcome: Outcome | None = None
        for number in range(1, MAX_ATTEMPTS + 1):
            target = self._pick(job.request, job.match, frozenset(tried))
            if isinstance(target, NoCandidate):
                return outcome or _describe_no_candidate(target)
            result = await self._attempt(job, target, number)
            outcome = _determine_outcome(result, job.progress)
            if not _may_retry(result, job):
                return outcome
            if not _is_undelivered(result.event):
                tried.add(target.candidate.name)
            delay_s = _find_retry_delay(result.event, job, budget, number)
            if delay_s is None:
                return outcome
            await anyio.sleep(delay_s)
        return outcome

    def _pick(
        self, request: CallerRequest, match: Match, tried: frozenset[str]
    ) -> Target | NoCandidate:
        routed = RoutedRequest(
            request.estimated_tokens, request.prompt_tokens, request.prefix, tried
        )
        targets = self._targets.get(match.pool_name)
        if targets is None:
            # The configuration is updated just before the connections.
            kind = NoCandidateKind.EMPTY_POOL
            return NoCandidate(
                kind, "the pool is not connected yet", UNCONNECTED_POOL_RETRY_AFTER_S
            )
        if request.idempotency_key and not match.route["repeatable"]:
            digest = key_digest(request.workspace, request.idempotency_key)
            return targets.pick_for_key(digest, routed, anyio.current_time())
        return targets.pick(routed, anyio.current_time())

    async def _attempt(self, job: _Job, target: Target, number: int) -> _AttemptResult:
        request = job.request
        span = self._tracing.start(
            "entry attempt", request.traceparent, backend_server=target.candidate.name
        )
        submit = build_submit(
            request, job.match, number, job.time_left_s, job.progress.last_event_id
        )
        submit.traceparent = self._tracing.format_traceparent(span)
        attempt = target.connection.start(submit)
        assignment = target.candidate.begin(max(1, request.estimated_tokens), request.prompt_tokens)
        try:
            return await self._relay_until_deadline(job, attempt, assignment)
        finally:
            assignment.finish()
            if not attempt.final:
                attempt.cancel(only_if_not_started=not job.repeatable)
            target.connection.forget(attempt)
            span.end()

    async def _relay_until_deadline(
        self, job: _Job, attempt: RemoteAttempt, assignment: Assignment
    ) -> _AttemptResult:
        with anyio.move_on_after(job.time_left_s):
            return _AttemptResult(await _relay_events(attempt, assignment, job.progress), False)
        attempt.cancel(only_if_not_started=not job.repeatable)
        with anyio.move_on_after(CANCEL_CONFIRMATION_TIMEOUT_S):
            return _AttemptResult(await _await_final(attempt), True)
        return _AttemptResult(Lost("the deadline passed"), True)


async def _relay_events(
    attempt: RemoteAttempt, assignment: Assignment, progress: Progress
) -> FinalEvent:
    while True:
        event = await attempt.next_event()
        if isinstance(event, FINAL_EVENTS):
            return event
        if isinstance(event, Body):
            assignment.count_answer_token()
        mismatch = await progress.deliver(event)
        if mismatch is not None:
            return Incomplete(pb.FINISH_STATE_BROKEN, mismatch.reason)


async def _await_final(attempt: RemoteAttempt) -> FinalEvent:
    while True:
        event = await attempt.next_event()
        if isinstance(event, FINAL_EVENTS):
            return event


def _determine_outcome(result: _AttemptResult, progress: Progress) -> Outcome:
    event = result.event
    if isinstance(event, Refused) and not progress.may_have_run:
        return describe_refusal(event)
    if result.timed_out:
        return Outcome(OutcomeKind.UNKNOWN, STATUS_TIMEOUT, "the deadline passed while it ran")
    if isinstance(event, Completed):
        return Outcome(OutcomeKind.DONE, STATUS_OK, replayed=event.replayed)
    if progress.terminated:
        return Outcome(OutcomeKind.DONE, STATUS_OK)
    if isinstance(event, Refused):
        return Outcome(OutcomeKind.UNKNOWN, STATUS_UNAVAILABLE, event.detail, event.retry_after_s)
    progress.may_have_run = True
    return describe_incomplete(event)


def _may_retry(result: _AttemptResult, job: _Job) -> bool:
    event = result.event
    if result.timed_out or job.progress.terminated or isinstance(event, Completed):
        return False
    if not job.progress.can_fail_over:
        return False
    if isinstance(event, Refused):
        return event.reason in RETRYABLE_REFUSALS
    if isinstance(event, Lost) and job.request.idempotency_key:
        # If it ran, its claim is recorded, and the next agent does not run it again.
        return True
    return job.repeatable


def _is_undelivered(event: FinalEvent) -> bool:
    return isinstance(event, Refused) and event.reason in UNDELIVERED_REFUSALS


def _find_retry_delay(
    event: FinalEvent, job: _Job, budget: RetryBudget, attempts: int
) -> float | None:
    if isinstance(event, Incomplete | Lost):
        job.progress.failovers += 1
        return 0.0 if job.progress.failovers <= MAX_FAILOVERS else None
    if isinstance(event, Refused) and event.reason in UNBUDGETED_REFUSALS:
        return 0.0
    allowance = budget.allow(attempts, job.deadline, anyio.current_time())
    return None if isinstance(allowance, RetryDenial) else allowance.delay_s


def _find_time_limit(request: CallerRequest, match: Match) -> float:
    limit_s = float(match.route["deadline_s"])
    if request.requested_timeout_s is None:
        return limit_s
    return min(limit_s, request.requested_timeout_s)


def _describe_no_candidate(no_candidate: NoCandidate) -> Outcome:
    return Outcome(
        OutcomeKind.NOT_RUN, STATUS_UNAVAILABLE, no_candidate.reason, no_candidate.retry_after_s
    )
