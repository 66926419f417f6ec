"""Tests of limits divided by recent use: single decisions and the accuracy target."""

from __future__ import annotations

import random
import unittest

from bench import limits as limits_bench
from bronzerudder.policy.limits import (
    RecentUseLimiter,
    RouteLimited,
    RouteLimitKind,
    RouteLimits,
    RoutePermit,
    RouteUse,
    RouteUseCounter,
)

TOLERANCE = 0.10


def count_allowed(limiter: RecentUseLimiter, start_s: float, length_s: float) -> int:
    allowed = 0
    for step in range(int(length_s * 1000)):
        answer = limiter.acquire("r", start_s + step / 1000)
        if isinstance(answer, RoutePermit):
            limiter.release(answer, start_s + step / 1000)
            allowed += 1
    return allowed


class TestDivision(unittest.TestCase):
    def make(self, limits: RouteLimits) -> RecentUseLimiter:
        limiter = RecentUseLimiter(random.Random(1), entries=4)
        limiter.configure("r", limits)
        return limiter

    def test_even_part_until_told_otherwise(self):
        limiter = self.make(RouteLimits(rate_rps=100.0))
        self.assertAlmostEqual(25, count_allowed(limiter, 0.0, 1.0), delta=2)

    def test_part_follows_the_use(self):
        limiter = self.make(RouteLimits(rate_rps=100.0))
        limiter.observe("a-1", [("r", RouteUse(60.0, 54.0, 0, 0, 4))], 0.0)
        limiter.observe("a-2", [("r", RouteUse(40.0, 36.0, 0, 0, 4))], 0.0)
        self.assertAlmostEqual(87, count_allowed(limiter, 0.0, 1.0), delta=3)

    def test_parts_of_all_entries_add_up_to_the_limit(self):
        rates = (70.0, 20.0, 5.0, 0.0)
        allowed = 0
        for rate in rates:
            limiter = self.make(RouteLimits(rate_rps=100.0))
            limiter.observe("a-1", [("r", RouteUse(sum(rates), rate, 0, 0, 4))], 0.0)
            allowed += count_allowed(limiter, 0.0, 10.0)
        self.assertAlmostEqual(1000, allowed, delta=1000 * TOLERANCE)

    def test_free_places_only(self):
        limiter = self.make(RouteLimits(concurrency=10))
        limiter.observe("a-1", [("r", RouteUse(10.0, 10.0, 10, 2, 4))], 0.0)
        self.assertIsInstance(limiter.acquire("r", 0.0), RoutePermit)
        self.assertIsInstance(limiter.acquire("r", 0.0), RoutePermit)
        refused = limiter.acquire("r", 0.0)
        self.assertEqual(RouteLimitKind.CONCURRENCY, refused.kind)
        self.assertGreater(refused.retry_after_s, 0.0)

    def test_gone_agent_no_longer_counts(self):
        limiter = self.make(RouteLimits(concurrency=10))
        limiter.observe("a-1", [("r", RouteUse(10.0, 10.0, 10, 0, 4))], 0.0)
        self.assertIsInstance(limiter.acquire("r", 0.0), RouteLimited)
        limiter.forget("a-1", 1.0)
        self.assertIsInstance(limiter.acquire("r", 1.0), RoutePermit)

    def test_changed_limits_keep_what_runs(self):
        limiter = self.make(RouteLimits(concurrency=4))
        permit = limiter.acquire("r", 0.0)
        limiter.configure("r", RouteLimits(concurrency=1))
        self.assertIsInstance(limiter.acquire("r", 0.0), RouteLimited)
        limiter.release(permit, 0.0)
        self.assertIsInstance(limiter.acquire("r", 0.0), RoutePermit)

    def test_route_without_limits_is_free(self):
        limiter = self.make(RouteLimits())
        for _ in range(100):
            self.assertIsInstance(limiter.acquire("r", 0.0), RoutePermit)


class TestCounter(unittest.TestCase):
    def test_tells_each_entry_its_own_part_and_forgets_the_idle(self):
        counter = RouteUseCounter()
        for entry in ("e-1", "e-2", "e-2"):
            counter.connect(entry)
        counter.disconnect("e-2")
        for step in range(300):
            counter.begin("r", "e-1" if step % 3 else "e-2", step * 0.01)
            if step >= 2:
                counter.end("r", "e-1" if (step - 2) % 3 else "e-2")
        ((_, unused),) = counter.describe("e-3", 3.0)
        self.assertEqual((0.0, 0), (unused.own_rate, unused.own_running))
        (route, use), *rest = counter.describe("e-1", 3.0)
        self.assertEqual(("r", []), (route, rest))
        self.assertAlmostEqual(2 / 3, use.own_rate / use.total_rate, delta=0.02)
        self.assertEqual((2, 2), (use.total_running, use.entries))
        counter.end("r", "e-1")
        counter.end("r", "e-1" if 298 % 3 else "e-2")
        self.assertEqual([], counter.describe("e-1", 60.0))


class TestTargets(unittest.TestCase):
    def test_rate_holds_within_a_tenth(self):
        result = limits_bench.run_rate(limits_bench.make_recent_use, 100.0, seed=5)
        for ratio in result[:3]:
            self.assertAlmostEqual(1.0, ratio, delta=TOLERANCE)

    def test_concurrency_holds_within_a_tenth(self):
        result = limits_bench.run_concurrency(limits_bench.make_recent_use, 50, seed=5)
        for ratio in result[:3]:
            self.assertAlmostEqual(1.0, ratio, delta=TOLERANCE)
