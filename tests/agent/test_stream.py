"""Tests of a stream's failures."""

from __future__ import annotations

import asyncio
import unittest

import anyio
import grpc.aio

from bronzerudder.agent.stream import ExchangeStream
from bronzerudder.frames import exchange_pb2 as pb


class FailingCall:
    """Raises a given error."""

    def __init__(self, error):
        self._error = error

    async def read(self):
        raise self._error

    async def write(self, batch):
        raise self._error


class ExchangeStreamTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_write_after_the_stream_ended_is_a_failure_and_no_exception(self):
        stream = ExchangeStream(FailingCall(asyncio.InvalidStateError("already finished")))
        self.assertFalse(await stream.write(pb.EntryBatch()))

    async def test_a_cancellation_by_the_peer_does_not_end_the_task(self):
        stream = ExchangeStream(FailingCall(asyncio.CancelledError()))
        self.assertIsNone(await stream.read())
        self.assertFalse(await stream.write(pb.EntryBatch()))

    async def test_a_cancellation_of_the_task_is_passed_on(self):
        class HangingCall:
            async def read(self):
                await anyio.sleep_forever()

        with anyio.move_on_after(0.01) as scope:
            await ExchangeStream(HangingCall()).read()
        self.assertTrue(scope.cancelled_caught)

    async def test_a_cancellation_of_the_task_that_lost_its_mark_is_passed_on(self):
        class UnmarkingCall:
            async def read(self):
                try:
                    await anyio.sleep_forever()
                except asyncio.CancelledError:
                    raise asyncio.CancelledError from None

        with anyio.move_on_after(0.01) as scope:
            await ExchangeStream(UnmarkingCall()).read()
        self.assertTrue(scope.cancelled_caught)

    async def test_the_end_of_the_stream_is_none(self):
        class EndedCall:
            async def read(self):
                return grpc.aio.EOF

        self.assertIsNone(await ExchangeStream(EndedCall()).read())


if __name__ == "__main__":
    unittest.main()
