"""Tests of remembering what requests chose."""

from __future__ import annotations

import unittest

from bronzerudder.expert_maps.api import RankCounts
from bronzerudder.expert_maps.scenarios import WINDOW_S, ScenarioRecorder


class ScenarioRecorderTest(unittest.TestCase):
    def setUp(self):
        self.recorder = ScenarioRecorder(1, 2)

    def observe(self, counts, now_s=0.0, rank="a", epoch=1):
        self.recorder.observe(rank, RankCounts(epoch, counts), now_s)

    def test_a_scenario_is_what_came_between_two_posts(self):
        self.observe([5, 5])
        self.observe([7, 9])
        self.assertEqual(self.recorder.largest(0.0), [[2, 4]])

    def test_a_group_that_formed_again_counts_from_zero(self):
        self.observe([5, 5])
        self.observe([1, 1], epoch=2)
        self.observe([3, 1], epoch=2)
        self.assertEqual(self.recorder.largest(0.0), [[2, 0]])

    def test_the_largest_come_first_and_quiet_ranks_are_passed_over(self):
        self.observe([0, 0], rank="b")
        self.observe([0, 0])
        self.observe([1, 0])
        self.observe([4, 4])
        self.observe([0, 0], rank="b")
        self.assertEqual(self.recorder.largest(0.0), [[3, 4], [1, 0]])

    def test_old_scenarios_are_dropped(self):
        self.observe([0, 0])
        for number in range(1, 40):
            self.observe([number, 0], now_s=0.0)
        self.observe([1000, 0], now_s=WINDOW_S + 1)
        self.assertEqual(len(self.recorder.largest(WINDOW_S + 1)), 1)

    def test_counts_of_another_shape_are_passed_over(self):
        self.observe([1, 2, 3])
        self.observe([2, 3, 4])
        self.assertEqual(self.recorder.largest(0.0), [])


if __name__ == "__main__":
    unittest.main()
