"""Tests of when an answer may be continued by another backend server."""

from __future__ import annotations

import unittest

from bronzerudder.agent import Body, Head
from bronzerudder.dispatch import AnswerSink
from bronzerudder.dispatch.progress import Progress

EVENT_STREAM = Head(200, (("content-type", "text/event-stream"),))
PLAIN = Head(200, (("content-type", "application/json"),))


class Sink(AnswerSink):
    """Collects the body."""

    def __init__(self):
        self.body = b""

    async def begin(self, status, headers):
        return None

    async def write(self, payload):
        self.body += payload


class ProgressTest(unittest.IsolatedAsyncioTestCase):
    async def deliver(self, *events):
        progress = Progress(Sink())
        for event in events:
            await progress.deliver(event)
        return progress

    async def test_a_stream_that_delivered_only_its_head_may_move(self):
        self.assertTrue((await self.deliver(EVENT_STREAM)).can_fail_over)

    async def test_a_stream_may_move_once_an_event_has_an_id(self):
        self.assertTrue(
            (await self.deliver(EVENT_STREAM, Body(b"id: 1\ndata: a\n\n"))).can_fail_over
        )

    async def test_a_stream_without_ids_may_not_move_after_its_first_event(self):
        self.assertFalse((await self.deliver(EVENT_STREAM, Body(b"data: a\n\n"))).can_fail_over)

    async def test_an_answer_that_is_no_stream_may_not_move_after_its_head(self):
        self.assertFalse((await self.deliver(PLAIN)).can_fail_over)

    async def test_only_a_stream_with_the_same_status_continues_a_stream(self):
        for head in (PLAIN, EVENT_STREAM._replace(status=503)):
            progress = await self.deliver(EVENT_STREAM)
            self.assertIsNotNone(await progress.deliver(head))
        progress = await self.deliver(EVENT_STREAM)
        self.assertIsNone(await progress.deliver(EVENT_STREAM))


if __name__ == "__main__":
    unittest.main()
