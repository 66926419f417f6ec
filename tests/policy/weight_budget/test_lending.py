"""Tests that the rates granted to all groups never exceed the weight store's rate."""

from __future__ import annotations

import random
import unittest

import anyio

from bench.harness.memory_store import DOWN, LOST, MemoryStore, Objects
from bronzerudder.policy.weight_budget import DividedBudget, LendingBudget, WeightStoreLimits
from bronzerudder.policy.weight_budget.lending import CLOCK_TOLERANCE_S

RATE = 1e9
GROUPS = 8
LIMITS = WeightStoreLimits(RATE, GROUPS)
LOAD_BYTES = 10_000_000_000


class Clock:
    """A clock that tests advance."""

    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


class LendingBudgetTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.objects = Objects()
        self.clock = Clock()
        self.stores = [MemoryStore(self.objects) for _ in range(GROUPS)]
        self.budgets = [
            LendingBudget(store, f"group-{number}", LIMITS, self.clock)
            for number, store in enumerate(self.stores)
        ]

    def assert_within_rate(self, grants):
        idle = sum(b.assured_bytes_per_s for b in self.budgets[len(grants) :])
        self.assertLessEqual(sum(grant.bytes_per_s for grant in grants) + idle, RATE * 1.0001)

    async def test_a_lone_group_gets_more_than_its_even_part(self):
        grant = await self.budgets[0].acquire(LOAD_BYTES)
        even = DividedBudget(LIMITS).assured_bytes_per_s
        self.assertGreater(grant.bytes_per_s, 2 * even)
        self.assert_within_rate([grant])

    async def test_groups_that_borrow_at_once_keep_to_the_rate(self):
        for seed in range(20):
            with self.subTest(seed=seed):
                self.setUp()
                generator = random.Random(seed)
                for store in self.stores:
                    store.round_trip_s = generator.uniform(0.0, 0.002)
                    store.fault = lambda generator=generator: generator.choice(
                        [None, None, LOST, DOWN]
                    )
                grants = [None] * GROUPS
                async with anyio.create_task_group() as tasks:
                    for number in range(GROUPS):
                        tasks.start_soon(self._acquire, number, grants)
                self.assert_within_rate(grants)

    async def _acquire(self, number, grants):
        grants[number] = await self.budgets[number].acquire(LOAD_BYTES)

    async def test_the_assured_rate_needs_no_platform(self):
        self.stores[0].down = True
        grant = await self.budgets[0].acquire(LOAD_BYTES)
        self.assertEqual(grant.bytes_per_s, self.budgets[0].assured_bytes_per_s)
        await self.budgets[0].release()

    async def test_a_loan_of_a_dead_group_ends_by_its_time(self):
        lost = await self.budgets[0].acquire(LOAD_BYTES)
        during = await self.budgets[1].acquire(LOAD_BYTES)
        self.assertLess(during.borrowed_bytes_per_s, lost.borrowed_bytes_per_s)
        await self.budgets[1].release()
        self.clock.now_s += lost.borrowed_for_s + CLOCK_TOLERANCE_S + 1
        after = await self.budgets[1].acquire(LOAD_BYTES)
        self.assertEqual(after.borrowed_bytes_per_s, lost.borrowed_bytes_per_s)

    async def test_a_loan_is_free_again_after_its_release(self):
        first = await self.budgets[0].acquire(LOAD_BYTES)
        await self.budgets[0].release()
        second = await self.budgets[1].acquire(LOAD_BYTES)
        self.assertEqual(first.borrowed_bytes_per_s, second.borrowed_bytes_per_s)

    async def test_a_malformed_ledger_leaves_the_assured_rate(self):
        self.objects.put("weight-loans", "all", b'{"loans": 3}', 0)
        grant = await self.budgets[0].acquire(LOAD_BYTES)
        self.assertEqual(grant.borrowed_bytes_per_s, 0)


if __name__ == "__main__":
    unittest.main()
