"""Tests of the order and completeness of an attempt's frames."""

from __future__ import annotations

import unittest

from bronzerudder.agent import Body, Completed, Head, Incomplete, Lost, Refused, RemoteAttempt
from bronzerudder.frames import exchange_pb2 as pb

HEAD = pb.AgentFrame(head=pb.Head(status=200))


def build_chunk(sequence, payload=b"x"):
    return pb.AgentFrame(chunk=pb.Chunk(sequence=sequence, payload=payload))


def build_finished(count, state=pb.FINISH_STATE_COMPLETE):
    return pb.AgentFrame(finished=pb.Finished(chunk_count=count, state=state))


class RemoteAttemptTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.sent = []
        self.attempt = RemoteAttempt(pb.Submit(request_id="r", attempt=1), self.sent.append)
        self.attempt.mark_sent()

    def receive(self, *frames):
        for frame in frames:
            self.attempt.handle_frame(frame, frame.WhichOneof("body"))

    async def events(self, count):
        return [await self.attempt.next_event() for _ in range(count)]

    async def test_repeats_are_dropped(self):
        self.receive(HEAD, build_chunk(1, b"a"), HEAD, build_chunk(1, b"a"), build_chunk(2, b"b"))
        self.receive(build_finished(2), build_finished(2))
        events = await self.events(4)
        self.assertEqual(events, [Head(200, ()), Body(b"a"), Body(b"b"), Completed(False)])

    async def test_an_answer_with_a_gap_is_not_complete(self):
        self.receive(HEAD, build_chunk(1, b"a"), build_chunk(3, b"c"), build_finished(3))
        events = await self.events(3)
        self.assertEqual(events[:2], [Head(200, ()), Body(b"a")])
        self.assertIsInstance(events[2], Lost)

    async def test_a_broken_answer_is_cut(self):
        self.receive(HEAD, build_chunk(1), build_finished(1, pb.FINISH_STATE_BROKEN))
        self.assertIsInstance((await self.events(3))[2], Incomplete)

    async def test_nothing_follows_the_final_event(self):
        self.receive(pb.AgentFrame(refused=pb.Refused(retry_after_ms=500)), HEAD, build_finished(0))
        self.attempt.fail("late")
        self.assertEqual(await self.events(1), [Refused(0, "", 0.5)])
        self.assertEqual(self.attempt.next_sequence, 0)

    async def test_an_unsent_attempt_that_is_lost_is_as_good_as_refused(self):
        unsent = RemoteAttempt(pb.Submit(request_id="r", attempt=1), self.sent.append)
        unsent.fail("the connection failed")
        self.assertIsInstance(await unsent.next_event(), Refused)

    async def test_a_sent_attempt_that_is_lost_may_have_run(self):
        self.attempt.fail("the connection failed")
        self.assertIsInstance((await self.events(1))[0], Lost)

    async def test_only_delivered_chunks_are_acknowledged(self):
        self.receive(HEAD, *(build_chunk(index) for index in range(1, 201)))
        await self.events(1 + 64)
        self.assertEqual([frame.ack.next_sequence for frame in self.sent], [65])


if __name__ == "__main__":
    unittest.main()
