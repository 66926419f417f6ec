"""Tests of the stand-in service with callers that disconnect."""

from __future__ import annotations

import unittest

import anyio

from bronzerudder.standin.service import ServiceApp
from bronzerudder.web import bind_listener, format_address, serve_http

TIMEOUT_S = 5.0
CUT_REQUEST = b"POST /bookings HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n"
LIST_RUNS = b"GET /runs HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


class DisconnectTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_booking_that_is_cut_is_not_run(self):
        listener = bind_listener("127.0.0.1", 0)
        host, _, port = format_address(listener).rpartition(":")
        app = ObservedApp(ServiceApp("s", {}))
        stopping = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve_http, app, listener, stopping, 0.1)
            with anyio.fail_after(TIMEOUT_S):
                for body in (b"", b'{"la'):
                    async with await anyio.connect_tcp(host, int(port)) as stream:
                        await stream.send(CUT_REQUEST + body)
                        await app.started.wait()
                    await app.ended.wait()
                    app.reset()
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    await stream.send(LIST_RUNS)
                    answer = b"".join([chunk async for chunk in stream])
            stopping.set()
        self.assertIn(b'{"count":0,"runs":[]}', answer)


class ObservedApp:
    """Reports when a request of an application starts and ends."""

    def __init__(self, app):
        self._app = app
        self.reset()

    def reset(self):
        self.started = anyio.Event()
        self.ended = anyio.Event()

    async def __call__(self, scope, receive, send):
        self.started.set()
        try:
            await self._app(scope, receive, send)
        finally:
            self.ended.set()


if __name__ == "__main__":
    unittest.main()
