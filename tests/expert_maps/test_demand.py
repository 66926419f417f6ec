"""Tests of the history of a group's demand."""

from __future__ import annotations

import unittest

import numpy as np

from bronzerudder.expert_maps.demand import (
    HISTORY_S,
    MAX_ROWS,
    SLICE_S,
    WINDOWS_S,
    DemandHistory,
    foretelling_error,
)
from bronzerudder.expert_maps.scenarios import Scenario, pack_levels

EXPERTS = 16
RANKS = 8
REPORT_S = 0.1
CHOICES = 400
LEAD_S = 1.5
PAIR = bytes((0xFF,))
"""Levels of two experts in equal demand."""


class WindowTest(unittest.TestCase):
    def setUp(self):
        self.history = DemandHistory(1, 2)

    def totals(self, now_s):
        return self.history.loads(now_s).sum(axis=(0, 2)).tolist()

    def test_scenarios_add_up_by_slice(self):
        for at_s, weight in ((0.05, 3), (0.1, 4), (0.25, 5)):
            self.history.add(Scenario(weight, PAIR), at_s)
        self.assertEqual(self.totals(0.3), [7.0, 5.0])
        self.assertEqual(self.history.count_scenarios(0.3), 3)

    def test_loads_are_split_by_set(self):
        history = DemandHistory(2, 2)
        history.add(Scenario(30, pack_levels([0, 1, 4, 25])), 0.0)
        history.add(Scenario(30, pack_levels([0, 1, 4, 25])), SLICE_S)
        history.add(Scenario(60, pack_levels([0, 0, 0, 9])), SLICE_S)
        table = history.loads(SLICE_S)
        self.assertEqual(table.shape, (2, 2, 2))
        self.assertEqual(table[:, 0].round().tolist(), [[0, 1], [4, 25]])
        self.assertEqual(table[:, 1].round().tolist(), [[0, 1], [4, 85]])

    def test_what_is_older_than_the_window_is_left_out(self):
        self.history.add(Scenario(5, PAIR), 0.0)
        later_s = self.history.window_s + 2 * SLICE_S
        self.history.add(Scenario(1, PAIR), later_s)
        self.assertEqual(self.totals(later_s), [1.0])

    def test_slices_with_few_choices_are_left_out(self):
        self.history.add(Scenario(100, PAIR), 0.0)
        self.history.add(Scenario(1, PAIR), 0.5)
        self.assertEqual(self.totals(0.5), [100.0])

    def test_scenarios_of_another_shape_are_passed_over(self):
        self.history.add(Scenario(5, PAIR * 2), 0.0)
        self.assertEqual(self.history.loads(0.0).shape, (1, 0, 2))
        self.assertEqual(self.history.count_scenarios(0.0), 0)

    def test_memory_is_bounded(self):
        for number in range(1000):
            self.history.add(Scenario(1, PAIR), number * SLICE_S)
        self.assertLessEqual(len(self.history._slices), HISTORY_S / SLICE_S + 1)


class ForetellingTest(unittest.TestCase):
    def play(self, demand_at, seconds=HISTORY_S):
        """Report the choices that a demand leads to; return the window chosen and the history."""
        generator = np.random.default_rng(5)
        history = DemandHistory(1, EXPERTS)
        at_s = 0.0
        while at_s < seconds:
            shares = demand_at(at_s)
            counts = generator.multinomial(CHOICES, shares / shares.sum())
            history.add(Scenario(CHOICES, pack_levels(counts.tolist())), at_s)
            history.choose_window(at_s, LEAD_S)
            at_s += REPORT_S
        return history.window_s, history.loads(seconds)

    def test_demand_that_drifts_is_foretold_by_the_last_moment(self):
        def drifting(at_s):
            return np.roll(np.exp(-np.arange(EXPERTS) / 3.0), int(at_s / 4.0)) + 0.01

        window_s, _ = self.play(drifting)
        self.assertLessEqual(window_s, 2.4)

    def test_demand_that_moves_back_and_forth_is_foretold_by_all_of_it(self):
        """Demand shifts to another of a few mixtures about as fast as a change takes."""
        generator = np.random.default_rng(7)
        mixtures = generator.pareto(1.5, size=(6, EXPERTS)) + 0.05
        order = generator.integers(0, 6, size=20)

        def shifting(at_s):
            return mixtures[order[int(at_s / 2.0)]]

        window_s, loads = self.play(shifting)
        self.assertGreaterEqual(window_s, 4.8)
        self.assertLessEqual(loads.shape[1], MAX_ROWS)

    def test_demand_that_jumped_for_good_is_not_foretold_by_what_was_before(self):
        before, after = np.arange(1.0, EXPERTS + 1), np.arange(EXPERTS, 0.0, -1)

        def jumping(at_s):
            return before if at_s < 8.0 else after

        window_s, _ = self.play(jumping)
        self.assertLess(window_s, WINDOWS_S[-1])

    def test_the_first_window_stands_while_little_is_known(self):
        window_s, _ = self.play(lambda at_s: np.ones(EXPERTS), seconds=2.0)
        self.assertEqual(window_s, WINDOWS_S[0])

    def test_the_error_is_the_squared_distance_to_what_followed(self):
        rows = np.zeros((9, 2))
        rows[:7, 0] = 1.0
        rows[7:, 1] = 1.0
        self.assertAlmostEqual(foretelling_error(rows, 3, 1, 2), 2.0)
        self.assertAlmostEqual(foretelling_error(rows[:7], 3, 0, 1), 0.0)
