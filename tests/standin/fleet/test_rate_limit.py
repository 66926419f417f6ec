"""Tests of the check that requests keep to a limit."""

from __future__ import annotations

import unittest
from unittest import mock

from bronzerudder.standin.fleet import rate_limit
from bronzerudder.standin.fleet.rate_limit import NamedLimit


class NamedLimitTest(unittest.TestCase):
    def setUp(self):
        self.limit = NamedLimit()
        self.now_s = 0.0
        clock = mock.Mock(monotonic=lambda: self.now_s)
        self.enterContext(mock.patch.object(rate_limit, "time", clock))

    def name_at(self, at_s, rate_rps):
        self.now_s = at_s
        self.limit.set_rate(rate_rps)

    def arrive(self, gateway, begin_s, end_s, rate_rps):
        for number in range(int((end_s - begin_s) * rate_rps)):
            self.now_s = begin_s + number / rate_rps
            self.limit.record_arrival(f"{gateway}/{number}")
            self.limit.headers(f"{gateway}/{number}")

    def find_excess(self, is_excused=lambda gateway, at_s: False):
        return self.limit.find_excess(lambda name: name.partition("/")[0], is_excused)

    def test_one_and_a_half_times_the_limit_is_allowed(self):
        self.name_at(0.0, 4.0)
        self.arrive("a", 0.0, 20.0, 6.0)
        self.assertIsNone(self.find_excess())

    def test_more_is_found_and_summed_over_gateways(self):
        self.name_at(0.0, 4.0)
        for begin_s in range(20):
            self.arrive("a", begin_s, begin_s + 0.5, 8.0)
            self.arrive("b", begin_s + 0.5, begin_s + 1.0, 8.0)
        excess = self.find_excess()
        self.assertEqual((excess.requests, excess.allowed), (32, 29.0))

    def test_the_stable_window_and_gateways_that_were_not_told_are_excused(self):
        self.name_at(0.0, 1.0)
        self.arrive("a", 0.0, 6.9, 20.0)
        self.assertIsNone(self.find_excess())
        for number in range(100):
            self.now_s = 8.0 + number / 100
            self.limit.record_arrival(f"untold/{number}")
        self.assertIsNone(self.find_excess())

    def test_an_excused_gateway_does_not_count(self):
        self.name_at(0.0, 1.0)
        self.arrive("a", 0.0, 10.0, 20.0)
        self.assertIsNone(self.find_excess(lambda gateway, at_s: gateway == "a"))
        self.assertIsNotNone(self.find_excess())

    def test_a_limit_that_has_ended_binds_no_one(self):
        self.name_at(0.0, 1.0)
        self.arrive("a", 0.0, 3.0, 1.0)
        self.name_at(4.0, None)
        self.arrive("a", 4.0, 20.0, 50.0)
        self.assertIsNone(self.find_excess())

    def test_a_limit_that_changes_allows_what_both_allow(self):
        self.name_at(0.0, 10.0)
        self.arrive("a", 0.0, 10.0, 10.0)
        self.name_at(10.0, 2.0)
        self.arrive("a", 10.0, 16.0, 8.0)
        excess = self.find_excess()
        self.assertEqual((excess.requests, round(excess.allowed)), (32, 17))


if __name__ == "__main__":
    unittest.main()
