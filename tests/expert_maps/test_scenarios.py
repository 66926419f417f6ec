"""Tests of load scenarios."""

from __future__ import annotations

import unittest

from bronzerudder.expert_maps.api import RankCounts
from bronzerudder.expert_maps.scenarios import (
    WINDOW_S,
    Scenario,
    ScenarioSampler,
    ScenarioWindow,
    pack_levels,
)


class ScenarioTakerTest(unittest.TestCase):
    def test_a_scenario_is_what_came_between_two_counts(self):
        sampler = ScenarioSampler()
        self.assertIsNone(sampler.sample(RankCounts(1, [5, 5])))
        scenario = sampler.sample(RankCounts(1, [6, 9]))
        self.assertEqual((scenario.weight, scenario.levels), (5, bytes((0x8F,))))

    def test_an_odd_number_of_counts_is_padded(self):
        self.assertEqual(pack_levels([4, 0, 1]), bytes((0xF0, 0x80)))

    def test_a_group_that_formed_again_counts_from_zero(self):
        sampler = ScenarioSampler()
        sampler.sample(RankCounts(1, [5, 5]))
        self.assertIsNone(sampler.sample(RankCounts(2, [9, 9])))
        self.assertEqual(sampler.sample(RankCounts(2, [9, 11])).weight, 2)

    def test_a_quiet_rank_has_no_scenario(self):
        sampler = ScenarioSampler()
        sampler.sample(RankCounts(1, [5, 5]))
        self.assertIsNone(sampler.sample(RankCounts(1, [5, 5])))


class ScenarioWindowTest(unittest.TestCase):
    def setUp(self):
        self.window = ScenarioWindow(2)

    def weights(self, now_s):
        return [[item.weight for item in held] for held in self.window.slices(now_s)]

    def test_scenarios_are_returned_by_slice_the_newest_first(self):
        for at_s, weight in ((0.05, 3), (0.1, 4), (0.25, 5)):
            self.window.add(Scenario(weight, b"a"), at_s)
        self.assertEqual(self.weights(0.3), [[4, 5], [3]])

    def test_old_scenarios_are_dropped(self):
        self.window.add(Scenario(5, b"a"), 0.0)
        self.window.add(Scenario(1, b"a"), WINDOW_S + 0.1)
        self.assertEqual(self.weights(WINDOW_S + 0.1), [[1]])

    def test_scenarios_that_have_left_the_window_are_not_counted(self):
        """The effect of a change was measured by none of them, which ended the leader."""
        self.window.add(Scenario(5, b"a"), 0.0)
        self.window.add(Scenario(5, b"a"), 0.4)
        self.assertEqual(self.window.count_since(0.2, 0.4), 1)
        self.assertEqual(self.window.count_since(0.2, WINDOW_S + 0.5), 0)
        self.assertEqual(self.window.slices(WINDOW_S + 0.5, 0.2), [])

    def test_slices_with_few_choices_are_left_out(self):
        self.window.add(Scenario(100, b"a"), 0.0)
        self.window.add(Scenario(1, b"a"), 0.5)
        self.assertEqual(self.weights(0.5), [[100]])

    def test_scenarios_of_another_shape_are_passed_over(self):
        self.window.add(Scenario(5, b"abc"), 0.0)
        self.assertEqual(self.window.slices(0.0), [])


if __name__ == "__main__":
    unittest.main()
