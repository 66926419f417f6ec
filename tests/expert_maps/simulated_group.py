"""A group of ranks in virtual time, with lost or late orders and unreachable ranks."""

from __future__ import annotations

import asyncio
import random
import time

import anyio

from bronzerudder.expert_maps.api import OrderResult, RankFailure, RankOrders
from bronzerudder.standin.fleet import LockstepGroup

STEP_S = 0.05
ANSWER_TIME_S = 0.003
TIMEOUT_S = 0.1
REPORT_LAG_S = 0.2
LATE_DELAY_S = (2.0, 12.0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Jumps to the next timer whenever nothing is ready."""

    def __init__(self):
        super().__init__()
        self._now_s = 0.0

    def time(self):
        return self._now_s

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._now_s = max(self._now_s, self._scheduled[0].when())
        super()._run_once()


class VirtualTime:
    """Replaces the module ``time`` where code reads the monotonic clock."""

    process_time = staticmethod(time.process_time)

    @staticmethod
    def monotonic():
        return asyncio.get_running_loop().time()


class SimulatedGroup(LockstepGroup):
    """A group in virtual time, which keeps the history of its ranks' states.

    Parameters
    ----------
    size : int
        Number of ranks.
    generator : random.Random
        Draws all faults and delays.
    late, lost : float
        Fractions of orders that are executed late without an answer, and of lost answers.
    name : str
        Its name, with which the addresses of its ranks begin.

    Attributes
    ----------
    blocked_until_s : dict of str to float
        Virtual time until which a rank is unreachable for others, by address.
    held_s : float
        Total time during which a held step kept the group waiting.
    """

    def __init__(self, size, generator, late=0.0, lost=0.0, name="rank"):
        super().__init__([f"{name}-{number}" for number in range(size)], name=name)
        self.generator = generator
        self.late = late
        self.lost = lost
        self.blocked_until_s: dict[str, float] = {}
        self.held_s = 0.0
        self.history = {rank.address: [] for rank in self.ranks}

    def prepared_by(self, version):
        return {
            rank.address
            for rank in self.ranks
            if rank.prepared is not None and rank.prepared.version == version
        }

    async def run(self):
        """Make steps until cancelled."""
        while True:
            await anyio.sleep(STEP_S)
            now_s = asyncio.get_running_loop().time()
            for rank in self.ranks:
                self.history[rank.address].append((now_s, self.state(rank)))
            if not self.advance(now_s):
                self.held_s += STEP_S

    def execute(self, rank, order, epoch) -> bool:
        """Execute an order if the rank's state allows it; return whether it does."""
        kind, *words = order
        if epoch != self.epoch:
            return False
        if kind == "prepare":
            words.append(asyncio.get_running_loop().time())
        return getattr(self, kind)(rank, *words)


class SimulatedOrders(RankOrders):
    """Sends one leader's orders to the ranks.

    Parameters
    ----------
    group : SimulatedGroup
        The ranks.
    tasks : TaskGroup
        Runs late orders.
    stalled : tuple
        Virtual times from and until which this leader's instance is stalled.
    own : str
        Address of the rank next to the leader, which is unreachable while the leader is stalled.

    Attributes
    ----------
    stall_after : tuple or None
        Number of the order after which the leader stalls, and for how many seconds.
    """

    def __init__(self, group, tasks, stalled=(0.0, 0.0), own=""):
        self._group = group
        self._tasks = tasks
        self._stalled = stalled
        self._own = own
        self.stall_after = None
        self.orders = 0

    async def prepare(self, rank, version, layout):
        return await self._send(rank, ("prepare", version, str(layout)))

    async def arm(self, rank, version, step):
        return await self._send(rank, ("arm", version, step))

    async def disarm(self, rank, version):
        return await self._send(rank, ("disarm", version))

    async def hold(self, rank, step):
        return await self._send(rank, ("hold", step))

    async def release(self, rank, step):
        return await self._send(rank, ("release", step))

    async def state(self, address):
        await self._wait_while_stalled()
        await anyio.sleep(ANSWER_TIME_S)
        if self._is_blocked(address):
            await anyio.sleep(TIMEOUT_S)
            return RankFailure("no answer in time")
        rank = self._find(address)
        if address == self._own:
            return self._group.state(rank)
        now_s = asyncio.get_running_loop().time()
        for at_s, state in reversed(self._group.history[address]):
            if at_s <= now_s - REPORT_LAG_S:
                return state
        return self._group.state(rank)

    async def _send(self, rank, order):
        await self._wait_while_stalled()
        self.orders += 1
        if self.stall_after is not None and self.orders == self.stall_after[0]:
            now_s = asyncio.get_running_loop().time()
            self._stalled = (now_s, now_s + self.stall_after[1])
            self._group.blocked_until_s[self._own] = self._stalled[1]
        generator = self._group.generator
        found = self._find(rank.address)
        if self._is_blocked(rank.address):
            await anyio.sleep(TIMEOUT_S)
            return OrderResult.UNKNOWN
        if generator.random() < self._group.late:
            self._tasks.start_soon(self._execute_late, found, order, rank.epoch)
            await anyio.sleep(TIMEOUT_S)
            await self._wait_while_stalled()
            return OrderResult.UNKNOWN
        await anyio.sleep(ANSWER_TIME_S * generator.uniform(0.2, 1.0))
        done = self._group.execute(found, order, rank.epoch)
        await self._wait_while_stalled()
        if generator.random() < self._group.lost:
            await anyio.sleep(TIMEOUT_S)
            return OrderResult.UNKNOWN
        return OrderResult.ACCEPTED if done else OrderResult.REFUSED

    async def _execute_late(self, rank, order, epoch):
        await anyio.sleep(self._group.generator.uniform(*LATE_DELAY_S))
        self._group.execute(rank, order, epoch)

    async def _wait_while_stalled(self):
        now_s = asyncio.get_running_loop().time()
        if self._stalled[0] <= now_s < self._stalled[1]:
            await anyio.sleep(self._stalled[1] - now_s)

    def _is_blocked(self, address):
        if address == self._own:
            return False
        until_s = self._group.blocked_until_s.get(address, 0.0)
        return asyncio.get_running_loop().time() < until_s

    def _find(self, address):
        return next(rank for rank in self._group.ranks if rank.address == address)


def run_virtual(function, *arguments):
    """Run a coroutine function in virtual time."""
    return anyio.run(
        function, *arguments, backend="asyncio", backend_options={"loop_factory": VirtualLoop}
    )


def seeded(seed):
    """Return a random generator with a seed."""
    return random.Random(seed)
