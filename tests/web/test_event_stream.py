"""Tests of splitting a stream of server-sent events."""

from __future__ import annotations

import random
import time
import unittest

from bronzerudder.web.event_stream import MAX_EVENT_BYTES, EventSplitter

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


if __name__ == "__main__":
    unittest.main()
