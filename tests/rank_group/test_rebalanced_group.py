"""Tests that all members of a group adopt the map that one proposes by popularity."""

from __future__ import annotations

import unittest

import anyio
import numpy as np

from bench.harness.memory_store import MemoryStore, Objects
from bronzerudder.policy.placement import (
    IncrementalPlacement,
    PlacementParameters,
    Rebalancer,
    decode_map,
    encode_map,
    initial_map,
)
from bronzerudder.policy.placement.layout import layout_of_map, rank_loads, step_skew
from bronzerudder.policy.popularity import DecayingEstimator, LoadObservation
from bronzerudder.policy.weight_budget import DividedBudget, WeightStoreLimits
from bronzerudder.rank_group.member import RankGroupMember
from bronzerudder.rank_group.peers import RankPeers
from bronzerudder.rank_group.rebalancing import ExpertLoadSource, GroupRebalancing
from bronzerudder.rank_group.record import MapRecord
from bronzerudder.standin.rank.local import LocalRankEngine
from bronzerudder.standin.rank.maps import RankMaps

RANKS = 4
STEP_TIME_S = 0.005
TIMEOUT_S = 10.0
EXPERT_BYTES = 1_000_000
TOKENS = np.random.default_rng(1).lognormal(0, 1, (3, 16))


class DirectPeers(RankPeers):
    """Calls the other members in the same process."""

    def __init__(self, members):
        self._members = members

    async def call(self, rank, request, timeout_s):
        return await self._members[rank].answer(request)


class SameLoads(ExpertLoadSource):
    """Returns the same loads at every call."""

    async def read(self):
        return LoadObservation(TOKENS, 60.0)


class RebalancedGroupTest(unittest.IsolatedAsyncioTestCase):
    async def test_all_ranks_come_to_run_on_the_map_that_one_proposed(self):
        maps = [RankMaps(honours_terms=True) for _ in range(RANKS)]
        first = initial_map(RANKS, 5, 16, 3)
        members = self._build_members(maps, encode_map(first))
        loops = [self._build_loop(member) for member in members]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_steps, maps)
            for member in members:
                tasks.start_soon(member.run)
            with anyio.fail_after(TIMEOUT_S):
                await self._wait_same_map(maps, 0)
                formed = maps[0].status.active
                async with anyio.create_task_group() as changes:
                    for loop in reversed(loops):
                        await loop.run_interval(changes)
                await self._wait_same_map(maps, formed)
            tasks.cancel_scope.cancel()
        agreed = {member.last_map for member in members}
        self.assertEqual(len(agreed), 1)
        self.assertLess(self._skew(decode_map(agreed.pop())), self._skew(first))

    def _skew(self, expert_map):
        return step_skew(rank_loads(layout_of_map(expert_map).experts, TOKENS))

    def _build_members(self, maps, first_map):
        members = []
        record = MapRecord(MemoryStore(Objects()), "g")
        for rank, each in enumerate(maps):
            engine, peers = LocalRankEngine(each), DirectPeers(members)
            members.append(RankGroupMember(rank, RANKS, engine, peers, record, rank + 1, first_map))
        return members

    def _build_loop(self, member):
        policy = IncrementalPlacement(PlacementParameters(0.8, 0.2, EXPERT_BYTES))
        budget = DividedBudget(WeightStoreLimits(1e9, 1))
        rebalancer = Rebalancer(policy, DecayingEstimator(300.0), budget, 60.0)
        return GroupRebalancing(member, SameLoads(), rebalancer, 60.0)

    async def _run_steps(self, maps):
        while True:
            await anyio.sleep(STEP_TIME_S)
            for each in maps:
                each.declare_ready()

    async def _wait_same_map(self, maps, after):
        while True:
            versions = {each.status.active for each in maps}
            if len(versions) == 1 and min(versions) > after:
                return
            await anyio.sleep(STEP_TIME_S)


if __name__ == "__main__":
    unittest.main()
