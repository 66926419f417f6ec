"""Tests that the ASGI server stops cleanly: when cancelled, and when asked to drain."""

from __future__ import annotations

import unittest

import anyio
import httpx

from bronzerudder.web import bind_listener, format_address, send_text, serve_http

TIMEOUT_S = 5.0


async def answer(scope, receive, send):
    await send_text(send, 200, "ok")


class ServeHttpTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_cancellation_with_open_connections_ends_it_without_an_error(self):
        listener = bind_listener("127.0.0.1", 0)
        address = f"http://{format_address(listener)}/"
        with anyio.fail_after(TIMEOUT_S):
            async with httpx.AsyncClient() as client, anyio.create_task_group() as tasks:
                tasks.start_soon(serve_http, answer, listener, anyio.Event())
                await client.get(address)
                tasks.cancel_scope.cancel()

    async def test_requests_in_flight_finish_after_it_was_told_to_stop(self):
        listener = bind_listener("127.0.0.1", 0)
        address = f"http://{format_address(listener)}/"
        stopping, entered = anyio.Event(), anyio.Event()

        async def answer_late(scope, receive, send):
            entered.set()
            await stopping.wait()
            await anyio.sleep(0.05)
            await answer(scope, receive, send)

        texts = []

        async def call(client):
            texts.append((await client.get(address)).text)

        with anyio.fail_after(TIMEOUT_S):
            async with httpx.AsyncClient() as client, anyio.create_task_group() as tasks:
                tasks.start_soon(serve_http, answer_late, listener, stopping)
                tasks.start_soon(call, client)
                await entered.wait()
                stopping.set()
        self.assertEqual(texts, ["ok"])


if __name__ == "__main__":
    unittest.main()
