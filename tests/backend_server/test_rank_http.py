"""Tests of orders to a rank's engine whose answers are extra, undecodable or endless."""

from __future__ import annotations

import contextlib
import unittest

import anyio
import msgspec

from bronzerudder.backend_server.rank_api import RankStatus
from bronzerudder.backend_server.rank_errors import RankEngineErrorKind
from bronzerudder.backend_server.rank_http import HttpRankEngine
from tests.backend_server.raw_server import CLOSE, ENDLESS, RawServer

TIMEOUT_S = 5.0
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"


def build_answer(body, status=b"200 OK"):
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


def build_status(active):
    return build_answer(msgspec.json.encode(RankStatus(active=active)._asdict()))


@contextlib.asynccontextmanager
async def serve(*scripts):
    """Run a `RawServer` and the client of a rank's engine."""
    server = RawServer(*scripts)
    async with server.serving():
        engine = HttpRankEngine(server.url)
        try:
            with anyio.fail_after(TIMEOUT_S):
                yield server, engine
        finally:
            await engine.close()


class HttpRankEngineTest(unittest.IsolatedAsyncioTestCase):
    async def check_outcome_unknown(self, *script):
        async with serve(script) as (server, engine):
            error = await engine.activate(1, 1)
            self.assertEqual(error.kind, RankEngineErrorKind.UNREACHABLE)
            await server.wait_closed(1)

    async def test_an_order_whose_answer_can_not_be_decoded_may_have_taken_effect(self):
        for body in (b"", b"{", b'{"next_step": 1}', b"\xff", b'{"x":' + b"[" * 100_000):
            with self.subTest(body[:20]):
                await self.check_outcome_unknown(build_answer(body), CLOSE)

    async def test_an_order_refused_without_a_reason_may_have_taken_effect(self):
        for body in (b"", b'{"kind": "unheard-of", "reason": ""}'):
            with self.subTest(body):
                answer = build_answer(body, b"500 Internal Server Error")
                await self.check_outcome_unknown(answer, CLOSE)

    async def test_an_order_ends_while_its_answer_keeps_coming(self):
        await self.check_outcome_unknown(UNFRAMED, ENDLESS, b" " * 10)
        await self.check_outcome_unknown(ENDLESS, b"HTTP/1.1 100 Continue\r\n\r\n")

    async def test_an_extra_answer_does_not_become_that_of_the_next_order(self):
        scripts = ([build_status(1) + build_status(9)], [build_status(2)])
        async with serve(*scripts) as (_, engine):
            versions = [(await engine.read(1)).active for _ in range(2)]
        self.assertEqual(versions, [1, 2])

    async def test_orders_leave_no_connection_open_after_one_of_them_times_out(self):
        async with serve([], [build_status(1)]) as (server, engine):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(engine.read, 1)
                tasks.start_soon(engine.read, 1)
            await server.wait_closed(2)


if __name__ == "__main__":
    unittest.main()
