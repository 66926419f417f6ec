"""Tests of which statement of a backend server on its limit is the newest."""

from __future__ import annotations

import unittest

from bronzerudder.policy.server_limits import LimitStatement, ServerLimitLedger


class ServerLimitLedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = ServerLimitLedger()

    def record(self, rate_rps, asked_at_s, heard_at_s):
        return self.ledger.record("i-0", LimitStatement(rate_rps, asked_at_s, heard_at_s))

    def test_a_limit_begins_changes_and_ends(self):
        self.assertFalse(self.record(None, 0.0, 1.0))
        self.assertTrue(self.record(4.0, 1.0, 2.0))
        self.assertFalse(self.record(4.0, 2.0, 3.0))
        self.assertTrue(self.record(2.0, 3.0, 4.0))
        self.assertTrue(self.record(3.0, 4.0, 5.0))
        self.assertTrue(self.record(None, 5.0, 6.0))
        self.assertIsNone(self.ledger.rate_rps("i-0"))

    def test_an_answer_that_was_overtaken_does_not_end_a_limit(self):
        self.record(2.0, 1.0, 2.0)
        self.assertFalse(self.record(None, 0.5, 3.0))
        self.assertFalse(self.record(None, 1.5, 3.0))
        self.assertEqual(self.ledger.rate_rps("i-0"), 2.0)

    def test_a_slow_answer_does_not_raise_a_limit(self):
        self.record(2.0, 1.0, 2.0)
        self.assertFalse(self.record(9.0, 1.5, 3.0))
        self.assertEqual(self.ledger.rate_rps("i-0"), 2.0)

    def test_a_late_answer_does_not_bring_an_ended_limit_back(self):
        self.record(2.0, 1.0, 2.0)
        self.record(None, 2.5, 3.0)
        self.assertFalse(self.record(2.0, 2.2, 5.0))
        self.assertIsNone(self.ledger.rate_rps("i-0"))

    def test_a_lower_limit_holds_although_its_answer_was_under_way_with_the_last(self):
        self.record(2.0, 1.0, 2.0)
        self.assertTrue(self.record(1.0, 1.5, 1.8))
        self.assertEqual(self.ledger.rate_rps("i-0"), 1.0)

    def test_the_end_of_a_limit_is_heard_after_the_last_answer_that_named_it(self):
        self.record(2.0, 1.0, 2.0)
        self.record(2.0, 1.5, 4.0)
        self.assertFalse(self.record(None, 3.0, 3.5))
        self.assertTrue(self.record(None, 4.5, 5.0))

    def test_a_forgotten_server_has_no_limit(self):
        self.record(2.0, 1.0, 2.0)
        self.ledger.forget("i-0")
        self.assertIsNone(self.ledger.rate_rps("i-0"))
        self.assertEqual(self.ledger.statements, {})


if __name__ == "__main__":
    unittest.main()
