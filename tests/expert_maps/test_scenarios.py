"""Tests of load scenarios."""

from __future__ import annotations

import unittest

from bronzerudder.expert_maps.api import RankCounts
from bronzerudder.expert_maps.scenarios import ScenarioSampler, pack_levels


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


if __name__ == "__main__":
    unittest.main()
