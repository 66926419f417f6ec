"""Simulates entries routing to one rank group, with delayed reports and lossy cache events."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

from bench.fakes.clock import Clock
from bench.fakes.lockstep import EngineListener, EngineShape, Job, LockstepGroup
from bronzerudder.policy.routing import (
    Assignment,
    Candidate,
    LoadReport,
    NoCandidate,
    RoutedRequest,
    RoutingPolicy,
)

REPORT_INTERVAL_S = 0.5
REPORT_LAG_S = (0.5, 1.0)
CACHE_EVENT_LAG_S = (1.0, 5.0)
CACHE_EVENT_LOSS_RATIO = 0.2
HOP_DELAY_S = 0.0015

PolicyFactory = Callable[[random.Random, str], RoutingPolicy]


class Finished(NamedTuple):
    """Latencies of one finished request, in seconds from its arrival."""

    job: Job
    first_token_s: float
    total_s: float


class _Entry:
    def __init__(self, policy: RoutingPolicy, names: list[str], domains: list[str]) -> None:
        self.policy = policy
        self.candidates = [Candidate(n, d) for n, d in zip(names, domains, strict=True)]
        self.prefixes: list[set[str]] = [set() for _ in names]


class RoutedPool(EngineListener):
    """Runs one routing policy at several entries in front of one group."""

    def __init__(
        self,
        clock: Clock,
        ranks: int,
        entries: int,
        shape: EngineShape,
        make_policy: PolicyFactory,
        seed: int,
    ) -> None:
        self._clock = clock
        self._random = random.Random(seed)
        self.group = LockstepGroup(clock, ranks, shape, self)
        names = [f"b-{rank}" for rank in range(ranks)]
        domains = [f"d-{rank % 3}" for rank in range(ranks)]
        self._entries = [
            _Entry(make_policy(random.Random(seed * 100 + index), f"d-{index % 3}"), names, domains)
            for index in range(entries)
        ]
        self._assignments: dict[int, Assignment] = {}
        self._first_s: dict[int, float] = {}
        self.finished: list[Finished] = []
        self.mean_output_tokens = 120
        for rank in range(ranks):
            clock.after(self._random.random() * REPORT_INTERVAL_S, self._report, rank)

    def arrive(self, job: Job) -> None:
        """Route a request."""
        entry = self._entries[job.entry]
        estimated = job.prompt_tokens + self.mean_output_tokens
        request = RoutedRequest(estimated, job.prefix_tokens, job.prefix)
        picked = entry.policy.pick(entry.candidates, request, self._clock.now_s)
        if isinstance(picked, NoCandidate):
            return
        self._assignments[job.job_id] = picked.begin(estimated, job.prompt_tokens)
        rank = entry.candidates.index(picked)
        self._clock.after(HOP_DELAY_S, self.group.submit, rank, job)

    def on_tokens(self, job: Job, tokens: int, is_first: bool, now_s: float) -> None:
        """Count answer tokens at the entry, which sees no progress before the first of them."""
        if is_first:
            self._first_s[job.job_id] = now_s
        if job.job_id in self._first_s:
            self._assignments[job.job_id].count_answer_token()

    def on_finished(self, job: Job, now_s: float) -> None:
        """Record the latencies of a finished request."""
        self._assignments.pop(job.job_id).finish()
        first_s = self._first_s.pop(job.job_id) - job.arrived_s
        self.finished.append(Finished(job, first_s, now_s - job.arrived_s))

    def on_cache_event(self, rank: int, prefix: str, is_held: bool, now_s: float) -> None:
        """Deliver a cache event to the entries with a delay, or lose it."""
        if self._random.random() < CACHE_EVENT_LOSS_RATIO:
            return
        self._clock.after(
            self._random.uniform(*CACHE_EVENT_LAG_S), self._record_prefix, rank, prefix, is_held
        )

    def _record_prefix(self, rank: int, prefix: str, is_held: bool) -> None:
        for entry in self._entries:
            if is_held:
                entry.prefixes[rank].add(prefix)
            else:
                entry.prefixes[rank].discard(prefix)

    def _report(self, rank: int) -> None:
        tokens = self.group.outstanding_tokens(rank)
        for index in range(len(self._entries)):
            lag_s = self._random.uniform(*REPORT_LAG_S)
            self._clock.after(lag_s, self._observe, index, rank, sum(tokens.values()), tokens)
        self._clock.after(REPORT_INTERVAL_S, self._report, rank)

    def _observe(self, index: int, rank: int, total: int, by_entry: dict[int, int]) -> None:
        entry = self._entries[index]
        report = LoadReport(
            outstanding_tokens=total,
            entry_tokens=by_entry.get(index, 0),
            cached_prefixes=frozenset(entry.prefixes[rank]),
        )
        entry.candidates[rank].observe(report, self._clock.now_s)
