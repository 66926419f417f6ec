"""Tests that a caller gets no bytes of another answer, with backend servers that send raw bytes."""

from __future__ import annotations

import asyncio
import unittest

import anyio

from bronzerudder.gateway.tables import BackendServer
from bronzerudder.http1 import ClientPool, Connection, HttpError, listen
from bronzerudder.http1.sockets import accept
from tests.gateway.harness import TIMEOUT_S, GatewayHarness

HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: signed\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
UNDELIMITED = HEAD + b"\r\n"
FAILED = b"HTTP/1.1 500 Failed\r\nResponse-Signature: signed\r\nContent-Length: 6\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def make_event(number: int) -> bytes:
    return f"id: {number}\ndata: event {number}\n\n".encode()


def make_events(first: int, last: int) -> bytes:
    return b"".join(make_event(number) for number in range(first, last + 1))


def make_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def make_plain(request_id: bytes, body: bytes) -> bytes:
    return HEAD % request_id + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


class RawReply:
    """What a raw backend server sends for one request, and how it ends."""

    def __init__(self, data: bytes, ending: str = "keep") -> None:
        self.data = data
        self.ending = ending


class RawBackendServer:
    """Answers each request with the bytes that a function of the request's head and id returns.

    Attributes
    ----------
    requests : list of bytes
        Heads of the requests received.
    accepted : int
        Connections accepted.
    """

    def __init__(self, reply) -> None:
        self._reply = reply
        self.requests: list[bytes] = []
        self.accepted = 0

    async def serve(self, listener) -> None:
        async with anyio.create_task_group() as tasks:
            while True:
                connection = await accept(listener)
                self.accepted += 1
                tasks.start_soon(self._serve_connection, connection)

    async def _serve_connection(self, connection: Connection) -> None:
        received = b""
        while True:
            data = await connection.receive()
            if not isinstance(data, bytes) or not data:
                connection.close()
                return
            received += data
            head, end, _ = received.partition(b"\r\n\r\n")
            if not end:
                continue
            received = b""
            self.requests.append(head)
            reply = self._reply(len(self.requests), find_header(head, b"attempt-id"), head)
            await connection.send(reply.data)
            if reply.ending == "keep":
                continue
            # Lets the gateway read the bytes before the end of the connection.
            await anyio.sleep(0.02)
            if reply.ending == "reset":
                connection.reset()
            connection.close()
            return


def find_header(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.lower() == name:
            return value.strip()
    return b""


def first_event(head: bytes) -> int:
    return int(find_header(head, b"last-event-id") or b"0") + 1


class AnswerIntegrityCase(unittest.IsolatedAsyncioTestCase):
    async def start(self, *replies) -> None:
        """Start a gateway before one raw backend server for each reply function."""
        self.gateway = GatewayHarness(server_count=0)
        await self.gateway.start()
        self.addAsyncCleanup(self.gateway.stop)
        self.servers = []
        for number, reply in enumerate(replies):
            server = RawBackendServer(reply)
            self.servers.append(server)
            listener = listen("127.0.0.1:0")
            self.addCleanup(listener.close)
            serving = asyncio.create_task(server.serve(listener))
            self.addAsyncCleanup(asyncio.gather, serving, return_exceptions=True)
            self.addCleanup(serving.cancel)
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            self.gateway.services.put(BackendServer(f"raw-{number}", "s", address, "z", 6, False))

    async def send(self, path: str, request_id: str = "r1", **headers):
        with anyio.fail_after(TIMEOUT_S):
            return await self.gateway.send_request(path, request_id, **headers)

    async def read_stream(self, path: str) -> tuple[int, bytes, bool]:
        """Send a request; return status, the bytes received and whether they are complete."""
        exchange = await ClientPool().open(self.gateway.address)
        headers = [(b"host", b"h.example"), (b"attempt-id", b"r1"), (b"x-api-key", b"key")]
        chunks = []
        with anyio.fail_after(TIMEOUT_S):
            await exchange.send(b"GET", path.encode(), headers, b"")
            head = await exchange.read_head()
            while True:
                chunk = await exchange.read_body()
                if chunk is None or isinstance(chunk, HttpError):
                    exchange.discard()
                    return head.status, b"".join(chunks), chunk is None
                chunks.append(chunk)

    @property
    def received(self) -> int:
        """Requests that all backend servers received."""
        return sum(len(server.requests) for server in self.servers)


def answer_stream(last: int):
    """Make a reply function that sends the events after the last one received, in chunks."""

    def reply(number: int, request_id: bytes, head: bytes) -> RawReply:
        events = make_events(first_event(head), last)
        return RawReply(CHUNKED % request_id + make_chunk(events) + LAST_CHUNK)

    return reply


class FailsOnce:
    """Sends a fixed reply to the first request that any backend server gets, and then others."""

    def __init__(self, first: RawReply, then) -> None:
        self._first = first
        self._then = then
        self._failed = False

    def __call__(self, number: int, request_id: bytes, head: bytes) -> RawReply:
        if self._failed:
            return self._then(number, request_id, head)
        self._failed = True
        return self._first


class StreamIntegrityTest(AnswerIntegrityCase):
    async def check_resumed(self, first: RawReply) -> None:
        """Check that the caller gets all events, though the first backend server sends `first`."""
        reply = FailsOnce(first, answer_stream(4))
        await self.start(reply, reply)
        status, _, body = await self.send("/stream/")
        self.assertEqual((status, body), (200, make_events(1, 4)))
        self.assertEqual(self.received, 2)

    async def test_a_retry_is_not_appended_to_a_first_event_that_broke_off(self):
        part = b"id: 1\ndata: ev"
        for sent in (CHUNKED % b"r1" + make_chunk(part), UNDELIMITED % b"r1" + part):
            for ending in ("reset", "close"):
                with self.subTest(sent=sent, ending=ending):
                    await self.check_resumed(RawReply(sent, ending))

    async def test_a_duplicate_after_an_undelimited_stream_is_not_relayed(self):
        events = make_events(1, 4)
        for duplicate in (
            CHUNKED % b"r1" + make_chunk(events) + LAST_CHUNK,
            UNDELIMITED % b"r1" + events,
            make_plain(b"r0", events),
            make_plain(b"r0", b"other\n\n"),
        ):
            with self.subTest(duplicate=duplicate):
                sent = UNDELIMITED % b"r1" + events + duplicate
                await self.check_resumed(RawReply(sent, "close"))

    async def test_a_duplicate_after_a_stream_that_may_not_be_resumed_cuts_it(self):
        events = make_events(1, 4)
        data = UNDELIMITED % b"r1" + events + make_plain(b"r1", events)
        await self.start(lambda n, i, h: RawReply(data, "close"))
        self.assertEqual(await self.read_stream("/once/"), (200, events, False))
        self.assertEqual(self.received, 1)

    async def test_events_whose_ids_do_not_rise_are_not_relayed(self):
        for repeated in (make_event(2), make_event(1), make_events(1, 4)):
            with self.subTest(repeated=repeated):
                chunk = make_chunk(make_events(1, 2) + repeated)
                await self.check_resumed(RawReply(CHUNKED % b"r1" + chunk + LAST_CHUNK))

    async def test_a_stream_that_ignores_where_to_resume_is_not_relayed(self):
        chunk = make_chunk(make_events(1, 4))
        await self.start(lambda n, i, h: RawReply(CHUNKED % i + chunk + LAST_CHUNK))
        status, _, body = await self.send("/stream/", last_event_id="2")
        self.assertEqual(status, 502, body)

    async def test_an_event_without_an_id_is_not_relayed_twice_on_resumption(self):
        unnumbered = b"data: without id\n\n"
        sent = RawReply(CHUNKED % b"r1" + make_chunk(make_event(1) + unnumbered), "reset")
        rest = make_chunk(unnumbered + make_event(2))
        reply = FailsOnce(sent, lambda n, i, h: RawReply(CHUNKED % i + rest + LAST_CHUNK))
        await self.start(reply, reply)
        _, body, _ = await self.read_stream("/stream/")
        self.assertEqual(body.count(unnumbered), 1)

    async def test_an_undelimited_stream_without_an_event_is_not_taken_for_whole(self):
        await self.check_resumed(RawReply(UNDELIMITED % b"r1", "close"))

    async def test_a_resumed_stream_may_have_no_further_events(self):
        await self.start(lambda n, i, h: RawReply(UNDELIMITED % i, "close"))
        status, _, body = await self.send("/stream/", last_event_id="4")
        self.assertEqual((status, body), (200, b""))

    async def test_sound_events_of_every_form_are_relayed(self):
        events = (
            b"weight-versions: 5\nid: 1\ndata: \xff\xfe: b\ndata\n\n"
            b": comment\n\nevent:x\nid:7\ndata:\n\nid: 10\nretry: 3\n\n"
        )

        def reply(number: int, request_id: bytes, head: bytes) -> RawReply:
            split = int(head.split()[1].rpartition(b"/")[2])
            chunks = make_chunk(events[:split]) + make_chunk(events[split:])
            return RawReply(CHUNKED % request_id + chunks + LAST_CHUNK)

        await self.start(reply)
        for split in range(1, len(events)):
            status, _, body = await self.send(f"/stream/{split}", f"r{split}")
            self.assertEqual((status, body), (200, events))


class PlainIntegrityTest(AnswerIntegrityCase):
    async def test_an_undelimited_answer_with_a_second_head_is_not_taken_for_whole(self):
        cut = (b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 200 OK\r\nAttempt")
        for duplicate in (make_plain(b"r1", b"mine"), make_plain(b"r0", b"other"), *cut):
            with self.subTest(duplicate=duplicate):
                reply = FailsOnce(
                    RawReply(UNDELIMITED % b"r1" + b"mine" + duplicate, "close"),
                    lambda n, i, h: RawReply(make_plain(i, b"mine")),
                )
                await self.start(reply, reply)
                status, _, body = await self.send("/read/")
                self.assertEqual((status, body), (200, b"mine"))

    async def test_a_body_that_a_duplicate_fills_up_is_not_taken_for_whole(self):
        begin = HEAD % b"r1" + b"Content-Length: 100\r\n\r\n"
        for missing in (3, 10, 96, 100):
            for duplicate in (make_plain(b"r1", b"x" * 100), make_plain(b"r0", b"other" * 9)):
                with self.subTest(missing=missing, duplicate=duplicate):
                    reply = FailsOnce(
                        RawReply(begin + b"x" * (100 - missing) + duplicate),
                        lambda n, i, h: RawReply(make_plain(i, b"mine")),
                    )
                    await self.start(reply, reply)
                    status, _, body = await self.send("/read/")
                    self.assertEqual((status, body), (200, b"mine"))

    async def test_a_sound_answer_before_a_duplicate_is_passed_on(self):
        body = b"quoted: HTTP/1.1 200 OK"
        for duplicate in (b"", make_plain(b"r1", body), make_plain(b"r0", b"other")):
            with self.subTest(duplicate=duplicate):
                sent = RawReply(make_plain(b"r1", body) + duplicate)
                await self.start(FailsOnce(sent, answer_stream(1)))
                status, _, received = await self.send("/book/", method=b"POST")
                self.assertEqual((status, received), (200, body))

    async def test_an_undelimited_answer_with_a_second_head_runs_a_booking_once(self):
        await self.start(
            lambda n, i, h: RawReply(UNDELIMITED % i + b"mine" + make_plain(i, b"mine"), "close")
        )
        status, headers, _ = await self.send("/book/", method=b"POST")
        self.assertEqual(status, 502)
        self.assertNotIn(b"response-signature", headers)
        self.assertEqual(self.received, 1)

    async def test_an_undelimited_answer_that_is_reset_is_not_taken_for_whole(self):
        await self.start(lambda n, i, h: RawReply(UNDELIMITED % i + b"mi", "reset"))
        status, headers, _ = await self.send("/book/", method=b"POST")
        self.assertEqual(status, 502)
        self.assertNotIn(b"response-signature", headers)

    async def test_an_undelimited_answer_is_passed_on_whole(self):
        await self.start(lambda n, i, h: RawReply(UNDELIMITED % i + b"HTTP/1.1 200 is OK", "close"))
        status, _, body = await self.send("/read/")
        self.assertEqual((status, body), (200, b"HTTP/1.1 200 is OK"))

    async def test_a_failure_of_an_earlier_request_is_not_passed_on(self):
        failed = FAILED + b"\r\nfailed"

        def reply(number: int, request_id: bytes, head: bytes) -> RawReply:
            if number == 1:
                return RawReply(failed)
            return RawReply(failed + make_plain(request_id, b"mine"))

        await self.start(reply)
        await self.send("/book/", "r1", method=b"POST")
        await self.send("/book/", "r2", method=b"POST")
        # The answer without an id can be of the second request on a connection of its own only.
        self.assertEqual(self.servers[0].accepted, 2)

    async def test_a_failure_without_an_id_on_a_reused_connection_is_not_passed_on(self):
        def reply(number: int, request_id: bytes, head: bytes) -> RawReply:
            if number == 1:
                return RawReply(make_plain(request_id, b"mine"))
            return RawReply(FAILED + b"\r\nfailed" + make_plain(request_id, b"mine"))

        await self.start(reply)
        await self.send("/book/", "r1", method=b"POST")
        status, headers, _ = await self.send("/book/", "r2", method=b"POST")
        self.assertEqual((status, self.servers[0].accepted), (502, 1))
        self.assertNotIn(b"response-signature", headers)

    async def test_a_rejection_without_an_id_on_a_reused_connection_proves_nothing(self):
        rejected = b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

        def reply(number: int, request_id: bytes, head: bytes) -> RawReply:
            if number == 1:
                return RawReply(make_plain(request_id, b"mine"))
            return RawReply(rejected + make_plain(request_id, b"mine"))

        await self.start(reply)
        await self.send("/book/", "r1", method=b"POST")
        status, _, _ = await self.send("/book/", "r2", method=b"POST")
        self.assertEqual((status, self.servers[0].accepted), (502, 1))

    async def test_a_421_without_an_id_on_a_reused_connection_excludes_no_server(self):
        misdirected = b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"

        def reply(number: int, request_id: bytes, head: bytes) -> RawReply:
            answer = make_plain(request_id, b"mine")
            return RawReply(misdirected + answer if number == 2 else answer)

        await self.start(reply)
        statuses = []
        for request_id in ("r1", "r2", "r3"):
            status, _, _ = await self.send("/book/", request_id, method=b"POST")
            statuses.append(status)
        self.assertEqual(statuses, [200, 502, 200])

    async def test_a_rejection_without_an_id_after_a_foreign_answer_proves_nothing(self):
        rejected = b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        foreign = make_plain(b"r0", b"other")
        await self.start(lambda n, i, h: RawReply(foreign + rejected + make_plain(i, b"mine")))
        status, _, _ = await self.send("/book/", method=b"POST")
        self.assertEqual((status, self.received), (502, 1))

    async def test_a_rejection_of_another_request_is_skipped(self):
        rejected = (
            b"HTTP/1.1 503 Full\r\nAttempt-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        )
        await self.start(lambda n, i, h: RawReply(rejected + make_plain(i, b"mine")))
        status, _, body = await self.send("/book/", "r2", method=b"POST")
        self.assertEqual((status, body), (200, b"mine"))

    async def test_a_late_answer_without_a_body_is_skipped(self):
        late = b"HTTP/1.1 204 No Content\r\nAttempt-Id: r0\r\n\r\n"
        await self.start(lambda n, i, h: RawReply(late + make_plain(i, b"mine")))
        status, _, body = await self.send("/book/", method=b"POST")
        self.assertEqual((status, body), (200, b"mine"))

    async def test_an_undelimited_answer_to_another_request_ends_the_attempt_at_once(self):
        await self.start(lambda n, i, h: RawReply(UNDELIMITED % b"r0" + make_plain(i, b"mine")))
        with anyio.fail_after(0.5):
            status, _, _ = await self.send("/book/", method=b"POST", deadline_ms="1000")
        self.assertEqual(status, 502)

    async def test_a_late_answer_that_stops_midway_is_given_up_like_any_other(self):
        late = HEAD % b"r0" + b"Content-Length: 9\r\n\r\nlate"
        reply = FailsOnce(RawReply(late), lambda n, i, h: RawReply(make_plain(i, b"mine")))
        await self.start(reply, reply)
        status, _, body = await self.send("/read/")
        self.assertEqual((status, body), (200, b"mine"))

    async def test_a_request_that_failed_is_not_sent_to_the_same_server_again(self):
        await self.start(
            lambda n, i, h: RawReply(FAILED + b"Attempt-Id: %s\r\n\r\nfailed" % i),
        )
        status, _, _ = await self.send("/read/")
        self.assertEqual((status, self.received), (500, 1))

    async def test_a_request_that_was_rejected_is_sent_again_on_another_connection(self):
        def reply(number: int, request_id: bytes, head: bytes) -> RawReply:
            if number == 1:
                rejected = b"HTTP/1.1 503 Full\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n"
                return RawReply(rejected % request_id + b"Content-Length: 0\r\n\r\n")
            return RawReply(make_plain(request_id, b"mine"))

        await self.start(reply)
        status, _, body = await self.send("/read/")
        self.assertEqual((status, body), (200, b"mine"))
        self.assertEqual([self.received, self.servers[0].accepted], [2, 2])


class StatusTest(AnswerIntegrityCase):
    """Answers whose status is none by RFC 9110: it is outside 100 to 599."""

    STATUSES = (b"000", b"099", b"600", b"999")

    @staticmethod
    def make_reply(status: bytes) -> RawReply:
        head = b"HTTP/1.1 " + status + b" Odd\r\nAttempt-Id: r1\r\nResponse-Signature: signed\r\n"
        return RawReply(head + b"Content-Length: 3\r\n\r\nodd")

    async def test_they_reach_no_caller_of_a_plain_route(self):
        for status in self.STATUSES:
            reply = self.make_reply(status)
            await self.start(lambda number, request_id, head, reply=reply: reply)
            with self.subTest(status=status):
                received, _, body = await self.send("/book/")
                self.assertEqual(received, 502)
                self.assertNotIn(b"odd", body)

    async def test_they_reach_no_caller_of_a_stream(self):
        for status in self.STATUSES:
            reply = self.make_reply(status)
            await self.start(lambda number, request_id, head, reply=reply: reply)
            with self.subTest(status=status):
                received, body, _ = await self.read_stream("/once/")
                self.assertEqual(received, 502)
                self.assertNotIn(b"odd", body)

    async def test_a_request_that_may_be_repeated_is_answered_by_another_server(self):
        for status in self.STATUSES:
            sound = lambda number, request_id, head: RawReply(  # noqa: E731
                make_plain(request_id, b"sound")
            )
            reply = FailsOnce(self.make_reply(status), sound)
            await self.start(reply, reply)
            with self.subTest(status=status):
                received, _, body = await self.send("/read/")
                self.assertEqual((received, body), (200, b"sound"))

    async def test_a_second_answer_of_that_kind_reaches_no_caller(self):
        for status in self.STATUSES:
            reply = self.make_reply(status)
            answer = lambda number, request_id, head, reply=reply: reply  # noqa: E731
            await self.start(answer, answer)
            with self.subTest(status=status):
                received, _, body = await self.send("/read/")
                self.assertEqual(received, 502)
                self.assertNotIn(b"odd", body)
                self.assertEqual(self.received, 2)

    async def test_one_that_answers_a_resumed_stream_does_not_complete_it(self):
        for status in self.STATUSES:
            odd = self.make_reply(status)
            part = CHUNKED % b"r1" + make_chunk(make_events(1, 2))
            reply = FailsOnce(
                RawReply(part, "close"), lambda number, request_id, head, odd=odd: odd
            )
            await self.start(reply, reply)
            with self.subTest(status=status):
                received, body, complete = await self.read_stream("/stream/")
                self.assertEqual((received, body), (200, make_events(1, 2)))
                self.assertFalse(complete)


if __name__ == "__main__":
    unittest.main()
