"""Tests of routing to free slots, and of the breaker of one backend server."""

from __future__ import annotations

import random
import unittest

from bronzerudder.policy.routing import (
    Candidate,
    FreeSlotRouting,
    NoCandidate,
    NoCandidateKind,
    OutlierBreaker,
    RoutedRequest,
)


def make(count=4, slots=2):
    return [Candidate(f"i-{n}", "z", OutlierBreaker(), slots) for n in range(count)]


class FreeSlotRoutingTest(unittest.TestCase):
    def setUp(self):
        self.routing = FreeSlotRouting(random.Random(1))

    def pick(self, candidates, now_s=0.0, **request):
        return self.routing.pick(candidates, RoutedRequest(**request), now_s)

    def test_requests_are_spread_evenly_and_none_goes_beyond_the_slots(self):
        candidates = make()
        for _ in range(8):
            self.pick(candidates).begin(100)
        self.assertEqual([item.own_requests for item in candidates], [2] * 4)
        full = self.pick(candidates)
        self.assertIsInstance(full, NoCandidate)
        self.assertIs(full.kind, NoCandidateKind.ALL_BUSY)

    def test_requests_of_other_gateways_take_slots_until_the_report_is_old(self):
        candidates = make(2)
        candidates[0].observe_requests(2, 0.0)
        self.assertEqual({self.pick(candidates).name for _ in range(10)}, {"i-1"})
        candidates[1].begin(1)
        self.assertEqual(self.pick(candidates, 6.0).name, "i-0")

    def test_a_prompt_that_is_being_read_keeps_others_away(self):
        candidates = make(2, slots=6)
        assigned = candidates[0].begin(2000, prompt_tokens=2000)
        candidates[1].begin(10)
        candidates[1].begin(10)
        self.assertEqual(self.pick(candidates).name, "i-1")
        assigned.count_answer_token()
        self.assertEqual(self.pick(candidates).name, "i-0")

    def test_a_slow_rank_gets_nothing_while_others_have_slots(self):
        candidates = make(2, slots=6)
        candidates[0].slowdown = 5.0
        self.assertEqual({self.pick(candidates).name for _ in range(10)}, {"i-1"})

    def test_a_rank_whose_agent_fell_silent_gets_nothing(self):
        # A paused instance looks idle by its last report and must not attract requests. Found by
        # deploy/days/giver-stands-still-often.toml on inanga-hq (GONE).
        candidates = make(4, slots=6)
        for number, candidate in enumerate(candidates):
            candidate.agent_seen_at_s = 0.0 if number == 2 else 5.0
        picked = {self.pick(candidates, 5.1).name for _ in range(40)}
        self.assertEqual(picked, {"i-0", "i-1", "i-3"})

    def test_silence_of_most_agents_says_nothing(self):
        candidates = make(4, slots=6)
        for number, candidate in enumerate(candidates):
            candidate.agent_seen_at_s = 5.0 if number == 2 else 0.0
        picked = {self.pick(candidates, 5.1).name for _ in range(40)}
        self.assertEqual(len(picked), 4)

    def test_backend_servers_without_agents_are_not_silent(self):
        picked = {self.pick(make(4, slots=6), 500.0).name for _ in range(40)}
        self.assertEqual(len(picked), 4)

    def test_a_suspected_one_is_left_out_unless_all_are(self):
        candidates = make(2)
        candidates[0].breaker.record_failure(0.0, certain=True)
        self.assertEqual({self.pick(candidates, 0.1).name for _ in range(10)}, {"i-1"})
        candidates[1].breaker.record_failure(0.0, certain=True)
        self.assertIsInstance(self.pick(candidates, 0.1), Candidate)

    def test_one_that_leaves_or_was_tried_is_never_picked(self):
        candidates = make(2)
        candidates[0].leaving = True
        self.assertIsInstance(self.pick(candidates, excluded=frozenset(("i-1",))), NoCandidate)


class OutlierBreakerTest(unittest.TestCase):
    def test_it_opens_after_failures_in_a_row_and_for_longer_each_time(self):
        breaker = OutlierBreaker()
        self.assertFalse(breaker.record_failure(0.0))
        self.assertTrue(breaker.record_failure(0.0))
        first = breaker.retry_after_s(0.0)
        breaker.record_failure(1.0)
        self.assertGreater(breaker.retry_after_s(1.0), first)

    def test_a_success_closes_it(self):
        breaker = OutlierBreaker()
        breaker.record_failure(0.0, certain=True)
        self.assertFalse(breaker.allows(0.1))
        breaker.record_success(0.1)
        self.assertTrue(breaker.allows(0.1))


if __name__ == "__main__":
    unittest.main()
