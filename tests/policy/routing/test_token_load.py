"""Tests of the default routing policy: single decisions, and targets against both baselines."""

from __future__ import annotations

import random
import unittest

from bench import routing as routing_bench
from bronzerudder.policy.routing import (
    Breaker,
    Candidate,
    LoadReport,
    NoCandidateKind,
    RoutedRequest,
    TokenLoadRouting,
)

SHORT_RUN_S = 30.0


def make_candidates(count: int) -> list[Candidate]:
    return [Candidate(f"b-{index}", f"d-{index % 3}") for index in range(count)]


class TestPick(unittest.TestCase):
    def setUp(self):
        self.policy = TokenLoadRouting(random.Random(1), "d-0")

    def test_fewer_tokens_go_before_fewer_requests(self):
        first, second = make_candidates(2)
        first.begin(5000)
        second.begin(100)
        second.begin(100)
        self.assertIs(second, self.policy.pick([first, second], RoutedRequest(100), 0.0))

    def test_ended_work_no_longer_counts(self):
        first, second = make_candidates(2)
        assignment = first.begin(5000)
        second.begin(1000)
        assignment.progress(4900)
        assignment.finish()
        assignment.finish()
        self.assertEqual((0, 0), (first.own_requests, first.own_tokens))
        self.assertIs(first, self.policy.pick([first, second], RoutedRequest(100), 0.0))

    def test_own_failure_domain_first(self):
        candidates = make_candidates(3)
        picked = self.policy.pick(candidates, RoutedRequest(100), 0.0)
        self.assertEqual("d-0", picked.failure_domain)

    def test_own_failure_domain_gives_way_to_a_small_difference(self):
        near, remote = make_candidates(2)
        near.begin(1)
        self.assertIs(remote, self.policy.pick([near, remote], RoutedRequest(1), 0.0))

    def test_prefix_is_followed_until_its_holder_is_loaded(self):
        candidates = make_candidates(2)
        request = RoutedRequest(700, 500, "w/1")
        holder = self.policy.pick(candidates, request, 0.0)
        self.assertIs(holder, self.policy.pick(candidates, request, 0.1))
        holder.begin(20_000)
        self.assertIsNot(holder, self.policy.pick(candidates, request, 0.2))

    def test_reported_overload_is_avoided_and_forgotten_with_age(self):
        first, second, third = make_candidates(3)
        first.observe(LoadReport(outstanding_tokens=90_000, entry_tokens=0), 0.0)
        second.begin(3000)
        third.begin(3000)
        candidates = [first, second, third]
        self.assertIsNot(first, self.policy.pick(candidates, RoutedRequest(100), 0.5))
        self.assertIs(first, self.policy.pick(candidates, RoutedRequest(100), 60.0))

    def test_stalled_rank_closes_its_group(self):
        breaker = Breaker()
        ranks = [Candidate(f"b-{rank}", "d-0", breaker) for rank in range(3)]
        ranks[1].observe(LoadReport(group_stalled=True), 10.0)
        refused = self.policy.pick(ranks, RoutedRequest(100), 10.1)
        self.assertEqual(NoCandidateKind.ALL_UNAVAILABLE, refused.kind)
        self.assertGreater(refused.retry_after_s, 0.0)
        other = Candidate("b-9", "d-1")
        self.assertIs(other, self.policy.pick([*ranks, other], RoutedRequest(100), 10.1))


class TestTargets(unittest.TestCase):
    def compare(self, load: float) -> tuple[float, float]:
        rate_rps = load * 153.0
        p95_s = {
            name: routing_bench.run(make_policy, rate_rps, seed=4, run_s=SHORT_RUN_S).p95_s
            for name, make_policy in routing_bench.POLICIES.items()
        }
        policy_s = p95_s.pop("token load")
        return policy_s, min(p95_s.values())

    def test_ahead_of_both_baselines_at_80_percent(self):
        policy_s, baseline_s = self.compare(0.8)
        self.assertLess(policy_s, baseline_s)

    def test_no_worse_at_30_percent(self):
        policy_s, baseline_s = self.compare(0.3)
        self.assertLessEqual(policy_s, baseline_s)
