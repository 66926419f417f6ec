"""Simulates entries, agents with admission queues, and rank groups that may stall or fail."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

from bench.fakes.clock import Clock
from bench.fakes.lockstep import EngineListener, EngineShape, Job, LockstepGroup
from bronzerudder.policy.admission import (
    EXPIRY_INTERVAL_S,
    STALL_THRESHOLD_S,
    AdmissionQueue,
    AdmissionRefusal,
    AdmissionRequest,
    FairQueue,
)
from bronzerudder.policy.retry import RetryBudget, RetryDenial, ShareBudget
from bronzerudder.policy.routing import (
    Assignment,
    Breaker,
    Candidate,
    LoadReport,
    NoCandidate,
    RoutedRequest,
    TokenLoadRouting,
)

HOP_DELAY_S = 0.0015
REPORT_INTERVAL_S = 0.25
MEAN_OUTPUT_TOKENS = 120
MAX_CALLER_TRIES = 3
CALLER_RETRY_DELAY_S = 0.5


class Mechanisms(NamedTuple):
    """Overload protection of the pool; each mechanism can be replaced by its baseline."""

    make_queue: Callable[[int], AdmissionQueue] = FairQueue
    make_budget: Callable[[], RetryBudget] = ShareBudget
    has_breaker: bool = True


class TryResult(NamedTuple):
    """Result of one try of a caller; times in seconds."""

    job: Job
    is_done: bool
    first_token_s: float | None
    ended_s: float
    retry_after_s: float


class _Agent:
    def __init__(self, queue: AdmissionQueue, group: LockstepGroup, rank: int) -> None:
        self.queue = queue
        self.group = group
        self.rank = rank
        self.is_up = True


class _Request:
    def __init__(self, job: Job, tries: int) -> None:
        self.job = job
        self.tries = tries
        self.attempt = 0
        self.tried: set[str] = set()
        self.agent: _Agent | None = None
        self.assignment: Assignment | None = None
        self.first_token_s: float | None = None
        self.is_running = False
        self.is_over = False


class _Entry:
    def __init__(
        self, agents: dict[str, _Agent], groups: int, budget: RetryBudget, seed: int
    ) -> None:
        self.policy = TokenLoadRouting(random.Random(seed), f"d-{seed % 3}")
        self.budget = budget
        breakers = [Breaker() for _ in range(groups)]
        self.candidates = [
            Candidate(name, f"d-{index % 3}", breakers[index * groups // len(agents)])
            for index, name in enumerate(agents)
        ]


class GuardedPool(EngineListener):
    """Runs admission, routing, retries and the breaker in front of simulated engines.

    Callers retry a failed request after the longer of its ``retry_after_s`` and
    `CALLER_RETRY_DELAY_S`, with jitter. The entry may make several attempts in each try of a
    caller.
    """

    def __init__(
        self,
        clock: Clock,
        shape: EngineShape,
        mechanisms: Mechanisms,
        seed: int,
        groups: int = 3,
        ranks: int = 5,
        entries: int = 3,
    ) -> None:
        self._clock = clock
        self._random = random.Random(seed)
        self._mechanisms = mechanisms
        self.groups = [LockstepGroup(clock, ranks, shape, self) for _ in range(groups)]
        self._agents: dict[str, _Agent] = {}
        for number, group in enumerate(self.groups):
            for rank in range(ranks):
                queue = mechanisms.make_queue(shape.slots)
                self._agents[f"b-{number}-{rank}"] = _Agent(queue, group, rank)
        self._entries = [
            _Entry(self._agents, groups, mechanisms.make_budget(), seed * 100 + index)
            for index in range(entries)
        ]
        self._open: dict[int, _Request] = {}
        self.results: list[TryResult] = []
        self.arrivals = 0
        self.retries = 0
        for name in self._agents:
            clock.after(self._random.random() * REPORT_INTERVAL_S, self._report, name)
        clock.after(EXPIRY_INTERVAL_S, self._expire)

    def arrive(self, job: Job, tries: int = 1) -> None:
        """Accept a caller's request at its entry."""
        request = _Request(job, tries)
        self._open[job.job_id] = request
        self.arrivals += 1
        self._entries[job.entry].budget.record_request(self._clock.now_s)
        self._clock.at(job.deadline_s, self._time_out, request)
        self._attempt(request)

    def fail_group(self, number: int) -> None:
        """Fail a group, and the attempts that are queued or running there."""
        for agent in self._list_agents(number):
            agent.is_up = False
        for request in list(self._open.values()):
            if request.agent is not None and not request.agent.is_up:
                self._cancel_attempt(request)
                self._fail_attempt(request, 0.0)

    def restore_group(self, number: int) -> None:
        """Bring a failed group back, without requests."""
        for agent in self._list_agents(number):
            agent.is_up = True

    def on_tokens(self, job: Job, tokens: int, is_first: bool, now_s: float) -> None:
        """Record processed tokens at the agent and at the entry."""
        request = self._open[job.job_id]
        if is_first:
            request.first_token_s = now_s - job.arrived_s
            request.agent.queue.progressed(str(job.job_id), job.prompt_tokens, now_s)
        if request.first_token_s is not None:
            request.agent.queue.progressed(str(job.job_id), 1, now_s)
            request.assignment.count_answer_token()

    def on_finished(self, job: Job, now_s: float) -> None:
        """Record a finished request, and start the next."""
        request = self._open[job.job_id]
        request.agent.queue.finished(str(job.job_id), now_s)
        request.assignment.finish()
        self._conclude(request, True, 0.0)
        self._clock.after(0.0, self._start_next, request.agent)

    def on_cache_event(self, rank: int, prefix: str, is_held: bool, now_s: float) -> None:
        """Ignore cache events; entries use their own assignments only."""

    def _list_agents(self, number: int) -> list[_Agent]:
        group = self.groups[number]
        return [agent for agent in self._agents.values() if agent.group is group]

    def _attempt(self, request: _Request) -> None:
        job = request.job
        entry = self._entries[job.entry]
        estimated = job.prompt_tokens + MEAN_OUTPUT_TOKENS
        routed = RoutedRequest(estimated, job.prefix_tokens, job.prefix, frozenset(request.tried))
        picked = entry.policy.pick(entry.candidates, routed, self._clock.now_s)
        if isinstance(picked, NoCandidate):
            self._conclude(request, False, picked.retry_after_s)
            return
        request.attempt += 1
        request.tried.add(picked.name)
        request.assignment = picked.begin(estimated, job.prompt_tokens)
        self._clock.after(HOP_DELAY_S, self._offer, request, self._agents[picked.name])

    def _offer(self, request: _Request, agent: _Agent) -> None:
        if request.is_over:
            return
        if not agent.is_up:
            self._fail_attempt(request, 0.0)
            return
        job = request.job
        request.agent = agent
        tokens = job.prompt_tokens + MEAN_OUTPUT_TOKENS
        queued = AdmissionRequest(str(job.job_id), job.workspace, tokens, job.deadline_s)
        answer = agent.queue.offer(queued, self._clock.now_s)
        if isinstance(answer, AdmissionRefusal):
            self._clock.after(HOP_DELAY_S, self._fail_attempt, request, answer.retry_after_s)
            return
        self._handle_refusals(answer.evicted)
        self._start_next(agent)

    def _start_next(self, agent: _Agent) -> None:
        while agent.is_up:
            started = agent.queue.next(self._clock.now_s)
            if started is None:
                return
            request = self._open[int(started.request_id)]
            request.is_running = True
            agent.group.submit(agent.rank, request.job)

    def _expire(self) -> None:
        for agent in self._agents.values():
            self._handle_refusals(agent.queue.expire(self._clock.now_s))
            self._start_next(agent)
        self._clock.after(EXPIRY_INTERVAL_S, self._expire)

    def _handle_refusals(self, refusals: tuple[AdmissionRefusal, ...]) -> None:
        for refusal in refusals:
            self._fail_attempt(self._open[int(refusal.request_id)], refusal.retry_after_s)

    def _fail_attempt(self, request: _Request, retry_after_s: float) -> None:
        if request.is_over:
            return
        request.assignment.finish()
        request.agent = None
        request.is_running = False
        now_s = self._clock.now_s
        budget = self._entries[request.job.entry].budget
        if isinstance(budget.allow(request.attempt, request.job.deadline_s, now_s), RetryDenial):
            self._conclude(request, False, retry_after_s)
            return
        self.retries += 1
        self._attempt(request)

    def _time_out(self, request: _Request) -> None:
        if request.is_over:
            return
        self._cancel_attempt(request)
        if request.assignment is not None:
            request.assignment.finish()
        agent = request.agent
        self._conclude(request, False, 0.0)
        if agent is not None:
            self._start_next(agent)

    def _cancel_attempt(self, request: _Request) -> None:
        agent = request.agent
        if agent is None:
            return
        key = str(request.job.job_id)
        if not request.is_running:
            agent.queue.cancel(key, self._clock.now_s)
            return
        agent.group.cancel(agent.rank, request.job)
        agent.queue.finished(key, self._clock.now_s)

    def _conclude(self, request: _Request, is_done: bool, retry_after_s: float) -> None:
        request.is_over = True
        job = request.job
        now_s = self._clock.now_s
        del self._open[job.job_id]
        self.results.append(TryResult(job, is_done, request.first_token_s, now_s, retry_after_s))
        if is_done or request.tries >= MAX_CALLER_TRIES:
            return
        delay_s = max(retry_after_s, CALLER_RETRY_DELAY_S) * self._random.uniform(1.0, 1.5)
        retry_at_s = now_s + delay_s
        retried = job._replace(
            job_id=job.job_id + 10_000_000,
            arrived_s=retry_at_s,
            deadline_s=retry_at_s + job.deadline_s - job.arrived_s,
        )
        self._clock.at(retry_at_s, self.arrive, retried, request.tries + 1)

    def _report(self, name: str) -> None:
        agent = self._agents[name]
        now_s = self._clock.now_s
        group = agent.group
        since_step_s = now_s - group.last_step_s
        is_stalled = (
            self._mechanisms.has_breaker and group.is_busy and since_step_s > STALL_THRESHOLD_S
        )
        report = LoadReport(
            outstanding_tokens=agent.queue.outstanding_tokens,
            backend_up=agent.is_up,
            group_stalled=is_stalled,
        )
        for entry in self._entries:
            for candidate in entry.candidates:
                if candidate.name == name:
                    self._clock.after(HOP_DELAY_S, candidate.observe, report, now_s)
        self._clock.after(REPORT_INTERVAL_S, self._report, name)
