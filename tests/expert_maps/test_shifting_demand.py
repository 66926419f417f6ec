"""Tests that callers are served while the demand for experts keeps shifting."""

from __future__ import annotations

import unittest

from tests.expert_maps.serving_group import Load, serve

LARGE_GROUP = Load(
    ranks=32,
    sets=12,
    experts=128,
    slots=5,
    loads_per_change=2,
    load_s=0.0365,
    idle_step_s=7 * 0.00484,
    stream_step_s=7 * 0.000435,
    streams_per_s=66.5,
    max_streams=5,
    expert_share=0.85,
    topics=9,
    popularity=0.82,
    shift_share=0.59,
    shift_interval_s=2.27,
    choices=4000,
    leader_cores=0.645,
    max_first_s=0.4,
    max_gap_s=0.12,
    late_credit=0.245,
)
"""The sheet of a large deployment: a step of an engine writes 7 tokens of each stream, and a stream
has an event a step; a late answer is worth 0.49 of 2. Popularity of experts is made up."""
LARGER_SHIFTS = LARGE_GROUP._replace(shift_share=0.73, shift_interval_s=2.33)
CREDIT_FLOOR = 0.35
LARGER_SHIFTS_CREDIT_FLOOR = 0.259
"""Least credit of days with these shifts, by the sheet."""
MARGIN = 0.05
DURATION_S = 16.0
SETTLED_S = 3.0


class ShiftingDemandTest(unittest.TestCase):
    def assert_credit(self, load, seeds, minimum):
        credits = []
        for seed in range(seeds):
            group = serve(load, seed, DURATION_S)
            self.assertEqual(group.mixed_steps, [])
            credits.append(group.credit(SETTLED_S))
        self.assertGreaterEqual(sum(credits) / len(credits), minimum, credits)

    def test_streams_are_late_as_a_map_comes_into_force_after_its_demand_has_gone(self):
        self.assert_credit(LARGE_GROUP, 4, CREDIT_FLOOR + MARGIN)

    def test_streams_are_late_when_most_of_the_demand_shifts(self):
        self.assert_credit(LARGER_SHIFTS, 6, LARGER_SHIFTS_CREDIT_FLOOR + MARGIN)


if __name__ == "__main__":
    unittest.main()
