"""Tests that answers without end, of scripted backend servers, are cut off by the gateway."""

from __future__ import annotations

import asyncio
import re
import time
import unittest

import anyio

from bronzerudder.gateway.attempt import MAX_BUFFERED_BYTES
from bronzerudder.gateway.tables import BackendServer
from bronzerudder.http1 import Connection, listen
from bronzerudder.http1.client import MAX_TOTAL_BUFFERED_BYTES
from bronzerudder.http1.sockets import accept
from tests.gateway.harness import TIMEOUT_S, GatewayHarness

HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: s\r\n"
STREAM = HEAD + b"Content-Type: text/event-stream\r\n\r\n"
CALLERS = 100
TRICKLE_PAUSE_S = 0.01
DEADLINE_MS = 400
DEADLINE_SLACK_S = 0.5
"""The users' rule: no request is held half a second past its time."""
PIECE = b"x" * 1_400


class EndlessBackendServer:
    """Answers each request with a head and some bytes, then the same bytes until it is cut off.

    With nothing to repeat, it waits until it is cut off.
    """

    def __init__(self, head: bytes, first: bytes, repeated: bytes, pause_s: float) -> None:
        self._pause_s = pause_s
        self._head = head
        self._first = first
        self._repeated = repeated
        self._tasks: set[asyncio.Task] = set()
        self.cut_off = anyio.Semaphore(0)

    async def serve(self, listener) -> None:
        while True:
            connection = await accept(listener)
            task = asyncio.create_task(self._answer(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _answer(self, connection: Connection) -> None:
        request = await connection.receive()
        if not isinstance(request, bytes):
            return
        request_id = re.search(rb"(?i)attempt-id: (\S+)", request).group(1)
        failed = await connection.send(self._head % request_id + self._first)
        while failed is None and self._repeated:
            await anyio.sleep(self._pause_s)
            failed = await connection.send(self._repeated)
        if failed is None:
            await connection.receive()
        connection.close()
        self.cut_off.release()


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.gateway = GatewayHarness(server_count=0)
        await self.gateway.start()
        self.addAsyncCleanup(self.gateway.stop)

    def add(
        self, head: bytes, first: bytes, repeated: bytes, pause_s: float = 0.0
    ) -> EndlessBackendServer:
        server = EndlessBackendServer(head, first, repeated, pause_s)
        listener = listen("127.0.0.1:0")
        self.addCleanup(listener.close)
        task = asyncio.create_task(server.serve(listener))
        self.addCleanup(task.cancel)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        self.gateway.services.put(BackendServer("i-0", "s", address, "z", CALLERS, False))
        return server

    async def assert_cut_off(self, server: EndlessBackendServer) -> None:
        with anyio.fail_after(TIMEOUT_S):
            await server.cut_off.acquire()

    async def test_an_event_without_end_ends_the_attempt(self):
        server = self.add(STREAM, b"id: 1\ndata: ", PIECE)
        status, _, body = await self.gateway.send_request("/once/")
        self.assertEqual(status, 502)
        self.assertIn(b"event exceeds", body)
        await self.assert_cut_off(server)

    async def test_an_event_without_end_after_others_leaves_the_stream_incomplete(self):
        server = self.add(STREAM, b"id: 1\ndata: a\n\nid: 2\ndata: ", PIECE)
        status, _, body = await self.gateway.send_request("/once/")
        self.assertEqual((status, body), (200, None))
        await self.assert_cut_off(server)

    async def test_a_plain_answer_without_end_ends_the_attempt(self):
        server = self.add(HEAD + b"\r\n", b"", PIECE)
        status, _, body = await self.gateway.send_request("/book/")
        self.assertEqual(status, 502)
        self.assertIn(b"answer exceeds", body)
        await self.assert_cut_off(server)

    async def test_bytes_that_trickle_without_end_are_cut_off_at_the_deadline(self):
        trickles = (
            ("/book/", HEAD, b"", b"x"),
            ("/book/", HEAD + b"\r\n", b"", b"x"),
            ("/read/", HEAD + b"\r\n", b"", b"x"),
            ("/once/", STREAM, b"id: 1\ndata: ", b"x"),
        )
        for path, head, first, repeated in trickles:
            with self.subTest(path=path, head=head):
                server = self.add(head, first, repeated, TRICKLE_PAUSE_S)
                started_s = time.monotonic()
                status, _, _ = await self.gateway.send_request(path, deadline_ms=str(DEADLINE_MS))
                took_s = time.monotonic() - started_s
                self.assertIn(status, (502, 504))
                self.assertLess(took_s, DEADLINE_MS / 1_000 + DEADLINE_SLACK_S)
                await self.assert_cut_off(server)

    async def test_many_plain_answers_without_end_hold_a_bounded_sum(self):
        first = b"x" * (MAX_BUFFERED_BYTES - 200_000)
        server = self.add(HEAD + b"Content-Length: 999999999\r\n\r\n", first, b"")
        statuses = []
        highest = 0

        async def call(number: int) -> None:
            status, _, _ = await self.gateway.send_request("/book/", f"r{number}")
            statuses.append(status)

        async with anyio.create_task_group() as tasks:
            for number in range(CALLERS):
                tasks.start_soon(call, number)
            while len(statuses) < CALLERS:
                highest = max(highest, self.gateway.connections.buffered_bytes)
                await anyio.sleep(0.001)
        for _ in range(CALLERS):
            await self.assert_cut_off(server)
        self.assertLessEqual(highest, MAX_TOTAL_BUFFERED_BYTES)
        self.assertEqual(self.gateway.connections.buffered_bytes, 0)


if __name__ == "__main__":
    unittest.main()
