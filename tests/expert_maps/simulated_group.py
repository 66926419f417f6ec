"""A group of ranks in virtual time, with orders that are lost, late or blocked."""

from __future__ import annotations

import asyncio
import random

import anyio

from bronzerudder.expert_maps.api import OrderResult, RankFailure, RankOrders
from bronzerudder.standin.fleet import LockstepGroup

STEP_S = 0.05
ANSWER_S = 0.003
TIMEOUT_S = 0.1
REPORT_LAG_S = 0.2
LATE_S = (2.0, 12.0)


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
    """Stands in for the module ``time`` where code reads the steady clock."""

    @staticmethod
    def monotonic():
        return asyncio.get_running_loop().time()


class SimulatedGroup(LockstepGroup):
    """A group in virtual time, whose ranks keep what they told."""

    def __init__(self, size, generator, late=0.0, lost=0.0):
        super().__init__([f"rank-{number}" for number in range(size)])
        self.generator = generator
        self.late = late
        self.lost = lost
        self.blocked_until_s: dict[str, float] = {}
        self.stood_s = 0.0
        self.history = {rank.address: [] for rank in self.ranks}

    def prepared_by(self, version):
        return {
            rank.address
            for rank in self.ranks
            if rank.prepared is not None and rank.prepared.version == version
        }

    async def run(self):
        """Make steps for ever."""
        while True:
            await anyio.sleep(STEP_S)
            now_s = asyncio.get_running_loop().time()
            for rank in self.ranks:
                self.history[rank.address].append((now_s, self.state(rank)))
            if not self.advance(now_s):
                self.stood_s += STEP_S

    def carry_out(self, rank, order, epoch) -> bool:
        """Carry an order out if the rank's state allows it."""
        kind, *words = order
        if epoch != self.epoch:
            return False
        if kind == "prepare":
            words.append(asyncio.get_running_loop().time())
        return getattr(self, kind)(rank, *words)


class SimulatedOrders(RankOrders):
    """One leader's way to the ranks.

    Parameters
    ----------
    group : SimulatedGroup
        The ranks.
    tasks : TaskGroup
        Runs late orders.
    frozen : tuple
        From when until when this leader's machine stands still, in virtual seconds.
    """

    def __init__(self, group, tasks, frozen=(0.0, 0.0), own=""):
        self._group = group
        self._tasks = tasks
        self._frozen = frozen
        self._own = own
        self.freeze_after = None
        self.orders = 0

    async def prepare(self, rank, version, layout):
        return await self._give(rank, ("prepare", version, str(layout)))

    async def arm(self, rank, version, step):
        return await self._give(rank, ("arm", version, step))

    async def disarm(self, rank, version):
        return await self._give(rank, ("disarm", version))

    async def hold(self, rank, step):
        return await self._give(rank, ("hold", step))

    async def release(self, rank, step):
        return await self._give(rank, ("release", step))

    async def state(self, address):
        await self._thaw()
        await anyio.sleep(ANSWER_S)
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

    async def _give(self, rank, order):
        await self._thaw()
        self.orders += 1
        if self.freeze_after is not None and self.orders == self.freeze_after[0]:
            now_s = asyncio.get_running_loop().time()
            self._frozen = (now_s, now_s + self.freeze_after[1])
            self._group.blocked_until_s[self._own] = self._frozen[1]
        generator = self._group.generator
        found = self._find(rank.address)
        if self._is_blocked(rank.address):
            await anyio.sleep(TIMEOUT_S)
            return OrderResult.UNKNOWN
        if generator.random() < self._group.late:
            self._tasks.start_soon(self._carry_out_late, found, order, rank.epoch)
            await anyio.sleep(TIMEOUT_S)
            await self._thaw()
            return OrderResult.UNKNOWN
        await anyio.sleep(ANSWER_S * generator.uniform(0.2, 1.0))
        done = self._group.carry_out(found, order, rank.epoch)
        await self._thaw()
        if generator.random() < self._group.lost:
            await anyio.sleep(TIMEOUT_S)
            return OrderResult.UNKNOWN
        return OrderResult.ACCEPTED if done else OrderResult.REFUSED

    async def _carry_out_late(self, rank, order, epoch):
        await anyio.sleep(self._group.generator.uniform(*LATE_S))
        self._group.carry_out(rank, order, epoch)

    async def _thaw(self):
        now_s = asyncio.get_running_loop().time()
        if self._frozen[0] <= now_s < self._frozen[1]:
            await anyio.sleep(self._frozen[1] - now_s)

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
    """Return a generator for a seed."""
    return random.Random(seed)
