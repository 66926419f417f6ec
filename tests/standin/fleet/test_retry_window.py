"""Tests of the check that retries keep to their budget."""

from __future__ import annotations

import unittest

from bronzerudder.standin.fleet.rate_limit import Arrival
from bronzerudder.standin.fleet.retry_window import RetryRule, find_retry_excess

RULE = RetryRule(0.2, 5.0, 10.0)


def arrivals(times_s, first_at_s=0.0):
    """Arrivals of one request: the first, and its retries at these times."""
    return [Arrival("r", first_at_s), *(Arrival("r", at_s) for at_s in times_s)]


class RetryWindowTest(unittest.TestCase):
    def test_first_arrivals_are_no_retries(self):
        found = [Arrival(f"r{number}", 1.0) for number in range(100)]
        self.assertIsNone(find_retry_excess(RULE, [], found))

    def test_the_fixed_number_is_allowed_and_one_more_is_found(self):
        times_s = [20.0 + number for number in range(5)]
        self.assertIsNone(find_retry_excess(RULE, [], arrivals(times_s)))
        excess = find_retry_excess(RULE, [], arrivals([*times_s, 29.9]))
        self.assertEqual((excess.retries, excess.allowed), (6, 5.0))

    def test_requests_count_from_the_window_with_most_of_the_three(self):
        times_s = [20.0 + number / 10 for number in range(9)]
        for first_s in (12.0, 16.0, 20.0):
            sent = [first_s + number / 50 for number in range(20)]
            with self.subTest(first_s=first_s):
                self.assertIsNone(find_retry_excess(RULE, sent, arrivals(times_s)))
        for first_s in (9.0, 31.0):
            sent = [first_s + number / 50 for number in range(20)]
            with self.subTest(first_s=first_s):
                self.assertIsNotNone(find_retry_excess(RULE, sent, arrivals(times_s)))

    def test_a_window_may_begin_at_any_time(self):
        times_s = [3.0, 3.1, 3.2, 12.7, 12.8, 12.9]
        self.assertIsNotNone(find_retry_excess(RULE, [], arrivals(times_s)))
        self.assertIsNone(find_retry_excess(RULE, [], arrivals([*times_s[:3], 13.1, 13.2, 13.3])))


if __name__ == "__main__":
    unittest.main()
