"""Tests of relaying a backend server's answer, with a scripted answer."""

from __future__ import annotations

import unittest

from bronzerudder.backend_server import BackendError
from bronzerudder.execution.relay import _copy_body
from bronzerudder.web.event_stream import EventSplitter

PIECE = b"x" * 1_400
READS_AT_MOST = 1_000


class EndlessEvent:
    """An answer whose second event never ends."""

    headers = (("content-type", "text/event-stream"),)

    def __init__(self):
        self.reads = 0

    async def read(self):
        self.reads += 1
        if self.reads > READS_AT_MOST:
            return BackendError(None, "read to the end")
        return b"id: 1\ndata: a\n\nid: 2\n" if self.reads == 1 else PIECE


class RecordingAttempt:
    """Records the chunks that are emitted."""

    def __init__(self):
        self.chunks = []

    async def wait_for_space(self):
        return

    def emit_chunk(self, chunk):
        self.chunks.append(chunk)


class CountingSplitter(EventSplitter):
    """Counts how often the incomplete event is copied."""

    def __init__(self):
        super().__init__()
        self.copies = 0

    @property
    def partial_event(self):
        self.copies += 1
        return super().partial_event


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_event_without_end_fails_the_answer(self):
        answer, attempt = EndlessEvent(), RecordingAttempt()
        error = await _copy_body(answer, attempt, EventSplitter())
        self.assertIsInstance(error, BackendError)
        self.assertIn("event exceeds", error.reason)
        self.assertEqual(attempt.chunks, [b"id: 1\ndata: a\n\n"])

    async def test_an_event_is_not_copied_for_each_chunk(self):
        splitter = CountingSplitter()
        await _copy_body(EndlessEvent(), RecordingAttempt(), splitter)
        self.assertLessEqual(splitter.copies, 1)


if __name__ == "__main__":
    unittest.main()
