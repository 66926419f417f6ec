"""Tests of goodput, fairness and recovery under overload and faults, with all mechanisms on."""

from __future__ import annotations

import unittest

from bench import overload

CAPACITY_TPS = 161_000.0
SEED = 3
MIN_GOODPUT = 0.9
MIN_SMALL_SHARE = 0.9
MAX_RETRY_SHARE = 0.1
MAX_REFUSAL_S = 0.1
MAX_RECOVERY_S = 5.0


class TestOverload(unittest.TestCase):
    def run_scenario(self, name: str) -> overload.OverloadResult:
        scenario = next(each for each in overload.SCENARIOS if each.name == name)
        result = overload.run(scenario, overload.MECHANISMS["all on"], SEED, CAPACITY_TPS)
        self.assertLessEqual(result.retry_share, MAX_RETRY_SHARE)
        self.assertLessEqual(result.recovery_s, MAX_RECOVERY_S)
        return result

    def test_flood_of_a_large_workspace(self):
        result = self.run_scenario("3x load, 80% of it w-1")
        self.assertGreaterEqual(result.goodput, MIN_GOODPUT)
        self.assertGreaterEqual(result.small, MIN_SMALL_SHARE)
        self.assertLessEqual(result.refusal_p95_s, MAX_REFUSAL_S)
        self.assertEqual(1.0, result.hinted)

    def test_one_and_a_half_times_the_capacity(self):
        result = self.run_scenario("1.5x load")
        self.assertGreaterEqual(result.goodput, MIN_GOODPUT)
        self.assertLessEqual(result.refusal_p95_s, MAX_REFUSAL_S)
        self.assertEqual(1.0, result.hinted)

    def test_stalled_rank(self):
        result = self.run_scenario("one rank stalled")
        self.assertGreaterEqual(result.goodput, MIN_GOODPUT)
        self.assertLessEqual(result.refusal_p95_s, MAX_REFUSAL_S)

    def test_third_of_the_pool_gone(self):
        result = self.run_scenario("a third gone")
        self.assertGreaterEqual(result.goodput, MIN_GOODPUT)
        self.assertLessEqual(result.refusal_p95_s, MAX_REFUSAL_S)

    def test_stalled_rank_of_the_only_group(self):
        result = self.run_scenario("the only group stalled")
        self.assertLessEqual(result.refusal_p95_s, MAX_REFUSAL_S)
        self.assertEqual(1.0, result.hinted)
