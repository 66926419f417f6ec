"""Tests of the HTTP/1.1 client and its connection pool against a server with scripted answers."""

from __future__ import annotations

import time
import tracemalloc
import unittest
from unittest import mock

import anyio

from bronzerudder.http1 import (
    ClientPool,
    Connection,
    HttpError,
    HttpErrorKind,
    HttpServer,
    ServerLimits,
    contains_response_head,
    listen,
)
from bronzerudder.http1.client import MAX_JOINED_BYTES
from bronzerudder.http1.sockets import accept

TIMEOUT_S = 5.0
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok"
CHUNKS_AT_MOST = 2_000
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HOST = [(b"host", b"h")]


def make_answer(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


class Peer:
    """A server that answers each read with the next scripted bytes; an async context manager."""

    def __init__(self, *answers: bytes, close: bool = False):
        self._answers = list(answers)
        self._close = close
        self.accepted = 0

    async def __aenter__(self):
        self._listener = listen("127.0.0.1:0")
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()
        self._tasks.start_soon(self._serve)
        return self

    async def __aexit__(self, *error):
        self._tasks.cancel_scope.cancel()
        await self._tasks.__aexit__(*error)
        self._listener.close()

    async def _serve(self):
        while True:
            connection = await accept(self._listener)
            self.accepted += 1
            self._tasks.start_soon(self._answer, connection)

    async def _answer(self, connection: Connection):
        while True:
            data = await connection.receive()
            if not isinstance(data, bytes) or not data:
                return
            if self._answers:
                await connection.send(self._answers.pop(0))
            if self._close:
                connection.close()
                return


class EndlessPeer(Peer):
    """A server that answers each read with a prefix and then the same bytes until it is cut off."""

    def __init__(self, prefix: bytes, repeated: bytes, pause_s: float = 0.0):
        super().__init__()
        self._prefix = prefix
        self._repeated = repeated
        self._pause_s = pause_s
        self.cut_off = anyio.Event()

    async def _answer(self, connection: Connection):
        await connection.receive()
        failed = await connection.send(self._prefix)
        while failed is None:
            await anyio.sleep(self._pause_s)
            failed = await connection.send(self._repeated)
        self.cut_off.set()


class ResponseHeadTest(unittest.TestCase):
    def test_the_search_of_repeated_status_lines_does_not_hold_the_event_loop(self):
        body = b"HTTP/1.1 200 " * 5_000
        began_at_s = time.process_time()
        self.assertFalse(contains_response_head(body))
        self.assertLess(time.process_time() - began_at_s, 1.0)


class ClientPoolTest(unittest.IsolatedAsyncioTestCase):
    async def call(self, pool, address):
        with anyio.fail_after(TIMEOUT_S):
            return await pool.call(address, b"GET", b"/", HOST)

    async def test_a_connection_is_used_again(self):
        async with Peer(OK, OK) as peer:
            pool = ClientPool()
            for _ in range(2):
                self.assertEqual(await self.call(pool, peer.address), (200, b"ok"))
            self.assertEqual(peer.accepted, 1)

    async def test_idle_connections_beyond_the_limit_of_all_addresses_are_closed(self):
        async with Peer(OK, OK) as peer, Peer(OK, OK, OK, OK) as other:
            pool = ClientPool(max_idle=1)
            for address in (peer.address, other.address, other.address, peer.address):
                self.assertEqual(await self.call(pool, address), (200, b"ok"))
            self.assertEqual((peer.accepted, other.accepted), (1, 2))
            pool.close_idle(peer.address)
            self.assertEqual(await self.call(pool, other.address), (200, b"ok"))
            await self.call(pool, other.address)
            self.assertEqual(other.accepted, 3)

    async def test_a_large_body_is_sent_whole_and_not_joined_with_its_head(self):
        async def echo(request, writer):
            await writer.respond(200, [], request.body)

        body = bytes(range(256)) * 4 * (MAX_JOINED_BYTES // 256)
        listener = listen("127.0.0.1:0")
        self.addCleanup(listener.close)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(HttpServer(echo, ServerLimits).serve, listener)
            sent = []
            send = Connection.send

            async def record(connection, data):
                sent.append(len(data))
                return await send(connection, data)

            with mock.patch.object(Connection, "send", record), anyio.fail_after(TIMEOUT_S):
                answer = await ClientPool().call(address, b"POST", b"/", HOST, body)
            tasks.cancel_scope.cancel()
        self.assertEqual(answer, (200, body))
        self.assertIn(len(body), sent)

    async def test_a_connection_is_not_used_close_to_its_announced_end(self):
        answer = OK.replace(b"timeout=5", b"timeout=1")
        async with Peer(answer, answer) as peer:
            pool = ClientPool()
            await self.call(pool, peer.address)
            await self.call(pool, peer.address)
            self.assertEqual(peer.accepted, 2)

    async def test_a_connection_that_the_peer_closed_is_not_used(self):
        async with Peer(OK, OK, close=True) as peer:
            pool = ClientPool()
            for _ in range(2):
                self.assertEqual(await self.call(pool, peer.address), (200, b"ok"))
                await anyio.sleep(0.05)
            self.assertEqual(peer.accepted, 2)

    async def test_bytes_beyond_an_answer_end_its_connection(self):
        async with Peer(OK + b"HTTP/1.1 200 OK\r\n\r\n", OK) as peer:
            pool = ClientPool()
            await self.call(pool, peer.address)
            self.assertEqual(await self.call(pool, peer.address), (200, b"ok"))
            self.assertEqual(peer.accepted, 2)

    async def test_a_refused_connection_proves_that_nothing_was_sent(self):
        async with Peer() as peer:
            address = peer.address
        answer = await self.call(ClientPool(), address)
        self.assertIsInstance(answer, HttpError)
        self.assertIs(answer.kind, HttpErrorKind.NOT_SENT)

    async def test_a_close_after_the_request_proves_nothing(self):
        async with Peer(close=True) as peer:
            answer = await self.call(ClientPool(), peer.address)
        self.assertIs(answer.kind, HttpErrorKind.BROKEN)

    async def test_a_close_inside_the_answer_is_an_error(self):
        async with Peer(OK[:-1], close=True) as peer:
            answer = await self.call(ClientPool(), peer.address)
        self.assertIsInstance(answer, HttpError)

    async def test_an_answer_without_a_length_ends_with_its_connection(self):
        async with Peer(b"HTTP/1.1 200 OK\r\n\r\nall", close=True) as peer:
            self.assertEqual(await self.call(ClientPool(), peer.address), (200, b"all"))

    async def test_bytes_that_are_no_answer_are_an_error(self):
        async with Peer(b"\xff\xfe\r\n\r\n") as peer:
            answer = await self.call(ClientPool(), peer.address)
        self.assertIs(answer.kind, HttpErrorKind.MALFORMED)

    async def test_a_late_answer_can_be_read_past(self):
        stale = OK.replace(b"ok", b"no")
        async with Peer(stale + OK) as peer:
            exchange = await ClientPool().open(peer.address)
            await exchange.send(b"POST", b"/", HOST, b"body")
            await exchange.read_head()
            with anyio.fail_after(TIMEOUT_S):
                self.assertIsNone(await exchange.skip_stale_answer())
                await exchange.read_head()
                self.assertEqual(await exchange.read_rest(), b"ok")
            exchange.release()

    async def test_informational_heads_without_end_are_malformed(self):
        async with EndlessPeer(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n") as peer:
            answer = await self.call(ClientPool(), peer.address)
            self.assertIs(answer.kind, HttpErrorKind.MALFORMED)
            with anyio.fail_after(TIMEOUT_S):
                await peer.cut_off.wait()

    async def test_some_informational_heads_come_before_an_answer(self):
        async with Peer(b"HTTP/1.1 100 Continue\r\n\r\n" * 3 + OK) as peer:
            self.assertEqual(await self.call(ClientPool(), peer.address), (200, b"ok"))

    async def test_an_answer_without_end_is_malformed(self):
        endless = (
            (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65_536),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", b"x" * 65_536),
            (CHUNKED, b"5\r\nhello\r\n" * 5_000),
            (CHUNKED, b"1;" + b"e" * 60_000 + b"\r\nx\r\n"),
            (CHUNKED + b"0\r\n", b"trailer: x\r\n" * 5_000),
            (b"HTTP/1.1 200 OK\r\n", b"header: x\r\n" * 5_000),
            (b"", b"x" * 65_536),
        )
        for prefix, repeated in endless:
            with self.subTest(prefix=prefix, repeated=repeated[:10]):
                async with EndlessPeer(prefix, repeated) as peer:
                    answer = await self.call(ClientPool(), peer.address)
                    self.assertIs(answer.kind, HttpErrorKind.MALFORMED)
                    with anyio.fail_after(TIMEOUT_S):
                        await peer.cut_off.wait()

    async def test_small_chunks_do_not_hold_the_event_loop(self):
        async with EndlessPeer(CHUNKED, b"1\r\nx\r\n" * 10_000) as peer:
            exchange = await ClientPool().open(peer.address)
            await exchange.send(b"GET", b"/", HOST, b"")
            await exchange.read_head()
            with anyio.move_on_after(0.0) as scope:
                for _ in range(CHUNKS_AT_MOST):
                    await exchange.read_body()
            self.assertTrue(scope.cancelled_caught, f"{CHUNKS_AT_MOST} chunks without giving way")
            exchange.discard()

    async def test_an_answer_of_very_many_chunks_is_malformed(self):
        async with EndlessPeer(CHUNKED, b"1\r\nx\r\n" * 10_000) as peer:
            answer = await self.call(ClientPool(), peer.address)
            self.assertIs(answer.kind, HttpErrorKind.MALFORMED)
            self.assertIn("chunks", answer.reason)

    async def test_a_stale_answer_without_end_is_malformed(self):
        async with EndlessPeer(CHUNKED, b"5\r\nhello\r\n" * 5_000) as peer:
            exchange = await ClientPool().open(peer.address)
            await exchange.send(b"GET", b"/", HOST, b"")
            with anyio.fail_after(TIMEOUT_S):
                await exchange.read_head()
                skipped = await exchange.skip_stale_answer()
                self.assertIs(skipped.kind, HttpErrorKind.MALFORMED)
                await peer.cut_off.wait()

    async def test_a_stale_answer_is_not_kept_in_memory(self):
        late = make_answer(b"x" * 1_000_000)
        async with Peer(late + OK) as peer:
            exchange = await ClientPool().open(peer.address)
            with anyio.fail_after(TIMEOUT_S):
                await exchange.send(b"GET", b"/", HOST, b"")
                await exchange.read_head()
                tracemalloc.start()
                self.addCleanup(tracemalloc.stop)
                before, _ = tracemalloc.get_traced_memory()
                self.assertIsNone(await exchange.skip_stale_answer())
                _, peak = tracemalloc.get_traced_memory()
            exchange.discard()
        self.assertLess(peak - before, 500_000)

    async def test_a_cancelled_call_leaves_no_connection_for_its_late_answer(self):
        async with Peer(OK[:-1], OK) as peer:
            pool = ClientPool()
            with anyio.move_on_after(0.1):
                await pool.call(peer.address, b"GET", b"/", HOST)
            self.assertEqual(await self.call(pool, peer.address), (200, b"ok"))
            self.assertEqual(peer.accepted, 2)

    async def test_a_connection_is_not_kept_after_a_head_request(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 38\r\n\r\n"
        async with Peer(head, OK) as peer:
            pool = ClientPool()
            with anyio.fail_after(TIMEOUT_S):
                self.assertEqual(await pool.call(peer.address, b"HEAD", b"/", HOST), (200, b""))
            self.assertEqual(await self.call(pool, peer.address), (200, b"ok"))
            self.assertEqual(peer.accepted, 2)

    async def test_a_late_answer_is_not_skipped_for_a_head_request(self):
        async with Peer(OK + OK[:-2]) as peer:
            exchange = await ClientPool().open(peer.address)
            with anyio.fail_after(TIMEOUT_S):
                await exchange.send(b"HEAD", b"/", HOST, b"")
                await exchange.read_head()
                skipped = await exchange.skip_stale_answer()
            self.assertIs(skipped.kind, HttpErrorKind.BROKEN)

    async def test_a_keep_alive_time_that_is_too_long_loses_the_answer(self):
        for digits in (20, 400, 5000):
            answer = OK.replace(b"timeout=5", b"timeout=" + b"9" * digits)
            async with Peer(answer) as peer:
                result = await ClientPool().call(peer.address, b"GET", b"/", [(b"host", b"h")])
                self.assertEqual(result, (200, b"ok"), digits)

    async def test_a_connection_is_not_kept_after_answers_that_end_it(self):
        ends = (
            b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
            OK.replace(b"Keep-Alive: timeout=5", b"Connection: close"),
            OK + b"\r\n",
            OK + b"HTTP/1.1 100 Continue\r\n\r\n",
            OK + b"x",
            OK.replace(b"timeout=5", b"timeout=0"),
        )
        for end in ends:
            with self.subTest(end=end):
                async with Peer(end, OK) as peer:
                    pool = ClientPool()
                    for _ in range(2):
                        self.assertEqual(await self.call(pool, peer.address), (200, b"ok"))
                    self.assertEqual(peer.accepted, 2)

    async def test_an_upgrade_that_was_not_requested_is_malformed(self):
        async with Peer(b"HTTP/1.1 101 Switching Protocols\r\n\r\n" + OK) as peer:
            answer = await self.call(ClientPool(), peer.address)
        self.assertIs(answer.kind, HttpErrorKind.MALFORMED)

    async def test_a_status_that_is_none_is_malformed(self):
        statuses = (b"000", b"0", b"099", b"20", b"-20", b"2000", b"600", b"999")
        for status in statuses:
            for version in (b"1.1", b"1.0"):
                with self.subTest(status=status, version=version):
                    head = b"HTTP/" + version + b" " + status + b" Odd\r\n"
                    async with Peer(head + b"Content-Length: 2\r\n\r\nok") as peer:
                        error = await self.call(ClientPool(), peer.address)
                    self.assertIsInstance(error, HttpError)
                    self.assertEqual(error.kind, HttpErrorKind.MALFORMED)

    async def test_a_late_answer_without_a_body_is_skipped(self):
        for status in (b"204 No Content", b"304 Not Modified"):
            late = b"HTTP/1.1 " + status + b"\r\nContent-Length: 5\r\n\r\n"
            with self.subTest(status=status):
                async with Peer(late + OK) as peer:
                    exchange = await ClientPool().open(peer.address)
                    with anyio.fail_after(TIMEOUT_S):
                        await exchange.send(b"POST", b"/", HOST, b"body")
                        await exchange.read_head()
                        self.assertIsNone(await exchange.skip_stale_answer())
                        await exchange.read_head()
                        self.assertEqual(await exchange.read_rest(), b"ok")
                    exchange.discard()

    async def test_idle_connections_that_the_peer_closed_are_swept(self):
        async with Peer(OK, close=True) as peer:
            pool = ClientPool()
            await self.call(pool, peer.address)
            await anyio.sleep(0.05)
            pool.sweep()
            self.assertEqual(pool._idle[peer.address], [])


if __name__ == "__main__":
    unittest.main()
