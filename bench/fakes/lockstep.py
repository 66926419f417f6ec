"""Simulates a lock-step group of ranks with limited batch slots and a prefix cache."""

from __future__ import annotations

import abc
from collections import OrderedDict, deque
from typing import NamedTuple

from bench.fakes.clock import Clock


class EngineShape(NamedTuple):
    """Sizes and speeds of each rank.

    Parameters
    ----------
    slots : int
        Maximum number of requests in a batch.
    prefill_chunk : int
        Maximum number of prompt tokens processed in a step.
    step_base_s, step_token_s : float
        Duration of a step: a constant, plus a time for each token of the rank with the most.
    cached_prefixes : int
        Size of the prefix cache, in prefixes.
    """

    slots: int = 32
    prefill_chunk: int = 512
    step_base_s: float = 0.012
    step_token_s: float = 25e-6
    cached_prefixes: int = 12


class Job(NamedTuple):
    """A generated request."""

    job_id: int
    workspace: str
    prefix: str
    prefix_tokens: int
    prompt_tokens: int
    output_tokens: int
    arrived_s: float
    deadline_s: float
    entry: int


class EngineListener(abc.ABC):
    """Receives the events of the ranks."""

    @abc.abstractmethod
    def on_tokens(self, job: Job, tokens: int, is_first: bool, now_s: float) -> None:
        """Handle processed tokens; `is_first` if the first of the answer is among them."""

    @abc.abstractmethod
    def on_finished(self, job: Job, now_s: float) -> None:
        """Handle the completion of a request's answer."""

    @abc.abstractmethod
    def on_cache_event(self, rank: int, prefix: str, is_held: bool, now_s: float) -> None:
        """Handle that a prefix was cached or evicted."""


class _Running:
    __slots__ = ("job", "prompt_left", "output_left")

    def __init__(self, job: Job, prompt_left: int) -> None:
        self.job = job
        self.prompt_left = prompt_left
        self.output_left = job.output_tokens


class _Rank:
    def __init__(self) -> None:
        self.waiting: deque[Job] = deque()
        self.running: list[_Running] = []
        self.prefixes: OrderedDict[str, None] = OrderedDict()
        self.tokens = 0


class LockstepGroup:
    """Simulated engine of one group; a step ends at the same time for all ranks.

    ``largest_tokens`` has for each step the tokens of the rank with the most, and ``skews`` their
    ratio to the mean over the ranks.
    """

    def __init__(
        self, clock: Clock, ranks: int, shape: EngineShape, listener: EngineListener
    ) -> None:
        self._clock = clock
        self._shape = shape
        self._listener = listener
        self._ranks = [_Rank() for _ in range(ranks)]
        self._is_stepping = False
        self._stalled_until_s = 0.0
        self.skews: list[float] = []
        self.largest_tokens: list[int] = []
        self.prefix_hits = 0
        self.prefix_lookups = 0
        self.last_step_s = 0.0

    @property
    def is_busy(self) -> bool:
        """Whether any rank has work."""
        return any(rank.running or rank.waiting for rank in self._ranks)

    def submit(self, rank: int, job: Job) -> None:
        """Queue a request at a rank."""
        self._ranks[rank].waiting.append(job)
        if not self._is_stepping:
            self.last_step_s = self._clock.now_s
            self._begin_step()

    def cancel(self, rank: int, job: Job) -> None:
        """Remove a queued or running request."""
        state = self._ranks[rank]
        if job in state.waiting:
            state.waiting.remove(job)
        state.running = [running for running in state.running if running.job is not job]

    def stall(self, until_s: float) -> None:
        """Stall one rank, and with it the group, until a time in seconds."""
        self._stalled_until_s = until_s

    def outstanding_tokens(self, rank: int) -> dict[int, int]:
        """Prompt and answer tokens outstanding on a rank, by entry."""
        state = self._ranks[rank]
        outstanding: dict[int, int] = {}
        for running in state.running:
            tokens = running.prompt_left + running.output_left
            outstanding[running.job.entry] = outstanding.get(running.job.entry, 0) + tokens
        for job in state.waiting:
            tokens = job.prompt_tokens + job.output_tokens
            outstanding[job.entry] = outstanding.get(job.entry, 0) + tokens
        return outstanding

    def _begin_step(self) -> None:
        self._is_stepping = True
        for index, rank in enumerate(self._ranks):
            self._fill_slots(index, rank)
        tokens = [self._plan(rank) for rank in self._ranks]
        if sum(tokens) == 0:
            self._is_stepping = False
            return
        self.skews.append(max(tokens) * len(tokens) / sum(tokens))
        self.largest_tokens.append(max(tokens))
        duration_s = self._shape.step_base_s + self._shape.step_token_s * max(tokens)
        end_s = max(self._clock.now_s, self._stalled_until_s) + duration_s
        self._clock.at(end_s, self._end_step)

    def _fill_slots(self, index: int, rank: _Rank) -> None:
        while rank.waiting and len(rank.running) < self._shape.slots:
            job = rank.waiting.popleft()
            rank.running.append(_Running(job, self._prompt_left(index, rank, job)))

    def _prompt_left(self, index: int, rank: _Rank, job: Job) -> int:
        if not job.prefix:
            return job.prompt_tokens
        self.prefix_lookups += 1
        now_s = self._clock.now_s
        if job.prefix in rank.prefixes:
            rank.prefixes.move_to_end(job.prefix)
            self.prefix_hits += 1
            return max(1, job.prompt_tokens - job.prefix_tokens)
        rank.prefixes[job.prefix] = None
        self._listener.on_cache_event(index, job.prefix, True, now_s)
        if len(rank.prefixes) > self._shape.cached_prefixes:
            evicted, _ = rank.prefixes.popitem(last=False)
            self._listener.on_cache_event(index, evicted, False, now_s)
        return job.prompt_tokens

    def _plan(self, rank: _Rank) -> int:
        budget = self._shape.prefill_chunk
        tokens = 0
        for running in rank.running:
            if running.prompt_left == 0:
                tokens += 1
                continue
            chunk = min(budget, running.prompt_left)
            budget -= chunk
            tokens += chunk
        rank.tokens = tokens
        return tokens

    def _end_step(self) -> None:
        self._is_stepping = False
        self.last_step_s = self._clock.now_s
        for rank in self._ranks:
            self._advance(rank)
        self._begin_step()

    def _advance(self, rank: _Rank) -> None:
        budget = self._shape.prefill_chunk
        now_s = self._clock.now_s
        for running in list(rank.running):
            chunk = min(budget, running.prompt_left)
            budget -= chunk
            if running.prompt_left and chunk == 0:
                continue
            running.prompt_left -= chunk
            if running.prompt_left:
                self._listener.on_tokens(running.job, chunk, False, now_s)
                continue
            is_first = running.output_left == running.job.output_tokens
            running.output_left -= 1
            self._listener.on_tokens(running.job, chunk + 1, is_first, now_s)
            if running.output_left > 0:
                continue
            rank.running.remove(running)
            self._listener.on_finished(running.job, now_s)
