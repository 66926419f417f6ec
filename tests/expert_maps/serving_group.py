"""A group that serves streams while demand shifts, in virtual time.

A step takes as long as its most loaded rank, set by set, so a map that does not fit the demand
makes events of all streams late. The processor time of planning is charged to the leader's
instance.
"""

from __future__ import annotations

import ast
import asyncio
import collections
import contextlib
import time
from typing import NamedTuple
from unittest import mock

import anyio
import numpy as np

from bronzerudder.expert_maps.shape import ExpertShape, MapBounds
from bronzerudder.standin.fleet.group import LoadedMap
from tests.expert_maps.simulated_agents import AddressedGroup, AgentGroup, virtual_time
from tests.expert_maps.simulated_group import run_virtual, seeded

HOLD_CHECK_S = 0.005
MEAN_EVENTS = 22.7
EVENTS_SPREAD = 0.7
MAX_EVENTS = 57


class Load(NamedTuple):
    """A group and what its requests ask of it.

    Parameters
    ----------
    ranks, sets, experts, slots : int
        Shape of the group: experts in each set, and experts that a rank can hold of a set.
    loads_per_change : int
        Experts of a set that a rank can load in one change.
    load_s : float
        Time to load one expert, in seconds.
    idle_step_s, stream_step_s : float
        Duration of a step whose ranks are loaded evenly, without streams and for each stream of a
        rank, in seconds.
    streams_per_s : float
        Streams that begin at the whole group each second.
    max_streams : int
        Streams that a rank serves at once; others wait.
    expert_share : float
        Fraction of a step's work that experts do.
    topics : int
        Number of topics; each has its own popular experts.
    popularity : float
        Exponent by which the popularity of experts falls with their place within a topic.
    shift_share : float
        Fraction of the demand that moves to another topic at each shift.
    shift_interval_s : float
        Time between shifts, in seconds.
    choices : int
        Choices of experts in each set and step.
    leader_cores : float
        Share of a core that the leader's instance has.
    max_first_s, max_gap_s : float
        Longest time to the first event, and between two events, of a stream that is on time, in
        seconds.
    late_credit : float
        What a complete but late stream counts, if one on time counts 1.
    """

    ranks: int
    sets: int
    experts: int
    slots: int
    loads_per_change: int
    load_s: float
    idle_step_s: float
    stream_step_s: float
    streams_per_s: float
    max_streams: int
    expert_share: float
    topics: int
    popularity: float
    shift_share: float
    shift_interval_s: float
    choices: int
    leader_cores: float
    max_first_s: float
    max_gap_s: float
    late_credit: float


class _Stream:
    """A stream that a caller waits for."""

    def __init__(self, begun_s, events):
        self.begun_s = begun_s
        self.last_event_s = None
        self.events = events
        self.is_late = False


class ServingGroup(AddressedGroup):
    """A group whose steps last as long as its map and the demand make them.

    Attributes
    ----------
    streams : list of tuple
        When each complete stream began, and whether all of its events were on time.
    """

    def __init__(self, load, seed):
        super().__init__(load.ranks, seeded(seed), 0.0, 0.0)
        self.streams = []
        self._running = []
        self._waiting = collections.deque()
        self._load = load
        self._random = np.random.default_rng(seed)
        places = np.arange(1, load.experts + 1) ** -load.popularity
        places /= places.sum()
        self._topics = np.array(
            [
                [places[self._random.permutation(load.experts)] for _ in range(load.sets)]
                for _ in range(load.topics)
            ]
        )
        self._topic = 0
        self._shares = np.full(load.topics, 1.0 / load.topics)
        self._layouts = {}
        self._held = {}
        self._chosen = np.zeros((load.ranks, load.sets, load.experts), dtype=np.int64)

    async def run(self):
        """Make steps until cancelled."""
        load = self._load
        while True:
            now_s = asyncio.get_running_loop().time()
            self._note_states(now_s)
            while not self.advance(now_s):
                await anyio.sleep(HOLD_CHECK_S)
                now_s = asyncio.get_running_loop().time()
            self._start_streams()
            demand = np.tensordot(self._shares, self._topics, 1)
            chosen = self._random.poisson(
                demand * (load.choices / load.ranks), (load.ranks, *demand.shape)
            )
            even_s = load.idle_step_s + load.stream_step_s * len(self._running) / load.ranks
            skew = self._skew(chosen.sum(axis=0))
            await anyio.sleep(even_s * (1.0 - load.expert_share + load.expert_share * skew))
            self._chosen += chosen
            self._add_events(asyncio.get_running_loop().time())

    async def run_arrivals(self):
        """Begin streams until cancelled."""
        while True:
            await anyio.sleep(self._random.exponential(1.0 / self._load.streams_per_s))
            events = MEAN_EVENTS * self._random.lognormal(-(EVENTS_SPREAD**2) / 2, EVENTS_SPREAD)
            events = min(max(1, round(events)), MAX_EVENTS)
            self._waiting.append(_Stream(asyncio.get_running_loop().time(), events))

    def _start_streams(self):
        places = self._load.ranks * self._load.max_streams
        while self._waiting and len(self._running) < places:
            self._running.append(self._waiting.popleft())

    def _add_events(self, now_s):
        """Give each running stream an event."""
        load = self._load
        for stream in self._running:
            if stream.last_event_s is None:
                stream.is_late = now_s - stream.begun_s > load.max_first_s
            elif now_s - stream.last_event_s > load.max_gap_s:
                stream.is_late = True
            stream.last_event_s = now_s
            stream.events -= 1
            if not stream.events:
                self.streams.append((stream.begun_s, not stream.is_late))
        self._running = [stream for stream in self._running if stream.events]

    async def run_shifts(self):
        """Move a share of the demand to another topic periodically until cancelled."""
        load = self._load
        while True:
            await anyio.sleep(load.shift_interval_s)
            self._topic = (
                self._topic + 1 + self.generator.randrange(load.topics - 1)
            ) % load.topics
            self._shares *= 1.0 - load.shift_share
            self._shares[self._topic] += load.shift_share

    def state(self, rank):
        if rank.loading is not None and rank.loading[1] <= asyncio.get_running_loop().time():
            rank.prepared, rank.loading = rank.loading[0], None
        return super().state(rank)

    def prepare(self, rank, version, content, now_s):
        load = self._load
        layout = self._layout(LoadedMap(version, content))
        new = [
            len(set(layout[index][rank.number]) - set(held))
            for index, held in enumerate(self.experts_by_set(rank))
        ]
        if max(new) > load.loads_per_change:
            return False
        accepted = super().prepare(rank, version, content, now_s)
        if accepted and rank.loading is not None:
            rank.loading = (rank.loading[0], now_s + sum(new) * load.load_s)
        return accepted

    def experts_by_set(self, rank):
        return [held[rank.number] for held in self._layout(rank.map)]

    def counts(self, rank):
        return self._chosen[rank.number].ravel().tolist()

    def credit(self, since_s):
        """Return what callers got of what was owed to them, for streams begun since some time."""
        counted = [on_time for begun_s, on_time in self.streams if begun_s >= since_s]
        late = self._load.late_credit
        return late + (1.0 - late) * sum(counted) / len(counted)

    def _note_states(self, now_s):
        for rank in self.ranks:
            self.history[rank.address].append((now_s, self.state(rank)))

    def _layout(self, loaded):
        if not loaded.version:
            ranks = range(self._load.ranks)
            held = [list(range(rank, self._load.experts, self._load.ranks)) for rank in ranks]
            return [held] * self._load.sets
        if loaded.content not in self._layouts:
            self._layouts[loaded.content] = ast.literal_eval(loaded.content)
        return self._layouts[loaded.content]

    def _skew(self, chosen):
        """Return the largest over mean load of the ranks, as the sum of all sets."""
        loaded = self.ranks[0].map
        if loaded not in self._held:
            held = np.zeros((self._load.sets, self._load.ranks, self._load.experts))
            for index, ranks in enumerate(self._layout(loaded)):
                for number, experts in enumerate(ranks):
                    held[index, number, experts] = 1.0
            self._held[loaded] = held / held.sum(axis=1, keepdims=True)
        loads = np.einsum("sre,se->sr", self._held[loaded], chosen)
        return float(loads.max(axis=1).sum() / loads.mean(axis=1).sum())


def serve(load, seed, duration_s):
    """Let agents keep the experts of a group placed for some time; return the group."""
    group = ServingGroup(load, seed)
    bounds = MapBounds(load.slots, load.loads_per_change)
    target_s = 0.5 * load.max_gap_s
    shape = ExpertShape(load.sets, load.experts, bounds, target_s, load.load_s)
    agents = AgentGroup(load.ranks, seed, group=group, shape=shape)

    async def simulate():
        async with anyio.create_task_group() as tasks:
            agents.start(tasks)
            tasks.start_soon(group.run_shifts)
            tasks.start_soon(group.run_arrivals)
            await anyio.sleep(duration_s)
            tasks.cancel_scope.cancel()

    with virtual_time(seed), _charged_planning(load.leader_cores):
        run_virtual(simulate)
    return group


@contextlib.contextmanager
def _charged_planning(cores):
    """Let virtual time pass by the processor time of functions that run in threads."""

    async def run(function):
        started_s = time.thread_time()
        result = function()
        await anyio.sleep((time.thread_time() - started_s) / cores)
        return result

    with mock.patch("anyio.to_thread.run_sync", run):
        yield
