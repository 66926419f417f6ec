"""Tests of the checks of server-sent events."""

from __future__ import annotations

import unittest

from bronzerudder.web.event_stream import EventSequence


class EventSequenceTest(unittest.TestCase):
    def test_events_before_a_faulty_one_are_accepted(self):
        sound = b"id: 3\ndata: a\n\n: comment\n\nweight-versions: 5\nid: 4\ndata: b\n\n"
        for faulty in (
            b"HTTP/1.1 200 OK\r\nAttempt-Id: r\r\n\r\nid: 5\ndata: c\n\n",
            b"no field\n\n",
            b"id: 5\ndata: c\r\n\n",
            b"id: 4\ndata: b\n\n",
            b"id: 5\ndata: pid: 5\nid: 5\ndata: c\n\n",
            b"id: x\ndata: c\n\n",
            b"id\ndata: c\n\n",
            b"id: " + b"9" * 5000 + b"\n\n",
        ):
            for after in (b"", b"id: 6\ndata: d\n\n"):
                with self.subTest(faulty=faulty, after=after):
                    sequence = EventSequence("2")
                    accepted = sequence.accept(sound + faulty + after)
                    self.assertEqual(accepted.events, sound)
                    self.assertNotEqual(accepted.fault, "")
                    self.assertEqual(sequence.last_event_id, "4")

    def test_ids_rise_over_all_calls(self):
        sequence = EventSequence("")
        self.assertEqual(sequence.accept(b"id: 9\n\n").fault, "")
        self.assertEqual(sequence.accept(b"id: 10\n\n").fault, "")
        self.assertIn("10", sequence.accept(b"id: 10\n\n").fault)
        self.assertEqual(sequence.last_event_id, "10")

    def test_bytes_of_no_event_cost_no_backtracking(self):
        for data in (b"a" * 1_000_000 + b"\n\n", b"a:\n" * 300_000 + b"b\n\n"):
            accepted = EventSequence("").accept(data)
            self.assertEqual(accepted.events, b"")


if __name__ == "__main__":
    unittest.main()
