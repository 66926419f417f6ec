"""A group of ranks that advance in lock-step, with limited slots and prefix memory."""

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
        Requests in a batch.
    prefill_chunk : int
        Prompt tokens processed in a step.
    step_base_s, step_token_s : float
        Time of a step: a constant, and a part for each token of the rank with the most.
    cached_prefixes : int
        Prefixes kept.
    """

    slots: int = 32
    prefill_chunk: int = 512
    step_base_s: float = 0.012
    step_token_s: float = 25e-6
    cached_prefixes: int = 12


class Job(NamedTuple):
    """A request as the traffic made it."""

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
    """Is told what the ranks do."""

    @abc.abstractmethod
    def on_tokens(self, job: Job, tokens: int, is_first: bool, now_s: float) -> None:
        """Take in processed tokens, the first of the answer among them if `is_first`."""

    @abc.abstractmethod
    def on_finished(self, job: Job, now_s: float) -> None:
        """Take in that a request's answer is complete."""

    @abc.abstractmethod
    def on_cache_event(self, rank: int, prefix: str, is_held: bool, now_s: float) -> None:
        """Take in that a prefix was stored or dropped."""


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
    """Fake engine of one group; a step ends for all ranks at once."""

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
        self.largest: list[int] = []
        self.prefix_hits = 0
        self.prefix_lookups = 0
        self.last_step_s = 0.0

    @property
    def is_busy(self) -> bool:
        """Whether any rank has work."""
        return any(rank.running or rank.waiting for rank in self._ranks)

    def submit(self, rank: int, job: Job) -> None:
        """Give a rank a request."""
        self._ranks[rank].waiting.append(job)
        if not self._is_stepping:
            self.last_step_s = self._clock.now_s
            self._begin_step()

    def cancel(self, rank: int, job: Job) -> None:
        """Stop a request wherever it is."""
        place = self._ranks[rank]
        if job in place.waiting:
            place.waiting.remove(job)
        place.running = [running for running in place.running if running.job is not job]

    def stall(self, until_s: float) -> None:
        """Let one rank hang, and so the group, until a time in seconds."""
        self._stalled_until_s = until_s

    def outstanding_tokens(self, rank: int) -> dict[int, int]:
        """Prompt and answer tokens left on a rank, by entry."""
        place = self._ranks[rank]
        left: dict[int, int] = {}
        for running in place.running:
            tokens = running.prompt_left + running.output_left
            left[running.job.entry] = left.get(running.job.entry, 0) + tokens
        for job in place.waiting:
            tokens = job.prompt_tokens + job.output_tokens
            left[job.entry] = left.get(job.entry, 0) + tokens
        return left

    def _begin_step(self) -> None:
        self._is_stepping = True
        for index, rank in enumerate(self._ranks):
            self._fill_slots(index, rank)
        tokens = [self._plan(rank) for rank in self._ranks]
        if sum(tokens) == 0:
            self._is_stepping = False
            return
        self.skews.append(max(tokens) * len(tokens) / sum(tokens))
        self.largest.append(max(tokens))
        length_s = self._shape.step_base_s + self._shape.step_token_s * max(tokens)
        end_s = max(self._clock.now_s, self._stalled_until_s) + length_s
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
            dropped, _ = rank.prefixes.popitem(last=False)
            self._listener.on_cache_event(index, dropped, False, now_s)
        return job.prompt_tokens

    def _plan(self, rank: _Rank) -> int:
        budget = self._shape.prefill_chunk
        tokens = 0
        for running in rank.running:
            if running.prompt_left == 0:
                tokens += 1
                continue
            part = min(budget, running.prompt_left)
            budget -= part
            tokens += part
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
            part = min(budget, running.prompt_left)
            budget -= part
            if running.prompt_left and part == 0:
                continue
            running.prompt_left -= part
            if running.prompt_left:
                self._listener.on_tokens(running.job, part, False, now_s)
                continue
            is_first = running.output_left == running.job.output_tokens
            running.output_left -= 1
            self._listener.on_tokens(running.job, part + 1, is_first, now_s)
            if running.output_left > 0:
                continue
            rank.running.remove(running)
            self._listener.on_finished(running.job, now_s)
