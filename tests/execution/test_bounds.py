"""Tests of answers of a backend server that have no end."""

from __future__ import annotations

import contextlib
import unittest

from bronzerudder.backend_server import HttpBackendServer
from bronzerudder.frames import exchange_pb2 as pb
from tests.backend_server.raw_server import CLOSE, ENDLESS, RawServer
from tests.execution.test_executor import Recorder, build_submit, run_executor

SILENCE_TIMEOUT_S = 1.0
MAX_BUFFERED_FRAMES = 10_000
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
PLAIN_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
INFORMATIONAL = b"HTTP/1.1 100 Continue\r\n\r\n" * 40
EMPTY_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
EVENT = b"id: 1\ndata: a\n\n"
PIECE = b"x" * 60_000


class AcknowledgingRecorder(Recorder):
    """Records frames, and acknowledges every chunk."""

    def __init__(self, executor):
        super().__init__()
        self._executor = executor

    def __call__(self, frame):
        super().__call__(frame)
        if frame.HasField("chunk"):
            ack = pb.Ack(request_id="r", attempt=1, next_sequence=frame.chunk.sequence + 1)
            self._executor.acknowledge(ack)


@contextlib.asynccontextmanager
async def run_against(server):
    """Run an executor whose backend server is the given one."""
    async with server.serving():
        backend_server = HttpBackendServer(server.url, SILENCE_TIMEOUT_S)
        async with run_executor(backend_server) as executor:
            yield executor
        await backend_server.close()


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def run_until_finished(self, *script):
        """Return the final frame of the answer; the server must see its connection closed."""
        # The second request is the probe that checks for a crash.
        server = RawServer(script, [EMPTY_ANSWER])
        async with run_against(server) as executor:
            self.entry = AcknowledgingRecorder(executor)
            executor.submit(build_submit(method="POST", path="/x"), self.entry)
            finished = await self.entry.wait_for("finished")
            await server.wait_closed(1)
        return finished

    async def test_an_event_without_end_is_broken_off(self):
        finished = await self.run_until_finished(STREAM_HEAD, EVENT, ENDLESS, PIECE)
        self.assertEqual(finished.state, pb.FINISH_STATE_BROKEN)
        self.assertEqual(finished.detail, "event exceeds 1000000 bytes")
        self.assertEqual(self.entry.body(), EVENT)

    async def test_a_plain_body_without_end_is_broken_off(self):
        finished = await self.run_until_finished(PLAIN_HEAD, ENDLESS, PIECE)
        self.assertEqual(finished.state, pb.FINISH_STATE_BROKEN)
        self.assertEqual(finished.detail, "plain answer exceeds 16000000 bytes")

    async def test_heads_that_are_no_answer_do_not_keep_a_silent_engine_alive(self):
        server = RawServer([ENDLESS, INFORMATIONAL], [EMPTY_ANSWER], [STREAM_HEAD, EVENT, CLOSE])
        async with run_against(server) as executor:
            entry = AcknowledgingRecorder(executor)
            executor.submit(build_submit(method="POST", path="/x"), entry)
            finished = await entry.wait_for("finished")
        self.assertEqual((entry.body(), finished.state), (EVENT, pb.FINISH_STATE_COMPLETE))

    async def test_an_answer_in_tiny_chunks_is_not_buffered_by_the_million(self):
        # The second request is the cancellation at the deadline.
        server = RawServer([CHUNKED_HEAD, ENDLESS, b"1\r\nx\r\n" * 1_000], [EMPTY_ANSWER])
        async with run_against(server) as executor:
            entry = Recorder()
            executor.submit(build_submit(method="POST", path="/x", time_left_ms=2_000), entry)
            await entry.wait_for("finished")
        self.assertLess(len(entry.frames), MAX_BUFFERED_FRAMES)


if __name__ == "__main__":
    unittest.main()
