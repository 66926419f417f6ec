"""Tests that the ASGI server bounds connections and bytes, and that its refusals can be read."""

from __future__ import annotations

import asyncio
import unittest

import anyio
import httpx

from bronzerudder.http1 import Connection, connect
from bronzerudder.intake import Intake, IntakeLimits
from bronzerudder.intake.accounts import SMALL_BYTES, STALLED_S
from bronzerudder.web import bind_listener, format_address, read_body, send_text, serve_http

TIMEOUT_S = 5.0
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
LIMITS = IntakeLimits(connections=8, held_bytes=8 * SMALL_BYTES, answer_bytes=0, peer_connections=0)


async def echo_length(scope, receive, send):
    body = await read_body(receive, 100 * SMALL_BYTES)
    await send_text(send, 200, f"{len(body)}")


async def answer_unread(scope, receive, send):
    await send_text(send, 200, "unread")


async def read_until_closed(connection: Connection) -> bytes:
    received = b""
    with anyio.fail_after(TIMEOUT_S):
        while True:
            data = await connection.receive()
            if not isinstance(data, bytes) or not data:
                return received
            received += data


class BoundedServerTest(unittest.IsolatedAsyncioTestCase):
    def serve(self, app, limits=LIMITS):
        listener = bind_listener("127.0.0.1", 0)
        self.address = format_address(listener)
        self.reports = []
        self.intake = Intake(limits, lambda *report: self.reports.append(report))
        stopping = anyio.Event()
        serving = asyncio.create_task(serve_http(app, listener, stopping, 0.1, self.intake))
        self.addAsyncCleanup(asyncio.wait_for, serving, TIMEOUT_S)
        self.addCleanup(stopping.set)

    async def open(self) -> Connection:
        connection = await connect(self.address, TIMEOUT_S)
        self.assertIsInstance(connection, Connection)
        self.addAsyncCleanup(self.close, connection)
        return connection

    async def close(self, connection: Connection) -> None:
        connection.close()

    async def wait_until_closed(self):
        with anyio.fail_after(TIMEOUT_S):
            while self.intake.connections:
                await anyio.sleep(0.01)

    async def test_a_stalled_body_is_refused_for_another_one_and_says_when_to_retry(self):
        self.serve(echo_length)
        size = 5 * SMALL_BYTES
        stalled = await self.open()
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size
        await stalled.send(head + b"x" * (size - 1))
        await anyio.sleep(STALLED_S + 0.2)
        async with httpx.AsyncClient() as client:
            answer = await client.post(f"http://{self.address}/a", content=b"x" * size)
        self.assertEqual((answer.status_code, answer.text), (200, str(size)))
        refusal = await read_until_closed(stalled)
        self.assertTrue(refusal.startswith(b"HTTP/1.1 503"), refusal)
        self.assertIn(b"retry-after: 1\r\n", refusal.lower())
        self.assertEqual([status for status, _ in self.reports], [503])

    async def test_an_answer_to_a_request_that_is_not_read_is_not_lost(self):
        self.serve(answer_unread)
        for size in (0, 1, 20 * SMALL_BYTES):
            async with httpx.AsyncClient() as client:
                answer = await client.post(f"http://{self.address}/a", content=b"x" * size)
            self.assertEqual(answer.text, "unread")
        await self.wait_until_closed()
        self.assertEqual(self.intake.held_bytes, 0)

    async def test_connections_that_were_closed_do_not_stay_until_the_idle_timeout(self):
        self.serve(answer_unread)
        for data in (b"", GET[:9], GET, GET + GET):
            connection = await self.open()
            await connection.send(data)
            await anyio.sleep(0.02)
            connection.close()
        await self.wait_until_closed()

    async def test_a_new_connection_takes_the_place_of_the_one_that_waited_longest(self):
        self.serve(answer_unread, LIMITS._replace(connections=2))
        first = await self.open()
        await anyio.sleep(0.05)
        second = await self.open()
        await anyio.sleep(0.05)
        third = await self.open()
        await third.send(GET)
        self.assertEqual(await read_until_closed(first), b"")
        await second.send(GET)
        with anyio.fail_after(TIMEOUT_S):
            self.assertIn(b"200", await second.receive())
            self.assertIn(b"200", await third.receive())
        self.assertEqual([status for status, _ in self.reports], [0])

    async def test_a_request_that_is_served_keeps_its_connection(self):
        release = anyio.Event()

        async def wait(scope, receive, send):
            await release.wait()
            await send_text(send, 200, "late")

        self.serve(wait, LIMITS._replace(connections=1))
        first = await self.open()
        await first.send(GET)
        await anyio.sleep(0.05)
        self.assertEqual(await read_until_closed(await self.open()), b"")
        release.set()
        with anyio.fail_after(TIMEOUT_S):
            self.assertIn(b"200", await first.receive())

    async def check_early_answer(self, size: int) -> None:
        """Answer a request early, and check that another one of its connection is served."""
        release = anyio.Event()

        async def answer(scope, receive, send):
            if scope["path"] == "/unread":
                await answer_unread(scope, receive, send)
                return
            await read_body(receive, SMALL_BYTES)
            await release.wait()
            await send_text(send, 200, "late")

        self.serve(answer, LIMITS._replace(connections=1))
        url = f"http://{self.address}"
        async with httpx.AsyncClient(http1=False, http2=True, timeout=TIMEOUT_S) as client:
            served = asyncio.create_task(client.get(f"{url}/wait"))
            await anyio.sleep(0.1)
            unread = await client.post(f"{url}/unread", content=b"x" * size)
            self.assertEqual(unread.text, "unread")
            self.assertEqual(await read_until_closed(await self.open()), b"")
            release.set()
            self.assertEqual((await served).text, "late")

    async def test_an_early_answer_does_not_end_other_requests_of_an_http_2_connection(self):
        await self.check_early_answer(SMALL_BYTES // 2)

    async def test_bytes_that_follow_an_early_answer_do_not_end_an_http_2_connection(self):
        await self.check_early_answer(SMALL_BYTES)
