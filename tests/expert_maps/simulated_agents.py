"""Agents of a group in virtual time, with a store that may be restored from an older copy."""

from __future__ import annotations

import ast
import asyncio
import contextlib
from unittest import mock

import anyio

from bronzerudder.expert_maps import agent, change, leader, leadership
from bronzerudder.expert_maps.agent import RankAgent
from bronzerudder.expert_maps.api import RankCalls, RankCounts, RankExperts, RankFailure
from bronzerudder.expert_maps.counts import AgentCounts
from bronzerudder.expert_maps.shape import ExpertShape, MapBounds
from bronzerudder.http1 import HttpError, HttpErrorKind, Request
from bronzerudder.platform.api import ABSENT_VERSION, ObjectStore, StoredObject
from bronzerudder.platform.errors import StoreError, StoreErrorKind
from tests.expert_maps.simulated_group import (
    SimulatedGroup,
    SimulatedOrders,
    VirtualTime,
    seeded,
)

EXPERTS = 16
BOUNDS = MapBounds(5, 2)
AGENT_PORT = 9
COPY_INTERVAL_S = 0.25
STORE_TIME_S = 0.004
LINK_TIME_S = 0.002
GROUP = "g"


class RecordStore(ObjectStore):
    """The part of a store that agents use for the leader's record."""

    async def delete(self, kind, name, if_version):
        raise NotImplementedError

    async def list(self, kind, stale=False):
        raise NotImplementedError

    async def watch(self, kind, after_version, timeout_s):
        raise NotImplementedError


class SimulatedStore(RecordStore):
    """Objects in memory, with copies of earlier states.

    Attributes
    ----------
    is_away : bool
        Whether calls fail.
    """

    def __init__(self):
        self.is_away = False
        self._objects = {}
        self._revision = 1
        self._copies = [({}, 1)]

    async def run_copies(self):
        """Copy the state periodically until cancelled."""
        while True:
            await anyio.sleep(COPY_INTERVAL_S)
            if not self.is_away:
                self._copies.append((dict(self._objects), self._revision))

    async def drill(self, age_s, away_s):
        """Be away for some time, and come back as of some time ago."""
        self.is_away = True
        await anyio.sleep(away_s)
        kept = max(1, len(self._copies) - round(age_s / COPY_INTERVAL_S))
        del self._copies[kept:]
        objects, self._revision = self._copies[-1]
        self._objects = dict(objects)
        self.is_away = False

    async def get(self, kind, name):
        await anyio.sleep(STORE_TIME_S)
        if self.is_away:
            return StoreError(StoreErrorKind.UNAVAILABLE, "away")
        stored = self._objects.get((kind, name))
        return StoreError(StoreErrorKind.NOT_FOUND, "absent") if stored is None else stored

    async def put(self, kind, name, value, if_version):
        await anyio.sleep(STORE_TIME_S)
        if self.is_away:
            return StoreError(StoreErrorKind.UNAVAILABLE, "away")
        stored = self._objects.get((kind, name))
        if if_version != (ABSENT_VERSION if stored is None else stored.version):
            return StoreError(StoreErrorKind.CONFLICT, "another version")
        self._revision += 1
        self._objects[kind, name] = StoredObject(kind, name, self._revision, value)
        return self._revision


class SuspendedStore(RecordStore):
    """One agent's view of the store: its calls wait while the agent is suspended."""

    def __init__(self, store, instance):
        self._store = store
        self._instance = instance

    async def get(self, kind, name):
        await self._instance.wait()
        answer = await self._store.get(kind, name)
        await self._instance.wait()
        return answer

    async def put(self, kind, name, value, if_version):
        await self._instance.wait()
        answer = await self._store.put(kind, name, value, if_version)
        await self._instance.wait()
        return answer


class Instance:
    """Whether an instance is suspended."""

    def __init__(self):
        self.until_s = 0.0

    @property
    def suspended(self):
        return asyncio.get_running_loop().time() < self.until_s

    def suspend(self, duration_s):
        self.until_s = asyncio.get_running_loop().time() + duration_s

    async def wait(self):
        while self.suspended:
            await anyio.sleep(self.until_s - asyncio.get_running_loop().time())


class AddressedGroup(SimulatedGroup):
    """A group whose ranks have addresses with hosts and ports, and whose demand can shift."""

    def __init__(self, size, generator, late, lost):
        super().__init__(size, generator, late, lost, name=GROUP)
        for rank in self.ranks:
            rank.address = f"host-{rank.number}:1"
        self.history = {rank.address: [] for rank in self.ranks}
        self.contents = {}
        self._hot = [0, size]
        self._counts = [0] * EXPERTS

    def prepare(self, rank, version, content, now_s):
        accepted = super().prepare(rank, version, content, now_s)
        if accepted:
            self.contents.setdefault(version, set()).add(content)
        return accepted

    def advance(self, now_s):
        for expert in range(EXPERTS):
            self._counts[expert] += 400 if expert in self._hot else 10
        return super().advance(now_s)

    def shift_demand(self):
        """Make two experts popular that one rank holds under the map in use."""
        rank = self.generator.choice(self.ranks)
        held = self.experts(rank)
        others = [set(self.experts(other)) for other in self.ranks if other is not rank]
        held.sort(key=lambda expert: sum(expert in experts for experts in others))
        self._hot = held[:2]

    def experts(self, rank):
        """Return the experts that a rank holds."""
        if not rank.map.version:
            return list(range(rank.number, EXPERTS, len(self.ranks)))
        return list(ast.literal_eval(rank.map.content)[0][rank.number])

    def experts_by_set(self, rank):
        """Return the experts that a rank holds, by set of layers."""
        return [self.experts(rank)]

    def counts(self, rank):
        """Return how often the requests of a rank chose each expert."""
        del rank
        return list(self._counts)


class SimulatedRanks(SimulatedOrders, RankCalls):
    """One agent's calls to the ranks, which wait while it is suspended."""

    def __init__(self, group, tasks, own, instance):
        super().__init__(group, tasks, own=own)
        self._instance = instance

    async def _wait_while_stalled(self):
        await self._instance.wait()

    async def counts(self, address):
        await self._instance.wait()
        return RankCounts(self._group.epoch, self._group.counts(self._find(address)))

    async def experts(self, address):
        await self._instance.wait()
        if self._is_blocked(address):
            return RankFailure("no answer in time")
        rank = self._find(address)
        return RankExperts(rank.map.version, self._group.experts_by_set(rank))


class Answer:
    """Keeps the answer to one call."""

    def __init__(self):
        self.value = HttpError(HttpErrorKind.BROKEN, "no answer")
        self.given = anyio.Event()

    async def respond(self, status, headers, body):
        self.value = (status, body)


class SimulatedLinks:
    """Calls between agents, in place of a connection pool.

    A suspended agent handles a call when it is resumed, also if the caller waits no longer.
    """

    def __init__(self, agents, instances, own, tasks):
        self._agents = agents
        self._instances = instances
        self._own = own
        self._tasks = tasks

    async def call(self, address, method, target, headers, body):
        number = int(address.partition(":")[0].partition("-")[2])
        await self._instances[self._own].wait()
        await anyio.sleep(LINK_TIME_S)
        answer = Answer()
        self._tasks.start_soon(self._handle, number, Request(method, target, (), body), answer)
        await answer.given.wait()
        await anyio.sleep(LINK_TIME_S)
        await self._instances[self._own].wait()
        return answer.value

    async def _handle(self, number, request, answer):
        await self._instances[number].wait()
        await self._agents[number].handle(request, answer)
        await self._instances[number].wait()
        answer.given.set()


class AgentGroup:
    """All agents of a group.

    Parameters
    ----------
    size, seed : int
        Number of ranks, and the seed of all draws.
    late, lost : float
        Fractions of orders that are executed late, and of lost answers.
    group, shape : AddressedGroup, ExpertShape
        The group and the shape of its maps, if they are not the default ones.

    Attributes
    ----------
    group, store : SimulatedGroup, SimulatedStore
        What they act on.
    instances : list of Instance
        Suspends the agents.
    """

    def __init__(self, size, seed, late=0.0, lost=0.0, group=None, shape=None):
        self.generator = seeded(seed)
        self.group = group or AddressedGroup(size, self.generator, late, lost)
        self._shape = shape or ExpertShape(1, EXPERTS, BOUNDS, 0.01)
        self.store = SimulatedStore()
        self.instances = [Instance() for _ in range(size)]
        self.agents = []

    def start(self, tasks):
        """Start the group, the store and all agents."""
        addresses = tuple(rank.address for rank in self.group.ranks)

        async def read_shape():
            return self._shape

        async def list_ranks():
            return addresses

        tasks.start_soon(self.group.run)
        tasks.start_soon(self.store.run_copies)
        for number, address in enumerate(addresses):
            instance = self.instances[number]
            item = RankAgent(
                SimulatedRanks(self.group, tasks, address, instance),
                address,
                f"host-{number}:{AGENT_PORT}",
                SuspendedStore(self.store, instance),
                read_shape,
                list_ranks,
                lambda state: None,
                mock.Mock(),
                AgentCounts(),
                tasks,
            )
            item._pool = item._relay._pool = SimulatedLinks(
                self.agents, self.instances, number, tasks
            )
            self.agents.append(item)
            tasks.start_soon(item.run)

    def leaders(self):
        """Return the numbers of the agents that lead or believe to."""
        return [number for number, item in enumerate(self.agents) if item.group_leader is not None]

    def versions(self):
        """Return the versions in use."""
        return {rank.map.version for rank in self.group.ranks}


async def _run_directly(function):
    return function()


@contextlib.contextmanager
def virtual_time(seed):
    """Make agents read the virtual time, and draw by a seed."""
    with contextlib.ExitStack() as patches:
        for module in (agent, leader, change):
            patches.enter_context(mock.patch.object(module, "time", VirtualTime))
        # Virtual time would pass while a thread plans.
        patches.enter_context(mock.patch("anyio.to_thread.run_sync", _run_directly))
        generator = seeded(seed)
        for module in (agent, leadership):
            patches.enter_context(mock.patch.object(module, "random", generator))
        yield
