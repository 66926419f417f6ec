"""Sends a request to backend servers until it has an outcome."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import anyio

from bronzerudder.agent import (
    FINAL_EVENTS,
    Body,
    Completed,
    Cut,
    Lost,
    Refused,
    RemoteAttempt,
)
from bronzerudder.claims.keys import key_digest
from bronzerudder.configuration import Match, Snapshot
from bronzerudder.dispatch.api import AnswerSink
from bronzerudder.dispatch.outcome import (
    FREE_REFUSALS,
    RETRYABLE_REFUSALS,
    STATUS_NOT_FOUND,
    STATUS_OK,
    STATUS_TIMEOUT,
    STATUS_TOO_MANY_REQUESTS,
    STATUS_UNAVAILABLE,
    STRAY_REFUSALS,
    Outcome,
    OutcomeKind,
    describe_loss,
    describe_refusal,
)
from bronzerudder.dispatch.progress import Progress
from bronzerudder.dispatch.request import CallerRequest
from bronzerudder.dispatch.submit import build_submit
from bronzerudder.dispatch.targets import Target, TargetTable
from bronzerudder.policy.limits import RouteLimited, RouteLimiter, RouteLimits, RoutePermit
from bronzerudder.policy.retry import RetryBudget, RetryDenial
from bronzerudder.policy.routing import NoCandidate, Placement, RoutedRequest

PROOF_TIMEOUT_S = 0.25
MAX_ATTEMPTS = 8
UNLIMITED = RouteLimits()
# A failover follows a death, not load, so it spends no retry budget; one that the second backend
# server does not survive either may be the request's own doing.
MAX_FAILOVERS = 1

FinalEvent = Completed | Cut | Refused | Lost


class _Attempted(NamedTuple):
    event: FinalEvent
    timed_out: bool


class Dispatcher:
    """Serves callers' requests.

    Parameters
    ----------
    current : callable
        Returns the configuration in force.
    targets : TargetTable
        Backend servers by pool.
    limiter : RouteLimiter
        Holds the routes' limits.
    build_budget : callable
        Makes the retry budget of a pool.
    """

    def __init__(
        self,
        current: Callable[[], Snapshot],
        targets: TargetTable,
        limiter: RouteLimiter,
        build_budget: Callable[[], RetryBudget],
    ) -> None:
        self._current = current
        self._targets = targets
        self._limiter = limiter
        self._build_budget = build_budget
        self._budgets: dict[str, RetryBudget] = {}

    async def serve(self, request: CallerRequest, sink: AnswerSink) -> Outcome:
        """Serve one request and say how it ended."""
        match = self._current().match(request.workspace, request.path, request.model)
        if match is None:
            return Outcome(OutcomeKind.NOT_RUN, STATUS_NOT_FOUND, "no route for this request")
        permit = self._acquire(match)
        if isinstance(permit, RouteLimited):
            status = STATUS_TOO_MANY_REQUESTS
            return Outcome(OutcomeKind.NOT_RUN, status, permit.reason, permit.retry_after_s)
        try:
            return await self._serve_route(request, match, Progress(sink))
        finally:
            self._limiter.release(permit, anyio.current_time())

    def _acquire(self, match: Match) -> RoutePermit | RouteLimited:
        now = anyio.current_time()
        route = match.route
        limits = RouteLimits(route.get("rate_limit_rps"), route.get("concurrency_limit"))
        self._limiter.configure(match.route_name, limits)
        if limits != UNLIMITED:
            self._targets.get(match.pool_name).refresh(now)
        return self._limiter.acquire(match.route_name, now)

    async def _serve_route(
        self, request: CallerRequest, match: Match, progress: Progress
    ) -> Outcome:
        deadline = anyio.current_time() + _find_time_limit(request, match)
        budget = self._budgets.setdefault(match.pool_name, self._build_budget())
        budget.record_fresh(anyio.current_time())
        tried: set[str] = set()
        outcome: Outcome | None = None
        for number in range(1, MAX_ATTEMPTS + 1):
            target = self._pick(request, match, frozenset(tried))
            if isinstance(target, NoCandidate):
                return outcome or _describe_no_candidate(target)
            attempted = await self._attempt(request, match, target, progress, number, deadline)
            outcome = _judge(attempted, progress)
            if not _may_retry(attempted, progress, request, match):
                return outcome
            if not _is_stray(attempted.event):
                tried.add(target.candidate.name)
            delay_s = _find_retry_delay(attempted.event, progress, budget, number, deadline)
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
        if request.idempotency_key and not match.route["repeatable"]:
            digest = key_digest(request.workspace, request.idempotency_key)
            return targets.pick_for_key(digest, routed, anyio.current_time())
        return targets.pick(routed, anyio.current_time())

    async def _attempt(
        self,
        request: CallerRequest,
        match: Match,
        target: Target,
        progress: Progress,
        number: int,
        deadline: float,
    ) -> _Attempted:
        time_left_s = deadline - anyio.current_time()
        submit = build_submit(request, match, number, time_left_s, progress.last_event_id)
        attempt = target.connection.start(submit)
        placement = target.candidate.begin(max(1, request.estimated_tokens), request.prompt_tokens)
        repeatable = match.route["repeatable"]
        try:
            return await self._follow(attempt, placement, progress, deadline, repeatable)
        finally:
            placement.finish()
            if not attempt.final:
                attempt.cancel(only_if_not_started=not repeatable)
            target.connection.forget(attempt)

    async def _follow(
        self,
        attempt: RemoteAttempt,
        placement: Placement,
        progress: Progress,
        deadline: float,
        repeatable: bool,
    ) -> _Attempted:
        with anyio.move_on_after(deadline - anyio.current_time()):
            return _Attempted(await _relay_events(attempt, placement, progress), False)
        attempt.cancel(only_if_not_started=not repeatable)
        with anyio.move_on_after(PROOF_TIMEOUT_S):
            return _Attempted(await _await_final(attempt), True)
        return _Attempted(Lost("the deadline passed"), True)


async def _relay_events(
    attempt: RemoteAttempt, placement: Placement, progress: Progress
) -> FinalEvent:
    while True:
        event = await attempt.next_event()
        if isinstance(event, FINAL_EVENTS):
            return event
        if isinstance(event, Body):
            placement.count_answer_part()
        await progress.deliver(event)


async def _await_final(attempt: RemoteAttempt) -> FinalEvent:
    while True:
        event = await attempt.next_event()
        if isinstance(event, FINAL_EVENTS):
            return event


def _judge(attempted: _Attempted, progress: Progress) -> Outcome:
    event = attempted.event
    if isinstance(event, Refused) and not progress.may_have_run:
        return describe_refusal(event)
    if attempted.timed_out:
        return Outcome(OutcomeKind.UNKNOWN, STATUS_TIMEOUT, "the deadline passed while it ran")
    if isinstance(event, Completed):
        return Outcome(OutcomeKind.DONE, STATUS_OK, replayed=event.replayed)
    if progress.terminated:
        return Outcome(OutcomeKind.DONE, STATUS_OK)
    if isinstance(event, Refused):
        return Outcome(OutcomeKind.UNKNOWN, STATUS_UNAVAILABLE, event.detail, event.retry_after_s)
    progress.may_have_run = True
    return describe_loss(event)


def _may_retry(
    attempted: _Attempted, progress: Progress, request: CallerRequest, match: Match
) -> bool:
    event = attempted.event
    if attempted.timed_out or progress.terminated or isinstance(event, Completed):
        return False
    if not progress.can_move:
        return False
    if isinstance(event, Refused):
        return event.reason in RETRYABLE_REFUSALS
    if isinstance(event, Lost) and request.idempotency_key:
        # The claim on record keeps the next agent from running it again.
        return True
    return match.route["repeatable"]


def _is_stray(event: FinalEvent) -> bool:
    return isinstance(event, Refused) and event.reason in STRAY_REFUSALS


def _find_retry_delay(
    event: FinalEvent, progress: Progress, budget: RetryBudget, attempts: int, deadline: float
) -> float | None:
    if isinstance(event, Cut | Lost):
        progress.failovers += 1
        return 0.0 if progress.failovers <= MAX_FAILOVERS else None
    if isinstance(event, Refused) and event.reason in FREE_REFUSALS:
        return 0.0
    allowance = budget.allow(attempts, deadline, anyio.current_time())
    return None if isinstance(allowance, RetryDenial) else allowance.delay_s


def _find_time_limit(request: CallerRequest, match: Match) -> float:
    limit_s = float(match.route["deadline_s"])
    if request.asked_timeout_s is None:
        return limit_s
    return min(limit_s, request.asked_timeout_s)


def _describe_no_candidate(none: NoCandidate) -> Outcome:
    return Outcome(OutcomeKind.NOT_RUN, STATUS_UNAVAILABLE, none.reason, none.retry_after_s)
