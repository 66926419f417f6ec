"""Tests that log lines about refused callers are few, whatever callers do."""

from __future__ import annotations

import unittest
from unittest import mock

from bronzerudder.observability.refusal_log import INTERVAL_S, MAX_REASONS, RefusalLog


class RefusalLogTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        clock = mock.patch("bronzerudder.observability.refusal_log.time.monotonic", self.read_clock)
        clock.start()
        self.addCleanup(clock.stop)
        self.lines = []
        self.log = RefusalLog(lambda **fields: self.lines.append(fields))

    def read_clock(self):
        return self.now_s

    def test_equal_refusals_are_one_line_with_their_number(self):
        for _ in range(1_000):
            self.log.add(503, "full")
        self.assertEqual(self.lines, [{"status": 503, "reason": "full", "count": 1}])
        self.now_s += INTERVAL_S
        self.log.write_due()
        self.assertEqual(self.lines[1:], [{"status": 503, "reason": "full", "count": 999}])
        self.now_s += INTERVAL_S
        self.log.write_due()
        self.assertEqual(len(self.lines), 2)

    def test_reasons_that_callers_vary_are_bounded(self):
        for number in range(1_000):
            self.log.add(400, f"bad header {number}")
        self.now_s += INTERVAL_S
        self.log.write_due()
        self.assertLessEqual(len(self.lines), MAX_REASONS + 2)
        self.assertEqual(sum(line["count"] for line in self.lines), 1_000)
