"""Tests of the invariants of all placement policies and of each policy's purpose."""

from __future__ import annotations

import math
import time
import unittest

import numpy as np
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzerudder.policy.placement import (
    ExpertMap,
    FullPlacement,
    IncrementalPlacement,
    LoadAllowance,
    NoChange,
    NoChangeKind,
    PlacementParameters,
    Proposal,
    StaticPlacement,
    build_map,
    initial_map,
)
from bronzerudder.policy.placement.layout import layout_of_map, rank_loads, slots_to_load, step_skew

EXPERT_BYTES = 1_000
AMPLE = LoadAllowance(10**12, 1e9)
EVEN_PARAMETERS = PlacementParameters(0.5, 0.5, EXPERT_BYTES)
DECISION_TARGET_S = 0.050
DECISIONS = 20
shapes = st.sampled_from([(4, 5, 16, 3), (8, 3, 20, 2), (32, 2, 16, 2), (64, 1, 8, 2)])


def skewed_popularity(seed, layers, experts, sigma=1.0):
    popularity = np.random.default_rng(seed).lognormal(0, sigma, (layers, experts))
    return popularity / popularity.sum(axis=1, keepdims=True)


def skew_of(expert_map, popularity):
    return step_skew(rank_loads(layout_of_map(expert_map).experts, popularity))


class EveryPolicyTest(unittest.TestCase):
    @settings(max_examples=30)
    @given(shapes, st.integers(0, 10_000), st.integers(0, 60))
    def test_a_proposal_is_a_whole_map_and_says_its_true_cost(self, shape, seed, affordable):
        ranks, width, experts, layers = shape
        active = initial_map(ranks, width, experts, layers)
        allowance = LoadAllowance(affordable * EXPERT_BYTES, 1e9)
        for policy in (FullPlacement(EVEN_PARAMETERS), IncrementalPlacement(EVEN_PARAMETERS)):
            decision = policy.decide(active, skewed_popularity(seed, layers, experts), allowance)
            if isinstance(decision, NoChange):
                continue
            proposed = decision.expert_map
            checked = build_map(
                proposed.version, experts, proposed.experts.copy(), proposed.slot_ranks
            )
            self.assertIsInstance(checked, ExpertMap)
            self.assertEqual(proposed.version, active.version + 1)
            loads = slots_to_load(layout_of_map(active).experts, layout_of_map(proposed).experts)
            self.assertEqual(decision.load_count, loads.sum())
            self.assertEqual(decision.load_bytes, loads.sum() * EXPERT_BYTES)
            if isinstance(policy, IncrementalPlacement):
                self.assertLessEqual(decision.load_bytes, allowance.bytes)

    def test_the_static_policy_never_moves(self):
        decision = StaticPlacement().decide(
            initial_map(4, 5, 16, 3), skewed_popularity(1, 3, 16), AMPLE
        )
        self.assertEqual(decision.kind, NoChangeKind.STATIC)


class FullPlacementTest(unittest.TestCase):
    def test_it_evens_out_a_skewed_group(self):
        popularity = skewed_popularity(1, 4, 64)
        active = initial_map(16, 5, 64, 4)
        decision = FullPlacement(EVEN_PARAMETERS).decide(active, popularity, AMPLE)
        self.assertGreater(skew_of(active, popularity), 1.5)
        self.assertLess(skew_of(decision.expert_map, popularity), 1.05)


class IncrementalPlacementTest(unittest.TestCase):
    def test_a_few_decisions_come_near_full_with_fewer_loads(self):
        popularity = skewed_popularity(1, 4, 64)
        active = initial_map(16, 5, 64, 4)
        full = FullPlacement(EVEN_PARAMETERS).decide(active, popularity, AMPLE)
        loads = 0
        for _ in range(4):
            decision = IncrementalPlacement(EVEN_PARAMETERS).decide(active, popularity, AMPLE)
            if isinstance(decision, NoChange):
                break
            loads += decision.load_count
            active = decision.expert_map
        self.assertLess(skew_of(active, popularity), 1.05 * skew_of(full.expert_map, popularity))
        self.assertLess(loads, full.load_count / 1.5)

    def test_a_balanced_group_is_left_alone(self):
        popularity = np.full((3, 16), 1 / 16)
        active = initial_map(4, 4, 16, 3)
        decision = IncrementalPlacement(EVEN_PARAMETERS).decide(active, popularity, AMPLE)
        self.assertIn(decision.kind, (NoChangeKind.BALANCED, NoChangeKind.NOT_WORTH_ITS_COST))

    def test_nothing_is_proposed_without_a_budget(self):
        decision = IncrementalPlacement(EVEN_PARAMETERS).decide(
            initial_map(4, 5, 16, 3), skewed_popularity(1, 3, 16), LoadAllowance(0, 0.0)
        )
        self.assertEqual(decision.kind, NoChangeKind.NO_BUDGET)

    def test_a_slow_store_makes_moving_not_worth_its_cost(self):
        decision = IncrementalPlacement(EVEN_PARAMETERS).decide(
            initial_map(4, 5, 16, 3), skewed_popularity(1, 3, 16), LoadAllowance(10**12, 1.0)
        )
        self.assertEqual(decision.kind, NoChangeKind.NOT_WORTH_ITS_COST)

    def test_terms_that_weigh_the_cost_move_less(self):
        loads = []
        for parameters in (
            PlacementParameters(0.8, 0.2, EXPERT_BYTES),
            PlacementParameters(0.1, 0.9, EXPERT_BYTES),
        ):
            allowance = LoadAllowance(10**12, 1e5)
            decision = IncrementalPlacement(parameters).decide(
                initial_map(16, 5, 64, 4), skewed_popularity(1, 4, 64), allowance
            )
            loads.append(decision.load_count)
        self.assertLess(loads[1], loads[0])

    def test_noise_around_a_settled_placement_moves_nothing_on_terms_of_cost(self):
        parameters = PlacementParameters(0.3, 0.7, EXPERT_BYTES)
        policy = IncrementalPlacement(parameters)
        popularity = skewed_popularity(1, 4, 64)
        active = initial_map(16, 5, 64, 4)
        for _ in range(6):
            decision = policy.decide(active, popularity, AMPLE)
            if isinstance(decision, Proposal):
                active = decision.expert_map
        random = np.random.default_rng(2)
        for _ in range(20):
            noisy = popularity * random.normal(1.0, 0.02, popularity.shape)
            decision = policy.decide(active, noisy, AMPLE)
            self.assertIsInstance(decision, NoChange)

    def test_a_decision_for_256_ranks_keeps_within_its_time(self):
        for width in (1, 2):
            with self.subTest(slots_per_rank=width):
                active = initial_map(256, width, 64, 58)
                popularity = skewed_popularity(1, 58, 64)
                fastest_s = math.inf
                # Other processes on the same core raise the measured CPU time, so the minimum is
                # the best estimate.
                for _ in range(DECISIONS):
                    started = time.thread_time()
                    IncrementalPlacement(EVEN_PARAMETERS).decide(active, popularity, AMPLE)
                    fastest_s = min(fastest_s, time.thread_time() - started)
                    if fastest_s < DECISION_TARGET_S:
                        break
                self.assertLess(fastest_s, DECISION_TARGET_S)


if __name__ == "__main__":
    unittest.main()
