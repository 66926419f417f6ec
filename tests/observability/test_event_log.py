"""Tests of the bounded event log."""

from __future__ import annotations

import json
import os
import time
import unittest

from bronzerudder.observability.event_log import MAX_PENDING_BYTES, EventLog


class EventLogTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.writer)
        self.addCleanup(self.close_reader)

    def close_reader(self):
        if self.reader is not None:
            os.close(self.reader)
            self.reader = None

    def lines(self):
        return [json.loads(line) for line in os.read(self.reader, 1_000_000).splitlines()]

    def test_a_line_is_json_with_the_process_the_event_and_its_fields(self):
        log = EventLog({"role": "gateway"}, self.writer)
        log.failure("request failed", "r1", status=503)
        line = self.lines()[0]
        self.assertEqual((line["role"], line["event"]), ("gateway", "request failed"))
        self.assertEqual((line["request"], line["status"]), ("r1", 503))

    def test_routine_lines_leave_a_part_of_the_budget_to_failures(self):
        log = EventLog({}, self.writer, lines_per_s=20.0)
        for number in range(50):
            log.routine("request finished", f"r{number}")
        for number in range(5):
            log.failure("request failed", f"r{number}")
        events = [line["event"] for line in self.lines()]
        self.assertEqual(events.count("request failed"), 5)
        self.assertLessEqual(events.count("request finished"), 12)
        self.assertGreaterEqual(log.dropped, 38)

    def test_a_line_says_how_many_were_left_out(self):
        log = EventLog({}, self.writer, lines_per_s=100.0)
        for number in range(200):
            log.routine("request finished", f"r{number}")
        log.failure("request failed", "r")
        left_out = [line["count"] for line in self.lines() if line["event"] == "lines left out"]
        self.assertEqual(sum(left_out), log.dropped)

    def test_processes_sample_the_same_requests(self):
        kept = []
        for _ in range(2):
            log = EventLog({}, self.writer, lines_per_s=10_000.0, sample_share=0.3)
            for number in range(200):
                log.routine("request finished", f"r{number}")
            kept.append({line["request"] for line in self.lines()})
        self.assertEqual(kept[0], kept[1])
        self.assertTrue(20 < len(kept[0]) < 110, len(kept[0]))

    def test_a_reader_that_stopped_neither_blocks_nor_fills_the_memory(self):
        log = EventLog({}, self.writer, lines_per_s=1e9)
        started_s = time.monotonic()
        for number in range(20_000):
            log.failure("request failed", f"r{number}", reason="x" * 100)
        self.assertLess(time.monotonic() - started_s, 5.0)
        self.assertLessEqual(log._pending_bytes, MAX_PENDING_BYTES)
        self.assertGreater(log.dropped, 10_000)

    def test_a_slow_reader_gets_whole_lines(self):
        log = EventLog({}, self.writer, lines_per_s=1e9)
        for number in range(2_000):
            log.failure("request failed", f"r{number}", reason="x" * 100)
        received = b""
        while log._pending:
            received += os.read(self.reader, 50_000)
            log.flush()
        received += os.read(self.reader, 1_000_000)
        for line in received.splitlines():
            json.loads(line)

    def test_a_closed_pipe_is_counted_not_raised(self):
        log = EventLog({}, self.writer)
        self.close_reader()
        log.failure("request failed", "r1")
        self.assertEqual(log.dropped, 1)


if __name__ == "__main__":
    unittest.main()
