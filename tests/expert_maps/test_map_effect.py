"""Tests of the comparison of a change of map with what followed."""

from __future__ import annotations

import unittest

from bronzerudder.expert_maps.map_effect import MapEffect, PlannedEffect

PLANNED = PlannedEffect(7, 1.2, 0.1, newest_counts_s=9.5, oldest_counts_s=8.5)


class MapEffectTest(unittest.TestCase):
    def test_expected_and_measured_skew_and_the_age_of_the_counts_are_told(self):
        effect = MapEffect()
        effect.expect(PLANNED)
        effect.observe_map(6, 90, 10.0)
        self.assertIsNone(effect.in_use_s)
        effect.observe_map(7, 100, 10.5)
        effect.observe_map(7, 110, 10.9)
        self.assertEqual(effect.in_use_s, 10.5)
        fields = effect.summarize(1.6, 11.0)
        del fields["cpu_cores"]
        self.assertEqual(
            fields,
            {
                "version": 7,
                "expected_skew": 1.2,
                "skew": 1.6,
                "step_before_s": 0.1,
                "step_s": 0.05,
                "newest_counts_age_s": 1.0,
                "oldest_counts_age_s": 2.0,
            },
        )

    def test_each_change_is_measured_once(self):
        effect = MapEffect()
        effect.expect(PLANNED)
        effect.observe_map(7, 100, 10.5)
        effect.summarize(1.6, 11.0)
        effect.observe_map(7, 120, 11.5)
        self.assertIsNone(effect.in_use_s)

    def test_a_change_that_did_not_take_effect_is_not_measured(self):
        effect = MapEffect()
        effect.expect(PLANNED)
        effect.expect(PLANNED._replace(version=9))
        effect.observe_map(7, 100, 10.5)
        self.assertIsNone(effect.in_use_s)


if __name__ == "__main__":
    unittest.main()
