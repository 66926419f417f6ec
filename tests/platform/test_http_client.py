"""Tests of calls to a platform whose answers are extra, undecodable or endless."""

from __future__ import annotations

import contextlib
import unittest

import anyio

from bronzerudder.platform import StoreErrorKind
from bronzerudder.platform.http_client import PlatformClient
from bronzerudder.platform.http_store import HttpObjectStore
from tests.backend_server.raw_server import RawServer

TIMEOUT_S = 5.0


def build_answer(body, status=b"200 OK", fields=b""):
    head = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n" % (status, len(body), fields)
    return head + body


@contextlib.asynccontextmanager
async def serve(*scripts):
    """Run a `RawServer` and a store that calls it."""
    server = RawServer(*scripts)
    async with server.serving():
        client = PlatformClient(server.url.removeprefix("http://"), "test")
        try:
            with anyio.fail_after(TIMEOUT_S):
                yield server, HttpObjectStore(client)
        finally:
            await client.close()


class PlatformClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_extra_answer_does_not_make_the_next_write_succeed(self):
        extra = build_answer(b'{"version": 1}') + build_answer(b'{"version": 9}')
        conflict = build_answer(b'{"kind": "conflict", "reason": ""}', b"409 Conflict")
        async with serve([extra], [conflict]) as (_, store):
            self.assertEqual(await store.put("claims", "a", b"", 0), 1)
            result = await store.put("claims", "b", b"", 0)
        self.assertEqual(getattr(result, "kind", result), StoreErrorKind.CONFLICT)

    async def check_lost(self, *script):
        """Check that a write is unknown, and that a read is unavailable, after an answer."""
        async with serve(script, script) as (server, store):
            written = await store.put("claims", "a", b"", 0)
            read = await store.get("claims", "a")
            await server.wait_closed(2)
        self.assertEqual(getattr(written, "kind", written), StoreErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(getattr(read, "kind", read), StoreErrorKind.UNAVAILABLE)
        return written

    async def test_a_write_whose_answer_can_not_be_decoded_may_have_taken_effect(self):
        answers = (
            build_answer(b""),
            build_answer(b'{"version": '),
            build_answer(b'{"x": ' + b"[" * 100_000),
            build_answer(b"no gzip", fields=b"Content-Encoding: gzip\r\n"),
            build_answer(b'{"version": 1}', b"202 Accepted"),
            build_answer(b"", b"302 Found"),
            build_answer(b"{" * 100_000, b"500 Internal Server Error"),
        )
        for answer in answers:
            with self.subTest(answer[:60]):
                await self.check_lost(answer)


if __name__ == "__main__":
    unittest.main()
