"""Tests of splitting and checking a stream of server-sent events."""

from __future__ import annotations

import random
import time
import unittest

from bronzerudder.web.event_stream import MAX_EVENT_BYTES, EventSequence, EventSplitter

EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n\nid: 3\ndata: c\n\n"
PIECE = b"x" * 100
PIECES = 2_000


class EventSplitterTest(unittest.TestCase):
    def test_events_are_the_same_however_the_stream_is_cut(self):
        generator = random.Random(1)
        for _ in range(500):
            splitter = EventSplitter()
            received, at = b"", 0
            while at < len(EVENTS):
                size = generator.randint(1, 12)
                received += splitter.split(EVENTS[at : at + size])
                self.assertEqual(received + splitter.partial_event, EVENTS[: at + size])
                self.assertNotIn(b"\n\n", splitter.partial_event)
                at += size
            self.assertEqual((received, splitter.last_event_id), (EVENTS, "3"))

    def test_an_event_cut_between_its_two_last_bytes_is_complete(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.split(b"id: 1\n"), b"")
        self.assertEqual(splitter.split(b"\nid: 2"), b"id: 1\n\n")
        self.assertEqual(splitter.partial_event, b"id: 2")

    def test_an_event_without_end_exceeds_the_limit(self):
        splitter = EventSplitter()
        for _ in range(MAX_EVENT_BYTES // len(PIECE)):
            splitter.split(PIECE)
            self.assertFalse(splitter.exceeds_limit)
        splitter.split(PIECE)
        self.assertTrue(splitter.exceeds_limit)
        splitter.drop_partial_event()
        self.assertFalse(splitter.exceeds_limit)

    def test_the_cost_of_a_chunk_does_not_grow_with_the_event(self):
        splitter = EventSplitter()
        costs_s = []
        for _ in range(2):
            started_s = time.process_time()
            for _ in range(PIECES):
                splitter.split(PIECE)
            costs_s.append(time.process_time() - started_s)
            for _ in range(5 * PIECES):
                splitter.split(PIECE)
        self.assertLess(costs_s[1], 10 * costs_s[0])


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

    def test_a_stream_is_not_resumable_after_an_event_without_an_id(self):
        sequence = EventSequence("2")
        for events, resumable in (
            (b": comment\n\n", True),
            (b"id: 3\ndata: a\n\n", True),
            (b"data: b\n\n", False),
            (b": comment\n\n", False),
            (b"data: c\n\nid: 4\nident: 5\n\n: comment\n\n", True),
            (b"id: 6\n\ndata: d\n\n", False),
        ):
            self.assertEqual(sequence.accept(events).fault, "")
            self.assertEqual(sequence.resumable, resumable, events)

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
