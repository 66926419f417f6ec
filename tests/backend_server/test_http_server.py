"""Tests of calls to a backend server whose answers are extra, short, broken or endless."""

from __future__ import annotations

import contextlib
import unittest

import anyio

from bronzerudder.backend_server import (
    BackendCall,
    BackendError,
    BackendErrorKind,
    HttpBackendServer,
)
from tests.backend_server.raw_server import CLOSE, ENDLESS, RESET, RawServer

TIMEOUT_S = 5.0
SILENCE_TIMEOUT_S = 2.0
CALL = BackendCall("r.1", "POST", "/x", (), b"body")
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"
INFORMATIONAL = b"HTTP/1.1 100 Continue\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def build_answer(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


@contextlib.asynccontextmanager
async def serve(*scripts):
    """Run a `RawServer` and a client of it."""
    server = RawServer(*scripts)
    async with server.serving():
        backend_server = HttpBackendServer(server.url, SILENCE_TIMEOUT_S)
        try:
            with anyio.fail_after(TIMEOUT_S):
                yield server, backend_server
        finally:
            await backend_server.close()


async def fetch(backend_server):
    """Return the body of an answer, and the error that ended it, if any."""
    answer = await backend_server.open(CALL)
    if isinstance(answer, BackendError):
        return b"", answer
    body = b""
    try:
        while isinstance(chunk := await answer.read(), bytes):
            body += chunk
    finally:
        await answer.close()
    return body, chunk


class HttpBackendServerTest(unittest.IsolatedAsyncioTestCase):
    async def check_broken(self, script, body):
        async with serve(script) as (_, backend_server):
            received, error = await fetch(backend_server)
        self.assertEqual(received, body)
        self.assertEqual(error.kind, BackendErrorKind.BROKEN)

    async def test_an_extra_answer_does_not_become_that_of_the_next_request(self):
        scripts = ([build_answer(b"one") + build_answer(b"extra")], [build_answer(b"two")])
        async with serve(*scripts) as (server, backend_server):
            first, second = await fetch(backend_server), await fetch(backend_server)
        self.assertEqual([first, second], [(b"one", None), (b"two", None)])
        self.assertEqual(server.connections, [1, 2])

    async def test_an_answer_shorter_than_its_length_is_broken(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
        await self.check_broken([head + b"abc", CLOSE], b"abc")

    async def test_an_answer_without_its_last_chunk_is_broken(self):
        await self.check_broken([CHUNKED + b"3\r\nabc\r\n", CLOSE], b"abc")

    async def test_an_unframed_answer_ends_with_its_connection_but_not_with_a_reset(self):
        async with serve([UNFRAMED + b"abc", CLOSE]) as (_, backend_server):
            self.assertEqual(await fetch(backend_server), (b"abc", None))
        await self.check_broken([UNFRAMED + b"abc", RESET], b"abc")

    async def test_two_lengths_are_no_answer(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\n"
        await self.check_broken([head + b"abcde", CLOSE], b"")

    async def test_a_status_that_is_none_is_no_answer(self):
        for status in (b"000", b"099", b"2000", b"600", b"999"):
            with self.subTest(status=status):
                head = b"HTTP/1.1 " + status + b" Odd\r\nContent-Length: 3\r\n\r\n"
                await self.check_broken([head + b"abc", CLOSE], b"")

    async def test_a_probe_does_not_read_a_body_without_end(self):
        async with serve([UNFRAMED, ENDLESS, b"x" * 1_000]) as (server, backend_server):
            self.assertIsNone(await backend_server.probe())
            await server.wait_closed(1)

    async def test_a_probe_ends_while_heads_that_are_no_answer_keep_coming(self):
        async with serve([ENDLESS, INFORMATIONAL]) as (server, backend_server):
            error = await backend_server.probe()
            self.assertEqual(error.kind, BackendErrorKind.UNRESPONSIVE)
            await server.wait_closed(1)

    async def test_a_cancellation_does_not_wait_for_an_answer_without_end(self):
        for script in ([UNFRAMED, ENDLESS, b"x" * 1_000], [ENDLESS, INFORMATIONAL]):
            async with serve(script) as (server, backend_server):
                await backend_server.cancel("r")
                await server.wait_closed(1)


if __name__ == "__main__":
    unittest.main()
