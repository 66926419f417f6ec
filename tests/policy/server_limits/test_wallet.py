"""Tests of the permits that a gateway holds, and of the wait for further ones."""

from __future__ import annotations

import math
import unittest

from bronzerudder.policy.server_limits import (
    PermitDecision,
    PermitOutlook,
    PermitWallet,
    estimate_wait_s,
)


class PermitWalletTest(unittest.TestCase):
    def test_a_permit_is_valid_from_its_time_on_and_once(self):
        wallet = PermitWallet()
        wallet.record(PermitDecision(True, 0.4, 0.9, 2), 10.0)
        self.assertFalse(wallet.is_valid(10.3))
        self.assertTrue(wallet.is_valid(10.4))
        wallet.use(10.4)
        self.assertFalse(wallet.is_valid(10.4))
        self.assertEqual((wallet.next_at_s, wallet.gateways), (10.9, 2))

    def test_an_unused_permit_lapses(self):
        wallet = PermitWallet()
        wallet.record(PermitDecision(True, 0.0, 0.5, 1), 10.0)
        self.assertFalse(wallet.is_valid(10.6))
        self.assertEqual(wallet.pending(10.6), 0)

    def test_a_denial_is_not_repeated_at_once(self):
        wallet = PermitWallet()
        wallet.record(PermitDecision(False, 0.0, 3.0, 4), 10.0)
        self.assertFalse(wallet.may_ask(11.9))
        self.assertTrue(wallet.may_ask(12.1))

    def test_few_permits_are_asked_for_at_a_time(self):
        wallet = PermitWallet()
        for number in range(4):
            self.assertTrue(wallet.may_ask(1.0))
            wallet.outstanding[number] = 1.0
        self.assertFalse(wallet.may_ask(1.0))


class EstimateTest(unittest.TestCase):
    def test_permits_held_come_first_then_the_expected_rate(self):
        outlooks = [PermitOutlook([10.2], 11.0, 0.5, 1), PermitOutlook([], 10.5, 1.5, 1)]
        self.assertAlmostEqual(estimate_wait_s(outlooks, 0, 10.0), 0.2)
        self.assertAlmostEqual(estimate_wait_s(outlooks, 1, 10.0), 0.5)
        self.assertAlmostEqual(estimate_wait_s(outlooks, 5, 10.0), 2.5)

    def test_other_gateways_that_wait_come_first_as_well(self):
        shared = [PermitOutlook([], 11.0, 12.0, 31)]
        self.assertAlmostEqual(estimate_wait_s(shared, 0, 10.0), 1.0 + 15 / 12)
        self.assertAlmostEqual(estimate_wait_s(shared, 1, 10.0), 1.0 + 46 / 12)
        reserved = [PermitOutlook([], 10.5, 12.0, 31)]
        self.assertAlmostEqual(estimate_wait_s(reserved, 0, 10.0), 0.5)

    def test_without_any_server_the_wait_is_endless(self):
        self.assertEqual(estimate_wait_s([], 0, 10.0), math.inf)


if __name__ == "__main__":
    unittest.main()
