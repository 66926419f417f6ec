"""Tests of the estimated token rate of a backend server."""

from __future__ import annotations

import unittest

from bronzerudder.policy.admission import AdmissionRequest
from bronzerudder.policy.admission.running import RunningSet

FAR_S = 1e6


class TestTokenRate(unittest.TestCase):
    def run_full(self, running: RunningSet, start_s: float, length_s: float) -> float:
        """Keep two slots in use with unstreamed requests of 100 tokens that take a second each."""
        now_s = start_s
        for name in ("a", "b"):
            running.start(AdmissionRequest(name, "w", 100, FAR_S), now_s)
        while now_s < start_s + length_s:
            now_s += 1.0
            for name in ("a", "b"):
                running.finish(name, now_s)
                running.start(AdmissionRequest(name, "w", 100, FAR_S), now_s)
        return now_s

    def test_assumed_rate_is_soon_replaced(self):
        running = RunningSet(2, initial_token_rate=10_000.0)
        self.run_full(running, 0.0, 3.0)
        self.assertAlmostEqual(200.0, running.token_rate, delta=60.0)

    def test_idle_time_does_not_lower_the_rate(self):
        running = RunningSet(2)
        now_s = self.run_full(running, 0.0, 20.0)
        for name in ("a", "b"):
            running.finish(name, now_s + 1.0)
        rate = running.token_rate
        running.start(AdmissionRequest("c", "w", 100, FAR_S), now_s + 50.0)
        running.progress("c", 10, now_s + 55.0)
        running.finish("c", now_s + 60.0)
        self.assertEqual(rate, running.token_rate)
