"""Tests of how much of a better placement one change loads."""

from __future__ import annotations

import unittest

import anyio
import numpy as np

from bronzerudder.expert_maps.change_size import LoadTimes, SetImprovement, choose_sets
from bronzerudder.expert_maps.planner import plan_layout
from bronzerudder.expert_maps.shape import MapBounds

SETS = 6
RANKS = 8
EXPERTS = 64
SLOTS = 11
BOUNDS = MapBounds(SLOTS, 4)
FAST_LOAD_S = 0.001
SLOW_LOAD_S = 0.3


def random_demand(seed):
    """Draw loads of shape ``(sets, scenarios, experts)``, with a few experts in high demand."""
    generator = np.random.default_rng(seed)
    base = generator.pareto(1.2, size=(SETS, 1, EXPERTS)) + 0.1
    return base * generator.uniform(0.8, 1.2, size=(SETS, 4, EXPERTS)) * 100


def round_robin():
    return [[list(range(rank, EXPERTS, RANKS)) for rank in range(RANKS)] for _ in range(SETS)]


class LoadTimesTest(unittest.TestCase):
    def test_it_starts_from_the_configured_time(self):
        times = LoadTimes(0.15)
        self.assertAlmostEqual(times.duration_s(10) - times.duration_s(0), 1.5)

    def test_measured_changes_replace_what_was_expected(self):
        for load_s, overhead_s in ((0.02, 0.4), (0.15, 0.8), (1.5, 0.3)):
            with self.subTest(load_s=load_s):
                times = LoadTimes(0.1)
                for loads in (2, 6, 3, 8, 4, 2, 7, 5):
                    times.record(loads, overhead_s + loads * load_s)
                for loads in (1, 6, 12):
                    expected_s = overhead_s + loads * load_s
                    self.assertAlmostEqual(times.duration_s(loads) / expected_s, 1.0, delta=0.25)

    def test_changes_of_one_size_leave_a_finite_estimate(self):
        times = LoadTimes(0.1)
        for _ in range(100):
            times.record(4, 1.0)
        self.assertAlmostEqual(times.duration_s(4), 1.0, delta=0.1)
        self.assertGreaterEqual(times.load_s, 0.0)


class ChooseSetsTest(unittest.TestCase):
    def choose(self, load_s, *saved_and_loads):
        layout = [[[0], [1]] for _ in saved_and_loads]
        improvements = [
            SetImprovement(index, [[1], [0]], saved, np.array([loads, 0]))
            for index, (saved, loads) in enumerate(saved_and_loads)
        ]
        return choose_sets(layout, improvements, LoadTimes(load_s))

    def test_slow_loads_leave_sets_out_that_gain_little(self):
        sized = self.choose(1.0, (100.0, 1), (1.0, 1))
        self.assertEqual((sized.loads, sized.layout), (1, [[[1], [0]], [[0], [1]]]))

    def test_fast_loads_take_all_that_gain(self):
        sized = self.choose(0.001, (100.0, 1), (1.0, 1), (0.0, 0))
        self.assertEqual((sized.loads, sized.layout[1]), (2, [[1], [0]]))
        self.assertEqual(sized.layout[2], [[0], [1]])

    def test_nothing_is_chosen_without_a_gain(self):
        self.assertIsNone(self.choose(0.1, (0.0, 0), (-1.0, 1)))


class PlanLayoutTest(unittest.TestCase):
    def plan(self, load_s, seed=1):
        scenarios = random_demand(seed)
        times = LoadTimes(load_s)
        return anyio.run(plan_layout, round_robin(), scenarios, np.ones(RANKS), BOUNDS, times)

    def test_slow_loads_make_smaller_changes_that_still_gain(self):
        for seed in range(3):
            fast, slow = self.plan(FAST_LOAD_S, seed), self.plan(SLOW_LOAD_S, seed)
            self.assertLess(slow.loads, fast.loads)
            self.assertLess(slow.skew_after, slow.skew)
            self.assertLess(fast.skew_after, slow.skew_after)

    def test_no_rank_loads_more_than_it_may(self):
        planned = self.plan(FAST_LOAD_S)
        for before, after in zip(round_robin(), planned.layout, strict=True):
            for old, new in zip(before, after, strict=True):
                self.assertLessEqual(len(set(new) - set(old)), BOUNDS.loads_per_change)
            self.assertLessEqual(max(len(held) for held in after), SLOTS)
            self.assertEqual({expert for held in after for expert in held}, set(range(EXPERTS)))

    def test_small_changes_one_after_the_other_beat_one_large_one_in_the_same_time(self):
        """Steps of a group whose demand stays, with loads as slow as a third of a second."""
        scenarios = random_demand(5)
        times = LoadTimes(SLOW_LOAD_S)
        large = anyio.run(
            plan_layout, round_robin(), scenarios, np.ones(RANKS), BOUNDS, LoadTimes(FAST_LOAD_S)
        )
        end_s = times.duration_s(large.loads)
        layout, at_s, skew_seconds, skew = round_robin(), 0.0, 0.0, large.skew
        while at_s < end_s:
            planned = anyio.run(plan_layout, layout, scenarios, np.ones(RANKS), BOUNDS, times)
            took_s = min(times.duration_s(planned.loads), end_s - at_s)
            skew_seconds += skew * took_s
            at_s += took_s
            layout, skew = planned.layout, planned.skew_after
        self.assertLess(skew_seconds / end_s, large.skew)
