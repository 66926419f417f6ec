"""Tests of what requests chose."""

from __future__ import annotations

import unittest

from bronzerudder.expert_maps.api import RankCounts
from bronzerudder.expert_maps.scenarios import (
    WINDOW_S,
    Scenario,
    ScenarioTaker,
    ScenarioWindow,
)


class ScenarioTakerTest(unittest.TestCase):
    def test_a_scenario_is_what_came_between_two_counts(self):
        taker = ScenarioTaker()
        self.assertIsNone(taker.take(RankCounts(1, [5, 5])))
        scenario = taker.take(RankCounts(1, [7, 9]))
        self.assertEqual((scenario.weight, scenario.shares), (6, bytes((128, 255))))

    def test_a_group_that_formed_again_counts_from_zero(self):
        taker = ScenarioTaker()
        taker.take(RankCounts(1, [5, 5]))
        self.assertIsNone(taker.take(RankCounts(2, [9, 9])))
        self.assertEqual(taker.take(RankCounts(2, [9, 11])).weight, 2)

    def test_a_quiet_rank_has_no_scenario(self):
        taker = ScenarioTaker()
        taker.take(RankCounts(1, [5, 5]))
        self.assertIsNone(taker.take(RankCounts(1, [5, 5])))


class ScenarioWindowTest(unittest.TestCase):
    def setUp(self):
        self.window = ScenarioWindow(2)

    def test_the_largest_come_first(self):
        for weight in (1, 9, 4):
            self.window.add(Scenario(weight, b"ab"), 0.0)
        self.assertEqual([item.weight for item in self.window.largest(0.0)], [9, 4, 1])

    def test_old_scenarios_are_dropped(self):
        self.window.add(Scenario(5, b"ab"), 0.0)
        self.window.add(Scenario(1, b"ab"), WINDOW_S + 0.1)
        self.assertEqual([item.weight for item in self.window.largest(WINDOW_S + 0.1)], [1])

    def test_scenarios_of_another_shape_are_passed_over(self):
        self.window.add(Scenario(5, b"abc"), 0.0)
        self.assertEqual(self.window.largest(0.0), [])


if __name__ == "__main__":
    unittest.main()
