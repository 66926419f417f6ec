"""Tests of the HTTP/1.1 server: bad requests, incomplete answers and draining."""

from __future__ import annotations

import unittest

import anyio
import h11

from bronzerudder.http1 import (
    Connection,
    HttpServer,
    ResponseWriter,
    ServerLimits,
    TransportError,
    connect,
    listen,
)
from bronzerudder.http1.server import MAX_READ_AHEAD_BYTES
from bronzerudder.intake import HTTP1_PROCESS_SIZE, Intake, IntakeLimits, find_limits
from bronzerudder.intake.accounts import SMALL_BYTES, STALLED_S

TIMEOUT_S = 5.0
LIMITS = ServerLimits(
    header_bytes=2_048, body_bytes=1_000, header_timeout_s=0.2, idle_timeout_s=0.4
)
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


async def echo(request, writer):
    await writer.respond(200, [], request.target + b" " + request.body)


class Unfinished:
    """Begins an answer and does not finish it."""

    async def __call__(self, request, writer):
        await writer.start(200, [])
        await writer.write(b"begin")
        await anyio.sleep_forever()


class Served:
    """A server on a free port, and the requests that it rejected; an async context manager."""

    def __init__(self, handler=echo, limits=LIMITS, intake=None):
        self.rejected = []
        on_rejected = lambda status, reason: self.rejected.append((status, reason))  # noqa: E731
        self.server = HttpServer(handler, lambda: limits, on_rejected, intake)

    async def __aenter__(self):
        self._listener = listen("127.0.0.1:0")
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()
        self._tasks.start_soon(self.server.serve, self._listener)
        return self

    async def __aexit__(self, *error):
        self._tasks.cancel_scope.cancel()
        await self._tasks.__aexit__(*error)
        self._listener.close()

    async def open(self) -> Connection:
        connection = await connect(self.address, TIMEOUT_S)
        assert isinstance(connection, Connection), connection
        return connection


async def read_until_closed(connection: Connection) -> bytes:
    received = b""
    with anyio.fail_after(TIMEOUT_S):
        while True:
            data = await connection.receive()
            if not isinstance(data, bytes) or not data:
                return received
            received += data


async def read_answer(connection: Connection, ending: bytes) -> bytes:
    received = b""
    with anyio.fail_after(TIMEOUT_S):
        while not received.endswith(ending):
            data = await connection.receive()
            if not isinstance(data, bytes) or not data:
                return received
            received += data
    return received


class RequestTest(unittest.IsolatedAsyncioTestCase):
    async def exchange(self, data: bytes, handler=echo) -> tuple[bytes, list]:
        async with Served(handler) as served:
            connection = await served.open()
            await connection.send(data)
            answer = await read_until_closed(connection)
            return answer, served.rejected

    async def test_a_disconnect_after_many_pipelined_bytes_cancels_the_request(self):
        async def wait(request, writer):
            started.set()
            try:
                await anyio.sleep_forever()
            finally:
                cancelled.set()

        for size in (0, MAX_READ_AHEAD_BYTES, 3 * MAX_READ_AHEAD_BYTES):
            for disconnect in (Connection.close, Connection.reset):
                started, cancelled = anyio.Event(), anyio.Event()
                with self.subTest(size=size, disconnect=disconnect):
                    async with Served(wait) as served:
                        connection = await served.open()
                        await connection.send(GET)
                        with anyio.fail_after(TIMEOUT_S):
                            await started.wait()
                            await connection.send(b"x" * size)
                            disconnect(connection)
                            await cancelled.wait()

    async def test_a_body_of_small_chunks_does_not_suspend_time_limits(self):
        limits = ServerLimits(header_timeout_s=0.0)
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        async with Served(limits=limits) as served:
            connection = await served.open()
            await connection.send(head + b"1\r\nx\r\n" * 2_000 + b"0\r\n\r\n")
            answer = await read_answer(connection, b"time\n")
            self.assertTrue(answer.startswith(b"HTTP/1.1 408"), answer[:40])
            connection.close()

    async def test_requests_follow_each_other_on_a_connection(self):
        async with Served() as served:
            connection = await served.open()
            for path in (b"/a", b"/b"):
                await connection.send(GET.replace(b"/a", path))
                answer = await read_answer(connection, path + b" ")
                self.assertIn(b"200", answer)

    async def test_body_in_chunks_is_read_whole(self):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        head += b"Connection: close\r\n\r\n"
        answer, _ = await self.exchange(head + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
        self.assertTrue(answer.endswith(b"/a abc"), answer)

    async def test_two_framings_are_refused_and_the_connection_closed(self):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        head += b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        answer, rejected = await self.exchange(head + GET)
        self.assertTrue(answer.startswith(b"HTTP/1.1 400"), answer)
        self.assertEqual(answer.count(b"HTTP/1.1"), 1)
        self.assertEqual(len(rejected), 1)

    async def test_two_lengths_are_refused(self):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"
        answer, _ = await self.exchange(head)
        self.assertTrue(answer.startswith(b"HTTP/1.1 400"), answer)

    async def test_bytes_that_are_no_request_are_refused(self):
        answer, rejected = await self.exchange(b"\xff\xff\xff\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 400"), answer)
        self.assertEqual(rejected[0][0], 400)

    async def test_a_body_over_the_limit_is_refused(self):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n"
        answer, _ = await self.exchange(head + b"x" * 1001)
        self.assertTrue(answer.startswith(b"HTTP/1.1 413"), answer)

    async def test_a_chunked_body_over_the_limit_is_refused(self):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        answer, _ = await self.exchange(head + b"3e9\r\n" + b"x" * 1001 + b"\r\n0\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 413"), answer)

    async def test_headers_over_the_limit_are_refused(self):
        answer, _ = await self.exchange(b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 4_000)
        self.assertTrue(answer.startswith(b"HTTP/1.1 431"), answer)

    async def test_a_head_that_does_not_end_in_time_is_refused(self):
        answer, _ = await self.exchange(b"GET /a HTTP/1.1\r\nHost:")
        self.assertTrue(answer.startswith(b"HTTP/1.1 408"), answer)

    async def test_an_idle_connection_is_closed_without_a_word(self):
        answer, rejected = await self.exchange(b"")
        self.assertEqual((answer, rejected), (b"", []))

    async def test_a_failing_handler_gives_500_and_the_server_lives_on(self):
        async def fail(request, writer):
            raise ValueError("handler")

        async with Served(fail) as served:
            for _ in range(2):
                connection = await served.open()
                await connection.send(GET)
                answer = await read_answer(connection, b"error\n")
                self.assertTrue(answer.startswith(b"HTTP/1.1 500"), answer)


class AnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_answer_that_was_not_finished_shows_as_cut(self):
        async def stop_halfway(request, writer):
            await writer.start(200, [])
            await writer.write(b"half")

        async with Served(stop_halfway) as served:
            connection = await served.open()
            await connection.send(GET)
            answer = await read_until_closed(connection)
        self.assertIn(b"half", answer)
        self.assertNotIn(b"0\r\n\r\n", answer)

    async def test_a_handler_is_cancelled_when_its_caller_leaves(self):
        cancelled = anyio.Event()

        async def wait(request, writer):
            try:
                await anyio.sleep_forever()
            finally:
                cancelled.set()

        async with Served(wait) as served:
            connection = await served.open()
            await connection.send(GET)
            await anyio.sleep(0.05)
            connection.close()
            with anyio.fail_after(TIMEOUT_S):
                await cancelled.wait()


class RoomTest(unittest.IsolatedAsyncioTestCase):
    """Callers that hold more than the process has room for."""

    def setUp(self):
        self.closed = []
        self.limits = ServerLimits(body_bytes=8 * SMALL_BYTES, header_timeout_s=TIMEOUT_S)

    def make_intake(self, connections=8, held_bytes=8 * SMALL_BYTES) -> Intake:
        limits = IntakeLimits(connections, held_bytes, answer_bytes=0, peer_connections=0)
        return Intake(limits, lambda status, reason: self.closed.append((status, reason)))

    async def test_a_stalled_body_is_refused_for_another_one_and_says_when_to_retry(self):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        size = 5 * SMALL_BYTES
        async with Served(limits=self.limits, intake=self.make_intake()) as served:
            stalled, whole = await served.open(), await served.open()
            await stalled.send(head % size + b"x" * (size - 1))
            await anyio.sleep(STALLED_S + 0.1)
            await whole.send(head % size + b"x" * size)
            refusal = await read_until_closed(stalled)
            self.assertTrue(refusal.startswith(b"HTTP/1.1 503"), refusal)
            self.assertIn(b"retry-after: 1\r\n", refusal.lower())
            self.assertIn(b"connection: close\r\n", refusal.lower())
            answer = await read_answer(whole, b"x" * size)
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer[:40])
            self.assertEqual(len(served.rejected), 1)

    async def test_a_body_longer_than_there_is_room_for_is_refused_for_good(self):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % (7 * SMALL_BYTES)
        async with Served(limits=self.limits, intake=self.make_intake()) as served:
            connection = await served.open()
            await connection.send(head)
            answer = await read_until_closed(connection)
            self.assertTrue(answer.startswith(b"HTTP/1.1 413"), answer)

    async def test_a_new_connection_takes_the_place_of_the_one_that_waited_longest(self):
        async with Served(limits=self.limits, intake=self.make_intake(connections=2)) as served:
            first, second = await served.open(), await served.open()
            await anyio.sleep(0.05)
            await second.send(GET[:10])
            third = await served.open()
            await third.send(GET)
            self.assertIn(b"200", await read_answer(third, b"/a "))
            self.assertEqual(await read_until_closed(first), b"")
            await second.send(GET[10:])
            self.assertIn(b"200", await read_answer(second, b"/a "))
            self.assertEqual([status for status, _ in self.closed], [0])

    async def test_requests_that_are_served_keep_their_connections(self):
        release = anyio.Event()

        async def wait(request, writer):
            await release.wait()
            await writer.respond(200, [], b"late")

        intake = self.make_intake(connections=1)
        async with Served(wait, self.limits, intake) as served:
            first = await served.open()
            await first.send(GET)
            await anyio.sleep(0.05)
            self.assertEqual(await read_until_closed(await served.open()), b"")
            release.set()
            self.assertTrue((await read_answer(first, b"late")).startswith(b"HTTP/1.1 200"))

    async def test_an_answer_that_is_not_read_is_counted_and_reset_for_another_request(self):
        async def answer(request, writer):
            await writer.respond(200, [], b"x" * (128 * SMALL_BYTES if not request.body else 1))

        intake = self.make_intake(held_bytes=150 * SMALL_BYTES)
        limits = self.limits._replace(body_bytes=110 * SMALL_BYTES)
        async with Served(answer, limits, intake) as served:
            unread, whole = await served.open(), await served.open()
            await unread.send(GET)
            with anyio.fail_after(TIMEOUT_S):
                while not intake.held_bytes:
                    await anyio.sleep(0.01)
            await anyio.sleep(STALLED_S + 0.1)
            self.assertLess(intake.held_bytes, 128 * SMALL_BYTES)
            size = 100 * SMALL_BYTES
            head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size
            await whole.send(head + b"x" * size)
            self.assertIn(b"200", await read_answer(whole, b"x"))
            self.assertEqual([status for status, _ in self.closed], [0])
            self.assertLess(len(await read_until_closed(unread)), 128 * SMALL_BYTES)

    async def test_bytes_behind_served_requests_leave_room_for_a_body(self):
        async def wait(request, writer):
            if not request.body:
                await anyio.sleep_forever()
            await writer.respond(200, [], b"whole")

        size = 8 * SMALL_BYTES
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size
        intake = self.make_intake(connections=32, held_bytes=32 * SMALL_BYTES)
        async with Served(wait, self.limits, intake) as served:
            connections = [await served.open() for _ in range(24)]
            for connection in connections:
                await connection.send(GET)
                await anyio.sleep(0.01)
                await connection.send(b"x" * SMALL_BYTES)
            await anyio.sleep(0.1)
            whole = await served.open()
            await whole.send(head + b"x" * size)
            self.assertIn(b" 200 ", await read_answer(whole, b"whole"))

    async def test_nothing_is_held_after_requests_of_all_kinds(self):
        intake = self.make_intake()
        async with Served(limits=self.limits, intake=intake) as served:
            connection = await served.open()
            await connection.send(GET + GET)
            await read_answer(connection, b"/a ")
            await connection.send(b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nx")
            await anyio.sleep(0.05)
            connection.close()
            with anyio.fail_after(TIMEOUT_S):
                while intake.connections:
                    await anyio.sleep(0.01)
            self.assertEqual(intake.held_bytes, 0)


class DrainTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_answer_tells_the_caller_to_close(self):
        async with Served() as served:
            served.server.close_after_answers()
            connection = await served.open()
            await connection.send(GET)
            answer = await read_until_closed(connection)
        self.assertIn(b"connection: close", answer.lower())

    async def test_a_connection_ends_after_an_answer_begun_before_draining(self):
        proceed = anyio.Event()

        async def slow(request, writer):
            await writer.start(200, [])
            await proceed.wait()
            await writer.finish()

        async with Served(slow) as served:
            connection = await served.open()
            await connection.send(GET)
            await anyio.sleep(0.05)
            served.server.close_after_answers()
            proceed.set()
            answer = await read_until_closed(connection)
        self.assertTrue(answer.endswith(b"0\r\n\r\n"), answer)

    async def test_idle_connections_and_new_ones_end_while_answers_go_on(self):
        proceed = anyio.Event()

        async def slow(request, writer):
            await proceed.wait()
            await writer.respond(200, [], b"done")

        async with Served(slow) as served:
            idle, busy = await served.open(), await served.open()
            await busy.send(GET)
            await anyio.sleep(0.05)
            served.server.close_after_answers()
            served.server.stop_accepting()
            self.assertEqual(await read_until_closed(idle), b"")
            self.assertEqual(served.server.busy, 1)
            refused = await connect(served.address, TIMEOUT_S)
            self.assertNotIsInstance(refused, Connection)
            proceed.set()
            self.assertTrue((await read_until_closed(busy)).endswith(b"done"))


class IncompleteAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_incomplete_answer_to_http_1_0_does_not_look_complete(self):
        async def begin(request, writer):
            await writer.start(200, [])
            await writer.write(b"event")

        async with Served(begin) as served:
            connection = await served.open()
            await connection.send(b"GET /a HTTP/1.0\r\nHost: h\r\n\r\n")
            with anyio.fail_after(TIMEOUT_S):
                data = await connection.receive()
                while isinstance(data, bytes) and data:
                    data = await connection.receive()
            self.assertIsInstance(data, TransportError)


class StuckConnection:
    """A connection whose peer has stopped reading."""

    def __init__(self):
        self.stuck = False

    async def send(self, data: bytes) -> None:
        if self.stuck:
            await anyio.sleep_forever()


class ResponseWriterTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_answer_whose_last_bytes_were_not_sent_is_not_finished(self):
        http = h11.Connection(h11.SERVER)
        http.receive_data(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertIsInstance(http.next_event(), h11.Request)
        self.assertIsInstance(http.next_event(), h11.EndOfMessage)
        connection = StuckConnection()
        account = Intake(find_limits(None, HTTP1_PROCESS_SIZE)).open(
            lambda reason: None, lambda reset: None
        )
        writer = ResponseWriter(http, connection, False, account)
        await writer.start(200, [])
        await writer.write(b"event")
        connection.stuck = True
        with anyio.move_on_after(0.01):
            await writer.finish()
        self.assertFalse(writer.finished)


class StoppedServerTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_answer_to_http_1_0_that_a_stop_cuts_does_not_look_complete(self):
        async with Served(Unfinished()) as served:
            connection = await connect(served.address, TIMEOUT_S)
            await connection.send(GET.replace(b"1.1", b"1.0"))
            received = b""
            with anyio.fail_after(TIMEOUT_S):
                while not received.endswith(b"begin"):
                    received += await connection.receive()
        self.assertIsInstance(await connection.receive(), TransportError)
        connection.close()


class HeadTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_answer_with_a_body_to_a_head_request_is_not_lost(self):
        async with Served() as served:
            connection = await connect(served.address, TIMEOUT_S)
            await connection.send(GET.replace(b"GET", b"HEAD"))
            with anyio.fail_after(TIMEOUT_S):
                received = await connection.receive()
        self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received)
        connection.close()


if __name__ == "__main__":
    unittest.main()
