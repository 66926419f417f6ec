"""Tests of one gateway's account of the retry budget of all gateways."""

from __future__ import annotations

import unittest

from bronzerudder.policy.retry import FleetRetryBudget, RetryDenialKind
from bronzerudder.policy.retry.fleet import SLICE_S
from tests.gateway.harness import FixedDivision

WINDOW_S = 10.0
TIME_LEFT_S = 10.0


class FleetRetryBudgetTest(unittest.TestCase):
    def make_budget(self, share, extra, part=1.0):
        self.division = FixedDivision()
        self.division.part = lambda now_s: part
        return FleetRetryBudget(share, extra, WINDOW_S, self.division)

    def count_sent(self, budget, now_s, tries=1000):
        sent = 0
        for _ in range(tries):
            if budget.reserve(TIME_LEFT_S, now_s) is None:
                sent += budget.spend(now_s) is None
        return sent

    def test_a_window_allows_half_its_share_at_once_and_the_fixed_number(self):
        budget = self.make_budget(0.2, 5.0)
        for number in range(100):
            budget.record_request(number / 100)
        self.assertEqual(self.count_sent(budget, 1.0), 15)

    def test_two_windows_of_requests_earn_no_more_than_the_share_of_one(self):
        budget = self.make_budget(0.2, 0.0)
        sent_at_s = []
        for number in range(3000):
            now_s = number / 100
            budget.record_request(now_s)
            if now_s >= 10.0:
                sent_at_s += [now_s] * self.count_sent(budget, now_s, 3)
        for begin_s in range(10, 20):
            sent = sum(begin_s <= at_s < begin_s + WINDOW_S for at_s in sent_at_s)
            self.assertLessEqual(sent, 0.2 * 1000)
        self.assertGreater(sum(at_s < 20.0 for at_s in sent_at_s), 0.9 * 0.2 * 1000)

    def test_any_span_of_the_window_keeps_to_the_fixed_number(self):
        budget = self.make_budget(0.0, 5.0)
        times = [second for second in range(60) for _ in range(self.count_sent(budget, second, 3))]
        self.assertGreater(len(times), 20)
        for start in range(60):
            self.assertLessEqual(sum(start <= at < start + 10 for at in times), 5)

    def test_a_gateway_that_starts_has_nothing_to_spend(self):
        self.assertEqual(self.count_sent(self.make_budget(0.2, 100.0, part=0.0), 0.0), 0)

    def test_a_part_that_shrinks_leaves_no_room_for_what_was_sent_before(self):
        budget = self.make_budget(0.0, 8.0)
        self.assertEqual(self.count_sent(budget, 0.0), 8)
        self.division.part = lambda now_s: 0.5
        self.assertEqual(self.count_sent(budget, 5.0), 0)
        self.assertEqual(self.count_sent(budget, 11.0), 4)

    def test_parts_below_one_retry_add_up(self):
        budget = self.make_budget(0.2, 5.0, part=0.1)
        for number in range(5):
            budget.record_request(float(number))
        self.assertEqual(self.count_sent(budget, 5.0), 1)

    def test_what_was_earned_lapses_after_the_window(self):
        budget = self.make_budget(0.2, 0.0)
        for _ in range(100):
            budget.record_request(0.0)
        self.assertEqual(self.count_sent(budget, 8.9, 3), 3)
        self.assertEqual(self.count_sent(budget, 10.0), 0)

    def test_both_accounts_leave_time_for_requests_and_retries_to_arrive(self):
        lent = self.make_budget(0.0, 5.0)
        self.assertEqual(self.count_sent(lent, 0.0), 5)
        self.assertEqual(self.count_sent(lent, WINDOW_S + 0.4), 0)
        self.assertEqual(self.count_sent(lent, WINDOW_S + 0.6), 5)
        earned = self.make_budget(0.2, 0.0)
        for _ in range(20):
            earned.record_request(0.0)
        self.assertEqual(self.count_sent(earned, WINDOW_S - 1.1, 1), 1)
        self.assertEqual(self.count_sent(earned, WINDOW_S - 0.9, 1), 0)

    def test_no_more_places_than_retries_that_remain(self):
        budget = self.make_budget(0.0, 3.0)
        denials = [budget.reserve(TIME_LEFT_S, 0.0) for _ in range(5)]
        self.assertEqual(denials[:3], [None] * 3)
        self.assertEqual({denial.kind for denial in denials[3:]}, {RetryDenialKind.BUDGET_SPENT})
        budget.release()
        self.assertIsNone(budget.reserve(TIME_LEFT_S, 0.0))

    def test_a_retry_that_waits_is_charged_when_it_is_sent(self):
        budget = self.make_budget(0.0, 3.0)
        for _ in range(3):
            self.assertIsNone(budget.reserve(TIME_LEFT_S, 0.0))
        for _ in range(3):
            self.assertIsNone(budget.spend(8.0))
        self.assertEqual(self.count_sent(budget, 12.0), 0)
        self.assertEqual(self.count_sent(budget, 18.6), 3)

    def test_a_place_is_no_claim_on_what_has_lapsed_meanwhile(self):
        budget = self.make_budget(0.2, 0.0)
        for _ in range(10):
            budget.record_request(0.0)
        self.assertIsNone(budget.reserve(TIME_LEFT_S, 0.0))
        denial = budget.spend(12.0)
        self.assertIs(denial.kind, RetryDenialKind.BUDGET_SPENT)
        self.assertEqual(budget.waiting, 1)

    def test_no_retry_without_time_for_it(self):
        denial = self.make_budget(1.0, 5.0).reserve(0.01, 0.99)
        self.assertIs(denial.kind, RetryDenialKind.DEADLINE)

    def test_limits_can_change(self):
        budget = self.make_budget(0.0, 50.0)
        budget.set_limits(0.0, 2.0, WINDOW_S)
        self.assertEqual(self.count_sent(budget, 0.0), 2)

    def test_memory_does_not_grow_with_the_rate_of_requests(self):
        budget = self.make_budget(0.2, 0.0)
        for number in range(100_000):
            budget.record_request(number / 5000)
        self.assertLessEqual(len(budget._earned), WINDOW_S / SLICE_S + 1)


if __name__ == "__main__":
    unittest.main()
