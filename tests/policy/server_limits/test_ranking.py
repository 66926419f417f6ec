"""Tests of which gateway issues the permits of a backend server."""

from __future__ import annotations

import unittest
from collections import Counter

from bronzerudder.policy.server_limits import GatewayRanking

GATEWAYS = tuple(f"10.0.0.{number}:7000" for number in range(1, 9))


def make_ranking(own=GATEWAYS[0], listed=GATEWAYS):
    ranking = GatewayRanking(own)
    ranking.set_listed(listed, 0.0)
    return ranking


class GatewayRankingTest(unittest.TestCase):
    def test_all_gateways_agree_and_the_servers_are_spread(self):
        rankings = [make_ranking(own) for own in GATEWAYS]
        issuers = Counter()
        for number in range(400):
            found = {ranking.find_issuer(f"i-{number}") for ranking in rankings}
            self.assertEqual(len(found), 1)
            issuers.update(found)
        self.assertEqual(len(issuers), len(GATEWAYS))
        self.assertLess(max(issuers.values()), 2 * 400 / len(GATEWAYS))

    def test_a_silent_issuer_is_passed_over_until_it_is_heard(self):
        ranking = make_ranking()
        server = next(
            name
            for name in (f"i-{number}" for number in range(100))
            if ranking.find_issuer(name) != GATEWAYS[0]
        )
        issuer = ranking.find_issuer(server)
        self.assertFalse(ranking.record_unanswered(issuer, 1.0, 1.1))
        self.assertEqual(ranking.find_issuer(server), issuer)
        self.assertTrue(ranking.record_unanswered(issuer, 1.1, 1.21))
        self.assertNotEqual(ranking.find_issuer(server), issuer)
        self.assertEqual(ranking.silent_before(server, ranking.find_issuer(server)), [issuer])
        self.assertTrue(ranking.record_heard(issuer, 2.0))
        self.assertEqual(ranking.find_issuer(server), issuer)

    def test_one_lost_message_does_not_make_a_gateway_silent(self):
        ranking = make_ranking()
        ranking.record_heard(GATEWAYS[1], 1.0)
        self.assertFalse(ranking.record_unanswered(GATEWAYS[1], 0.9, 1.5))
        self.assertFalse(ranking.record_unanswered(GATEWAYS[1], 1.4, 1.5))
        ranking.record_heard(GATEWAYS[1], 1.55)
        self.assertFalse(ranking.record_unanswered(GATEWAYS[1], 1.6, 1.7))

    def test_a_gateway_is_known_by_its_messages_before_it_is_listed(self):
        ranking = make_ranking(listed=GATEWAYS[:2])
        ranking.record_heard(GATEWAYS[5], 1.0)
        self.assertIn(GATEWAYS[5], ranking.members)
        ranking.set_listed(GATEWAYS[:2], 5.0)
        self.assertIn(GATEWAYS[5], ranking.members)
        ranking.set_listed(GATEWAYS[:2], 20.0)
        self.assertNotIn(GATEWAYS[5], ranking.members)

    def test_a_gateway_that_knows_no_other_says_so(self):
        ranking = GatewayRanking(GATEWAYS[0])
        self.assertFalse(ranking.is_known)
        ranking.record_heard(GATEWAYS[1], 1.0)
        self.assertTrue(ranking.is_known)

    def test_a_gateway_that_joins_takes_only_its_part_of_the_servers(self):
        before = make_ranking(listed=GATEWAYS[:7])
        after = make_ranking()
        names = [f"i-{number}" for number in range(400)]
        moved = [name for name in names if before.find_issuer(name) != after.find_issuer(name)]
        self.assertTrue(all(after.find_issuer(name) == GATEWAYS[7] for name in moved))
        self.assertLess(len(moved), 2 * len(names) / len(GATEWAYS))


if __name__ == "__main__":
    unittest.main()
