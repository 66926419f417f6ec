"""Simulates many gateways that route to one large group by slightly outdated reports."""

from __future__ import annotations

import heapq
import random
import unittest

from bronzerudder.policy.routing import Candidate, FreeSlotRouting, NoCandidate, RoutedRequest

RANKS = 72
GATEWAYS = 13
SLOTS = 10
ARRIVALS_PER_S = 320.0
ANSWER_S = 1.7
REPORT_S = 0.12
WARM_UP_S = 3.0
END_S = 12.0
MAX_OVER_MEAN = 1.5
"""A step of a group takes as long as on its fullest rank; above this ratio events are late."""


class ManyGatewaysTest(unittest.TestCase):
    def setUp(self):
        self.generator = random.Random(3)
        self.views = [
            [Candidate(f"m-{rank}", "z", slots=SLOTS) for rank in range(RANKS)]
            for _ in range(GATEWAYS)
        ]
        self.routings = [FreeSlotRouting(random.Random(seed)) for seed in range(GATEWAYS)]
        self.requests = [0] * RANKS
        self.refused = 0
        self.max_over_mean: list[float] = []
        self.events: list[tuple] = []
        self.sequence_numbers = iter(range(1_000_000_000))

    def schedule(self, time_s, action, *arguments):
        heapq.heappush(self.events, (time_s, next(self.sequence_numbers), action, arguments))

    def report(self, now_s, rank):
        for view in self.views:
            view[rank].observe_requests(self.requests[rank], now_s)
        self.schedule(now_s + REPORT_S, self.report, rank)

    def arrive(self, now_s):
        self.schedule(now_s + self.generator.expovariate(ARRIVALS_PER_S), self.arrive)
        gateway = self.generator.randrange(GATEWAYS)
        picked = self.routings[gateway].pick(self.views[gateway], RoutedRequest(), now_s)
        if isinstance(picked, NoCandidate):
            self.refused += 1
            return
        rank = int(picked.name.removeprefix("m-"))
        self.requests[rank] += 1
        took_s = self.generator.lognormvariate(-0.25, 0.7) * ANSWER_S
        self.schedule(now_s + took_s, self.end, rank, picked.begin(100))
        if now_s > WARM_UP_S:
            self.max_over_mean.append(max(self.requests) * RANKS / sum(self.requests))

    def end(self, now_s, rank, assignment):
        self.requests[rank] -= 1
        assignment.finish()

    def test_the_fullest_rank_stays_near_the_mean(self):
        for rank in range(RANKS):
            self.schedule(self.generator.uniform(0.0, REPORT_S), self.report, rank)
        self.schedule(0.0, self.arrive)
        while self.events[0][0] < END_S:
            now_s, _, action, arguments = heapq.heappop(self.events)
            action(now_s, *arguments)
        self.assertEqual(self.refused, 0)
        self.assertLess(sum(self.max_over_mean) / len(self.max_over_mean), MAX_OVER_MEAN)


if __name__ == "__main__":
    unittest.main()
