"""Tests of the rebalancer, which proposes map changes for a group in each interval."""

from __future__ import annotations

import threading
import unittest

import anyio
import numpy as np

from bench.placement import WORKLOADS, Variant, replay
from bench.traces import GroupShape
from bronzerudder.policy.placement import (
    IncrementalPlacement,
    NoChange,
    NoChangeKind,
    PlacementParameters,
    PlacementPolicy,
    Rebalancer,
    initial_map,
)
from bronzerudder.policy.popularity import DecayingEstimator, LoadObservation
from bronzerudder.policy.weight_budget import DividedBudget, WeightStoreLimits

EXPERT_BYTES = 1_000_000
INTERVAL_S = 60.0
RELEASE_TIMEOUT_S = 10.0


class WaitingPolicy(PlacementPolicy):
    """Decides only after the event loop has run another task."""

    def __init__(self):
        self.loop_ran = threading.Event()

    def decide(self, active, popularity, allowance):
        ran = self.loop_ran.wait(RELEASE_TIMEOUT_S)
        return NoChange(NoChangeKind.STATIC, f"loop ran: {ran}")


def build(policy, groups=1):
    budget = DividedBudget(WeightStoreLimits(1e9, groups))
    return Rebalancer(policy, DecayingEstimator(300.0), budget, INTERVAL_S)


def observation(layers=3, experts=16):
    tokens = np.random.default_rng(1).lognormal(0, 1, (layers, experts))
    return LoadObservation(tokens, INTERVAL_S)


class RebalancerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.policy = IncrementalPlacement(PlacementParameters(0.8, 0.2, EXPERT_BYTES))

    async def test_it_holds_until_loads_were_observed(self):
        decision = await build(self.policy).propose(initial_map(4, 5, 16, 3))
        self.assertEqual(decision.kind, NoChangeKind.UNOBSERVED)

    async def test_it_holds_when_loads_are_of_another_shape(self):
        rebalancer = build(self.policy)
        rebalancer.observe(observation(layers=2))
        decision = await rebalancer.propose(initial_map(4, 5, 16, 3))
        self.assertEqual(decision.kind, NoChangeKind.SHAPE)

    async def test_a_proposal_loads_within_the_interval_at_the_groups_part_of_the_rate(self):
        for groups in (1, 1000):
            rebalancer = build(self.policy, groups)
            rebalancer.observe(observation())
            granted = await rebalancer.propose(initial_map(4, 5, 16, 3))
            self.assertEqual(granted.grant.bytes_per_s, 1e9 / groups)
            load_s = granted.proposal.load_bytes / granted.grant.bytes_per_s
            self.assertLessEqual(load_s, INTERVAL_S)

    async def test_the_event_loop_runs_while_a_policy_decides(self):
        policy = WaitingPolicy()
        rebalancer = build(policy)
        rebalancer.observe(observation())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._signal_loop_ran, policy)
            decision = await rebalancer.propose(initial_map(4, 5, 16, 3))
        self.assertEqual(decision.reason, "loop ran: True")

    async def _signal_loop_ran(self, policy):
        policy.loop_ran.set()


class TargetTest(unittest.IsolatedAsyncioTestCase):
    """Replays a short part of each trace; ``bench/placement.py`` replays all of it."""

    async def test_skew_and_bytes_keep_to_the_targets_of_each_customer(self):
        shape = GroupShape(layers=4)
        for workload in WORKLOADS:
            with self.subTest(workload=workload.name):
                short = type("Short", (workload.trace,), {"interval_count": 150})
                shortened = workload._replace(trace=short)
                runs = {}
                for policy in ("static", "full", "incremental"):
                    runs[policy] = await replay(shortened, Variant(policy, policy), 21, shape)
                full, ours, static = (runs[p] for p in ("full", "incremental", "static"))
                self.assertLessEqual(ours.median_skew, workload.skew_target * full.median_skew)
                self.assertLessEqual(ours.high_skew, workload.skew_target * full.high_skew)
                self.assertLessEqual(ours.loaded_bytes, workload.bytes_target * full.loaded_bytes)
                self.assertLess(ours.median_skew, static.median_skew)


if __name__ == "__main__":
    unittest.main()
