"""Tests of the parts of a budget that gateways use under a lease."""

from __future__ import annotations

import unittest

from bronzerudder.policy.retry import LeasedDivision
from bronzerudder.policy.retry.division import FORGET_AFTER_S, LEASE_S, SEND_MARGIN_S

WINDOW_S = 10.0
SETTLED_S = LEASE_S + WINDOW_S + SEND_MARGIN_S
ALL = ("a", "b", "c", "d")


class LeasedDivisionTest(unittest.TestCase):
    def setUp(self):
        self.division = LeasedDivision("a", WINDOW_S)

    def read(self, names, begin_s, end_s):
        """Read the same list each second."""
        for second in range(int(begin_s), int(end_s) + 1):
            self.division.record_list(names, float(second), float(second))

    def test_a_gateway_that_knows_nothing_has_no_part(self):
        self.assertEqual(self.division.part(1000.0), 0.0)
        self.division.record_list((), 1000.0, 1000.0)
        self.assertEqual(self.division.part(1000.0), 0.0)

    def test_a_part_is_used_once_all_leases_on_earlier_lists_and_their_window_have_ended(self):
        self.read(ALL, 0, 20)
        self.assertEqual(self.division.part(SETTLED_S - 0.1), 0.0)
        self.assertEqual(self.division.part(SETTLED_S), 0.25)

    def test_a_list_holds_from_the_time_at_which_it_was_asked_for(self):
        self.read(ALL, 0, 20)
        self.division.record_list(ALL, 22.0, 25.0)
        self.assertEqual(self.division.part(22.0 + LEASE_S), 0.25)
        self.assertEqual(self.division.part(22.1 + LEASE_S), 0.0)

    def test_a_part_returns_with_the_next_list_that_holds_the_entry(self):
        self.read(ALL, 0, 20)
        self.assertEqual(self.division.part(60.0), 0.0)
        self.division.record_list(ALL, 60.0, 60.0)
        self.assertEqual(self.division.part(60.0), 0.25)

    def test_a_gateway_whose_entry_was_lost_begins_anew(self):
        self.read(ALL, 0, 20)
        self.division.record_list(ALL[1:], 21.0, 21.0)
        self.assertEqual(self.division.part(21.0), 0.0)
        self.read(ALL, 22, 50)
        self.assertEqual(self.division.part(21.9 + SETTLED_S), 0.0)
        self.assertEqual(self.division.part(22.0 + SETTLED_S), 0.25)

    def test_a_gateway_that_joins_counts_at_once(self):
        self.read(ALL[:2], 0, 20)
        self.assertEqual(self.division.part(20.0), 0.5)
        self.division.record_list(ALL, 20.5, 20.5)
        self.assertEqual(self.division.part(20.5), 0.25)

    def test_a_gateway_that_is_missing_goes_on_to_count(self):
        self.read(ALL, 0, 20)
        self.read(ALL[:2], 21, 21 + int(FORGET_AFTER_S) - 1)
        self.assertEqual(self.division.gateways(20.0 + FORGET_AFTER_S), 4)
        self.read(ALL[:2], 21 + int(FORGET_AFTER_S), 22 + int(FORGET_AFTER_S))
        self.assertEqual(self.division.part(22.0 + FORGET_AFTER_S), 0.5)

    def test_a_gateway_that_is_listed_again_is_not_forgotten(self):
        self.read(ALL, 0, 20)
        self.read(ALL[:2], 21, 100)
        self.read(ALL, 101, 101)
        self.read(ALL[:2], 102, 100 + int(FORGET_AFTER_S))
        self.assertEqual(self.division.gateways(100.0 + FORGET_AFTER_S), 4)


if __name__ == "__main__":
    unittest.main()
