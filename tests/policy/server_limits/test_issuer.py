"""Tests of the gateway that issues permits for a backend server."""

from __future__ import annotations

import random
import unittest

from bronzerudder.policy.server_limits import MAX_RESERVE_S, MIN_RATE_RPS, PermitIssuer

WINDOW_S = 4.0
PERMIT_LIFETIME_S = 0.5


class PermitIssuerTest(unittest.TestCase):
    def setUp(self):
        self.issuer = PermitIssuer()

    def test_permits_come_at_the_rate_and_are_reserved_in_turn(self):
        first = self.issuer.issue("i-0", 2.0, "a", 10.0)
        self.assertEqual((first.granted, first.delay_s, first.next_delay_s), (True, 0.0, 0.5))
        second = self.issuer.issue("i-0", 2.0, "b", 10.0)
        self.assertEqual((second.granted, second.delay_s, second.gateways), (True, 0.5, 2))
        self.assertTrue(self.issuer.issue("i-0", 2.0, "c", 10.0).granted)
        denied = self.issuer.issue("i-0", 2.0, "d", 10.0)
        self.assertFalse(denied.granted)
        self.assertGreater(denied.next_delay_s, MAX_RESERVE_S)

    def test_no_window_has_more_than_the_rate_and_a_burst(self):
        generator = random.Random(3)
        for rate_rps in (0.3, 1.0, 2.2, 7.0, 40.0):
            issuer = PermitIssuer()
            valid_from_s = []
            now_s = 0.0
            while now_s < 30.0:
                now_s += generator.expovariate(20.0 * rate_rps)
                decision = issuer.issue("i-0", rate_rps, generator.choice("abcdef"), now_s)
                if decision.granted:
                    valid_from_s.append(now_s + decision.delay_s)
            valid_from_s.sort()
            for index, end_s in enumerate(valid_from_s):
                begin_s = end_s - WINDOW_S
                issued = sum(1 for at_s in valid_from_s[: index + 1] if at_s > begin_s)
                allowed = rate_rps * WINDOW_S + max(1.0, 0.25 * rate_rps)
                self.assertLessEqual(issued, allowed + 1.0)

    def test_a_server_that_accepts_nothing_is_asked_now_and_then(self):
        granted = 0
        for number in range(600):
            granted += self.issuer.issue("i-0", 0.0, "a", number * 0.1).granted
        self.assertLessEqual(granted, 60 * MIN_RATE_RPS + 2)
        self.assertGreaterEqual(granted, 60 * MIN_RATE_RPS - 1)

    def test_a_lower_limit_holds_at_once(self):
        for number in range(40):
            self.issuer.issue("i-0", 20.0, "a", number * 0.05)
        granted = 0
        for number in range(40):
            granted += self.issuer.issue("i-0", 1.0, "a", 2.0 + number * 0.1).granted
        self.assertLessEqual(granted, 6)

    def test_servers_that_no_gateway_asks_for_are_dropped(self):
        self.issuer.issue("i-0", 2.0, "a", 0.0)
        self.issuer.issue("i-1", 2.0, "a", 8.0)
        self.assertEqual(self.issuer.expire(9.0), [])
        self.assertEqual(self.issuer.expire(12.0), ["i-0"])

    def test_gateways_that_ask_no_more_do_not_count(self):
        self.issuer.issue("i-0", 2.0, "a", 0.0)
        self.issuer.issue("i-0", 2.0, "b", 1.0)
        self.assertEqual(self.issuer.issue("i-0", 2.0, "b", 2.5).gateways, 1)


if __name__ == "__main__":
    unittest.main()
