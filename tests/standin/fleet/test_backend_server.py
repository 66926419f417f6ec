"""Tests of the stand-in for a backend server."""

from __future__ import annotations

import asyncio
import unittest

import anyio

from bronzerudder.http1 import (
    ClientPool,
    HttpError,
    HttpErrorKind,
    TransportError,
    connect,
    listen,
)
from bronzerudder.platform import wire
from bronzerudder.standin.fleet import CrashPlan, StandinBackendServer

TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.01
DOWN_S = 0.3
BAD_PART = "5c1e07a2"
PLAN = CrashPlan(frozenset({BAD_PART}), delay_s=0.0, down_s=DOWN_S)
CRASHING = f"0a:800,{BAD_PART}:410,e4402b7d:250"


class CrashTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = StandinBackendServer("i-0")
        self.server.crash_plan = PLAN
        listener = listen("127.0.0.1:0")
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        serving = asyncio.create_task(self.server.server.serve(listener))
        self.addAsyncCleanup(asyncio.gather, serving, return_exceptions=True)
        self.addCleanup(serving.cancel)

    async def send(self, path="/read/", parts=CRASHING):
        """Send a request; return the exchange that awaits its answer, or the error."""
        exchange = await ClientPool().open(self.address)
        if isinstance(exchange, HttpError):
            return exchange
        headers = [
            (b"host", b"h"),
            (wire.REQUEST_ID, b"r"),
            (wire.EXPECTED_INSTANCE, self.server.instance_id.encode()),
            (wire.PROMPT_PARTS, parts.encode()),
        ]
        return await exchange.send(b"GET", path.encode(), headers, b"") or exchange

    async def call(self, path="/read/", parts=CRASHING):
        """Send a request; return its status, or the error."""
        exchange = await self.send(path, parts)
        if isinstance(exchange, HttpError):
            return exchange
        with anyio.fail_after(TIMEOUT_S):
            head = await exchange.read_head()
        exchange.discard()
        return head if isinstance(head, HttpError) else head.status

    async def call_until_back(self):
        with anyio.fail_after(TIMEOUT_S):
            while (status := await self.call(parts="e4402b7d:250")) != 200:
                self.assertEqual(status.kind, HttpErrorKind.NOT_SENT)
                await anyio.sleep(POLL_INTERVAL_S)

    async def test_a_crash_resets_all_connections_and_refuses_new_ones_until_it_is_back(self):
        self.server.event_gap_s = TIMEOUT_S
        idle = await connect(self.address, TIMEOUT_S)
        streaming = await self.send("/stream/", parts="0a:800")
        with anyio.fail_after(TIMEOUT_S):
            await streaming.read_head()
        self.assertEqual((await self.call()).reason, "ECONNRESET")
        with anyio.fail_after(TIMEOUT_S):
            self.assertEqual((await streaming.read_body()).reason, "ECONNRESET")
            self.assertEqual(await idle.receive(), TransportError("ECONNRESET"))
        idle.close()
        self.assertEqual((await self.call()).kind, HttpErrorKind.NOT_SENT)
        await self.call_until_back()
        self.assertEqual(len(self.server.crash_at_s), 1)

    async def test_the_last_part_of_a_prompt_and_other_parts_crash_nothing(self):
        for parts in (f"0a:800,{BAD_PART}:410", BAD_PART, "0a:800,0b:1,0c:2", ""):
            self.assertEqual(await self.call(parts=parts), 200, parts)
        self.assertEqual((self.server.crash_at_s, self.server.crashing_arrivals), ([], []))

    async def test_a_stream_crashes_before_or_after_its_first_event(self):
        for after, expected in ((False, b""), (True, b"id: 1\ndata: 1\n\n")):
            self.server.crash_plan = PLAN._replace(after_first_event=after)
            exchange = await self.send("/stream/")
            received = b""
            with anyio.fail_after(TIMEOUT_S):
                self.assertEqual((await exchange.read_head()).status, 200)
                while isinstance(chunk := await exchange.read_body(), bytes):
                    received += chunk
            self.assertIsInstance(chunk, HttpError)
            self.assertEqual(received, expected)
            await self.call_until_back()

    async def test_requests_that_reach_it_are_recorded_each_time(self):
        for _ in range(2):
            await self.call()
            await self.call_until_back()
        arrivals = self.server.crashing_arrivals
        self.assertEqual([item.request.header(wire.REQUEST_ID) for item in arrivals], [b"r"] * 2)
        self.assertLess(arrivals[0].at_s, self.server.crash_at_s[0])
        self.assertEqual(len(self.server.crash_at_s), 2)

    async def test_it_can_come_back_as_another_instance(self):
        self.server.crash_plan = PLAN._replace(new_instance=True)
        replaced = []
        self.server.on_new_instance = replaced.append
        await self.call()
        self.assertEqual((replaced, self.server.instance_id), (["i-0"], "i-0-1"))
        await self.call_until_back()


if __name__ == "__main__":
    unittest.main()
