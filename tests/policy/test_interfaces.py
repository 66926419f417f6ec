"""Tests of simple policies through the interfaces of their abstract classes."""

from __future__ import annotations

import random
import unittest

from bronzerudder.policy import admission, limits, retry, routing, subset


class TestRouting(unittest.TestCase):
    def test_picks_only_what_is_available(self):
        for policy in (
            routing.RandomRouting(random.Random(1)),
            routing.LeastOutstandingRouting(random.Random(1)),
        ):
            with self.subTest(policy=type(policy).__name__):
                first = routing.Candidate("b-1", "kigali-a")
                second = routing.Candidate("b-2", "kigali-a")
                second.leaving = True
                request = routing.RoutedRequest(10)
                self.assertIs(first, policy.pick([first, second], request, 0.0))
                tried = routing.RoutedRequest(10, excluded=frozenset(["b-1"]))
                none = policy.pick([first, second], tried, 0.0)
                self.assertEqual(routing.NoCandidateKind.ALL_UNAVAILABLE, none.kind)
                self.assertGreater(none.retry_after_s, 0)


class TestAdmission(unittest.TestCase):
    def test_starts_within_the_concurrency(self):
        queue = admission.FirstComeQueue(concurrency=1, max_queued=1)
        for name in ("a", "b"):
            offered = queue.offer(admission.AdmissionRequest(name, "w", 10, 9.0), 0.0)
            self.assertIsInstance(offered, admission.Queued)
            queue.next(0.0)
        self.assertEqual((1, 1), (queue.running_requests, queue.queued_requests))
        refused = queue.offer(admission.AdmissionRequest("c", "w", 10, 9.0), 0.0)
        self.assertEqual(admission.AdmissionRefusalKind.QUEUE_FULL, refused.kind)
        queue.finished("a", 1.0)
        self.assertEqual("b", queue.next(1.0).request_id)
        self.assertEqual(10, queue.outstanding_tokens)


class TestRetry(unittest.TestCase):
    def test_share_of_fresh_traffic(self):
        budget = retry.ShareBudget(share=0.1)
        allowed = 0
        for _ in range(1000):
            budget.record_request(0.0)
            answer = budget.allow(1, 10.0, 0.0)
            allowed += isinstance(answer, retry.RetryAllowance)
        self.assertLessEqual(allowed, 101)
        self.assertGreaterEqual(allowed, 99)

    def test_no_retry_past_the_deadline(self):
        budget = retry.ShareBudget()
        denial = budget.allow(1, deadline_s=1.0, now_s=0.5, retry_after_s=1.0)
        self.assertEqual(retry.RetryDenialKind.DEADLINE, denial.kind)


class TestLimits(unittest.TestCase):
    def test_even_split(self):
        limiter = limits.EvenSplitLimiter(entries=2)
        limiter.configure("r", limits.RouteLimits(rate_rps=100.0, concurrency=4))
        first = limiter.acquire("r", 0.0)
        self.assertIsInstance(first, limits.RoutePermit)
        refused = limiter.acquire("r", 0.0)
        self.assertEqual(limits.RouteLimitKind.RATE, refused.kind)
        self.assertAlmostEqual(0.02, refused.retry_after_s)
        self.assertIsInstance(limiter.acquire("r", 0.03), limits.RoutePermit)
        refused = limiter.acquire("r", 0.06)
        self.assertEqual(limits.RouteLimitKind.CONCURRENCY, refused.kind)
        limiter.release(first, 0.07)
        self.assertIsInstance(limiter.acquire("r", 0.08), limits.RoutePermit)


class TestSubset(unittest.TestCase):
    def test_full_mesh(self):
        members = (subset.Member("b-1", "kigali-a"),)
        self.assertEqual(members, subset.FullMesh().select("entry-1", members))
