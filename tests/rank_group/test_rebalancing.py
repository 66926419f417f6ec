"""Tests of when a rank proposes a map by the popularity of experts."""

from __future__ import annotations

import unittest

import anyio
import numpy as np

from bronzerudder.policy.placement import (
    ExpertMap,
    IncrementalPlacement,
    NoChangeKind,
    PlacementErrorKind,
    PlacementParameters,
    Rebalancer,
    decode_map,
    encode_map,
    initial_map,
)
from bronzerudder.policy.popularity import DecayingEstimator, LoadObservation
from bronzerudder.policy.weight_budget import DividedBudget, WeightStoreLimits
from bronzerudder.rank_group.rebalancing import ExpertLoadSource, GroupRebalancing

INTERVAL_S = 60.0
EXPERT_BYTES = 1_000_000


class Source(ExpertLoadSource):
    """Returns the same skewed loads at every call."""

    def __init__(self):
        self.reads = 0
        self._tokens = np.random.default_rng(1).lognormal(0, 1, (3, 16))

    async def read(self):
        self.reads += 1
        return LoadObservation(self._tokens, INTERVAL_S)


class Member:
    """Adopts a proposed map once the test sets ``loaded``."""

    def __init__(self):
        self.last_map = encode_map(initial_map(4, 5, 16, 3))
        self.lowest = True
        self.proposed = []
        self.loaded = anyio.Event()

    async def is_lowest_live(self):
        return self.lowest

    async def change_map(self, expert_map):
        self.proposed.append(expert_map)
        await self.loaded.wait()
        self.last_map = expert_map


class Budget(DividedBudget):
    """Counts releases."""

    releases = 0

    async def release(self):
        self.releases += 1


class GroupRebalancingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.member, self.source = Member(), Source()
        self.budget = Budget(WeightStoreLimits(1e9, 1))
        policy = IncrementalPlacement(PlacementParameters(0.8, 0.2, EXPERT_BYTES))
        rebalancer = Rebalancer(policy, DecayingEstimator(300.0), self.budget, INTERVAL_S)
        self.rebalancing = GroupRebalancing(self.member, self.source, rebalancer, INTERVAL_S)

    async def test_the_lowest_live_rank_proposes_and_goes_on_observing_meanwhile(self):
        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                await self.rebalancing.run_interval(tasks)
                await anyio.wait_all_tasks_blocked()
            self.assertEqual((len(self.member.proposed), self.source.reads), (1, 3))
            self.assertEqual(self.budget.releases, 0)
            self.member.loaded.set()
        self.assertIsInstance(decode_map(self.member.last_map), ExpertMap)
        self.assertEqual(self.budget.releases, 1)

    async def test_it_settles_once_the_map_is_even(self):
        self.member.loaded.set()
        async with anyio.create_task_group() as tasks:
            for _ in range(8):
                await self.rebalancing.run_interval(tasks)
                await anyio.wait_all_tasks_blocked()
        settled = (NoChangeKind.BALANCED, NoChangeKind.NOT_WORTH_ITS_COST)
        self.assertIn(self.rebalancing.last_no_change.kind, settled)
        self.assertLess(len(self.member.proposed), 8)

    async def test_other_ranks_observe_and_propose_nothing(self):
        self.member.lowest = False
        async with anyio.create_task_group() as tasks:
            await self.rebalancing.run_interval(tasks)
        self.assertEqual((self.member.proposed, self.source.reads), ([], 1))

    async def test_a_map_that_can_not_be_read_is_left_alone(self):
        self.member.last_map = b"not a map"
        async with anyio.create_task_group() as tasks:
            await self.rebalancing.run_interval(tasks)
        self.assertEqual(self.rebalancing.last_no_change.kind, PlacementErrorKind.MALFORMED)
        self.assertEqual(self.member.proposed, [])


if __name__ == "__main__":
    unittest.main()
