"""Tests of the sliding-window retry budget."""

from __future__ import annotations

import unittest

from bronzerudder.policy.retry import RetryAllowance, RetryDenial, RetryDenialKind, WindowBudget


class WindowBudgetTest(unittest.TestCase):
    def count_allowed(self, budget, now_s, tries=1000):
        allowed = (budget.allow(1, now_s + 10.0, now_s) for _ in range(tries))
        return sum(isinstance(item, RetryAllowance) for item in allowed)

    def test_a_window_allows_its_share_and_the_fixed_number(self):
        budget = WindowBudget(0.2, 5.0, 10.0)
        for number in range(100):
            budget.record_request(number / 100)
        self.assertEqual(self.count_allowed(budget, 1.0), 25)

    def test_any_span_of_the_window_keeps_to_it(self):
        budget = WindowBudget(0.0, 5.0, 10.0)
        times = [
            second for second in range(60) for _ in range(self.count_allowed(budget, second, 3))
        ]
        for start in range(60):
            self.assertLessEqual(sum(start <= at < start + 10 for at in times), 5)

    def test_no_retry_without_time_for_it(self):
        denial = WindowBudget(1.0, 5.0, 10.0).allow(1, 1.0, 0.99)
        self.assertIsInstance(denial, RetryDenial)
        self.assertIs(denial.kind, RetryDenialKind.DEADLINE)

    def test_terms_can_change(self):
        budget = WindowBudget(0.0, 50.0, 10.0)
        budget.set_limits(0.0, 2.0, 10.0)
        self.assertEqual(self.count_allowed(budget, 0.0), 2)


if __name__ == "__main__":
    unittest.main()
