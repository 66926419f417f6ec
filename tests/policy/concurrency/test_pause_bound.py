"""Tests of the bound on running requests by the pauses of streams, with a model of the load."""

from __future__ import annotations

import random
import unittest

from bronzerudder.policy.concurrency import PauseBound
from bronzerudder.policy.concurrency.pause_bound import INTERVAL_S, MIN_SHARE

SLOTS = 48
PAUSE_TARGET_S = 0.12
EVENTS = 25
FIXED_S = 0.03
TICK_S = 0.02
ARRIVALS_RPS = 20.0
SECONDS = 60.0


class BoundTest(unittest.TestCase):
    def setUp(self):
        self.bound = PauseBound()
        self.now_s = 0.0

    def record(self, ratio, seconds, streams=10):
        for _ in range(round(seconds / 0.1)):
            self.now_s += 0.1
            for _ in range(streams):
                self.bound.record_pause(ratio, self.now_s)
        return self.bound.share(self.now_s)

    def test_short_pauses_leave_all_slots(self):
        self.assertEqual(self.record(0.5, 20.0), 1.0)

    def test_long_pauses_leave_fewer_slots_but_some(self):
        once = self.record(1.3, 2 * INTERVAL_S)
        self.assertLess(once, 1.0)
        self.assertAlmostEqual(self.record(5.0, 60.0), MIN_SHARE)

    def test_slots_return_once_pauses_are_short_or_nothing_runs(self):
        self.record(2.0, 5.0)
        self.assertEqual(self.record(0.5, 15.0), 1.0)
        self.record(2.0, 5.0)
        self.assertEqual(self.bound.share(self.now_s + 20.0), 1.0)

    def test_a_few_long_pauses_of_single_streams_change_nothing(self):
        for _ in range(200):
            self.now_s += 0.1
            for number in range(20):
                self.bound.record_pause(3.0 if number == 0 else 0.5, self.now_s)
        self.assertEqual(self.bound.share(self.now_s), 1.0)


class Group:
    """A group whose steps grow with the requests that it runs, for a load beyond its capacity.

    A step takes ``FIXED_S`` and some time for each running request, and gives each one event.
    """

    def __init__(self, per_request_s, bound):
        self.per_request_s = per_request_s
        self.bound = bound
        self.on_time = 0
        self.late = 0

    def play(self, generator):
        """Play arrivals that wait for a slot for a second at most."""
        now_s = next_arrival_s = 0.0
        running, waiting = [], []
        while now_s < SECONDS:
            step_s = FIXED_S + self.per_request_s * len(running)
            now_s += max(TICK_S, step_s)
            while next_arrival_s < now_s:
                waiting.append(next_arrival_s)
                next_arrival_s += generator.expovariate(ARRIVALS_RPS)
            waiting = [at_s for at_s in waiting if now_s - at_s < 1.0]
            for stream in running:
                stream[0] -= 1
                stream[1] = max(stream[1], step_s)
                if self.bound is not None:
                    self.bound.record_pause(step_s / PAUSE_TARGET_S, now_s)
            for stream in [item for item in running if not item[0]]:
                running.remove(stream)
                is_on_time = stream[1] <= PAUSE_TARGET_S
                self.on_time += is_on_time
                self.late += not is_on_time
            share = 1.0 if self.bound is None else self.bound.share(now_s)
            while waiting and len(running) < SLOTS * share:
                waiting.pop(0)
                running.append([EVENTS, 0.0])
        return self.on_time


class OverloadTest(unittest.TestCase):
    def on_time(self, per_request_s, bound):
        return Group(per_request_s, bound).play(random.Random(3))

    def test_more_streams_are_on_time_where_full_slots_make_all_late(self):
        for per_request_s in (0.0025, 0.003, 0.004):
            with self.subTest(per_request_s=per_request_s):
                bounded = self.on_time(per_request_s, PauseBound())
                unbounded = self.on_time(per_request_s, None)
                self.assertGreater(bounded, 1.5 * unbounded)

    def test_no_stream_is_lost_where_full_slots_are_fast_enough(self):
        bounded = self.on_time(0.001, PauseBound())
        self.assertGreaterEqual(bounded, self.on_time(0.001, None))
