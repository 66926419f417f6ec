"""Tests of what callers of a gateway receive when backend servers write faulty answers."""

from __future__ import annotations

import asyncio
import itertools
import re
import tracemalloc
import unittest
from typing import NamedTuple

import anyio
import h11

from bronzerudder.gateway.attempt import MAX_BUFFERED_BYTES
from bronzerudder.platform import wire
from bronzerudder.standin.fleet import AnswerScript, FaultyAnswerServer
from bronzerudder.standin.fleet.answer_script import (
    EVENTS,
    FOREIGN_ID,
    SOUND,
    BreakPoint,
    Ending,
    Endless,
    Extra,
    ExtraId,
    ExtraTime,
    Framing,
    event_of,
    plain_body,
)
from tests.gateway.harness import GatewayHarness

TIMEOUT_S = 10.0
READ_BYTES = 65_536
POLL_INTERVAL_S = 0.01
FOLLOWING_REQUESTS = 4
"""Requests after the faulty answer, which may be sent over the same connection."""
PLAYS_AT_ONCE = 6
STREAM_KINDS = ("stream", "once")
AT_MOST_ONCE_KINDS = ("book", "once")
FRAMED = (Framing.LENGTH, Framing.CHUNKS)
ENDLESS_DEADLINE_S = 0.6
CLOSE_SLACK_S = 0.5
"""Time after the deadline within which the connection of an endless answer is closed."""
MAX_HELD_BYTES = 4 * MAX_BUFFERED_BYTES
"""Memory for one answer: the largest that is passed on, in chunks, joined and as it is sent."""
LONG_BODY_BYTES = 1_000_000
NOT_RUN_STATUSES = (408, 421, 429, 503)
ERROR_STATUSES = (500, 502, 504)
NAMED_IDS = re.compile(rb"<([^<>]*)>")


class Received(NamedTuple):
    """What a caller received.

    Parameters
    ----------
    raw : bytes
        All bytes, until the connection ended.
    status : int
        Status of the answer; 0 without a complete head.
    headers : dict
        Headers of the answer.
    body : bytes
        Body as far as it was received.
    whole : bool
        Whether the answer was received completely.
    """

    raw: bytes
    status: int
    headers: dict[bytes, bytes]
    body: bytes
    whole: bool


def decode(raw: bytes) -> Received:
    """Decode the bytes that a caller received on a connection that has ended."""
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method="GET", target="/", headers=[("host", "h")]))
    http.send(h11.EndOfMessage())
    http.receive_data(raw)
    http.receive_data(b"")
    status, headers, chunks = 0, {}, []
    while True:
        try:
            event = http.next_event()
        except h11.RemoteProtocolError:
            return Received(raw, status, headers, b"".join(chunks), False)
        if isinstance(event, h11.Response):
            status, headers = event.status_code, dict(event.headers)
        elif isinstance(event, h11.Data):
            chunks.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return Received(raw, status, headers, b"".join(chunks), True)
        else:
            return Received(raw, status, headers, b"".join(chunks), False)


def find_violation(request_id: bytes, received: Received, is_stream: bool, shortest: int) -> str:
    """Return what is wrong with what a caller received, or ''.

    Parameters
    ----------
    request_id : bytes
        The caller's request.
    received : Received
        What the caller received.
    is_stream : bool
        Whether the answer is a stream.
    shortest : int
        Least number of events of a stream that may be shown as complete.
    """
    foreign = set(NAMED_IDS.findall(received.raw)) - {request_id}
    if foreign or FOREIGN_ID in received.raw:
        return f"bytes of other requests: {sorted(foreign)}"
    if received.raw.count(b"HTTP/1.1") > 1:
        return "another head inside the answer"
    if received.status != 200:
        known = (0, *NOT_RUN_STATUSES, *ERROR_STATUSES)
        return "" if received.status in known else f"status {received.status}"
    if wire.SIGNATURE not in received.headers:
        return "success without a signature"
    if received.headers.get(wire.REQUEST_ID) != request_id:
        return "success without the request's id"
    if is_stream:
        return _find_stream_violation(request_id, received, shortest)
    if received.whole and received.body != plain_body(request_id):
        return "success with another body"
    return ""


def _find_stream_violation(request_id: bytes, received: Received, shortest: int) -> str:
    *events, rest = re.split(rb"(?<=\n\n)", received.body)
    for number, event in enumerate(events, 1):
        if event != event_of(request_id, number):
            return f"event {number} is {event!r}"
    if not event_of(request_id, len(events) + 1).startswith(rest):
        return f"after event {len(events)} comes {rest!r}"
    if received.whole and (rest or len(events) < shortest):
        return f"shown as complete after event {len(events)} and {rest!r}"
    return ""


def describe(script: AnswerScript) -> str:
    """Return the fields of a script that differ from a sound answer."""
    differing = [
        f"{name}={value}"
        for name, value, sound in zip(script._fields, script, AnswerScript(), strict=True)
        if value != sound
    ]
    return ", ".join(differing)


class Play:
    """A gateway and backend servers that answer by scripts.

    Parameters
    ----------
    kind : str
        Route of its requests.
    servers : int
        Number of backend servers.

    Attributes
    ----------
    servers : list of FaultyAnswerServer
        The backend servers.
    """

    def __init__(self, kind: str, servers: int = 2) -> None:
        self._kind = kind
        self._gateway = GatewayHarness(server_count=0)
        self.servers = [FaultyAnswerServer(f"i-{number}") for number in range(servers)]

    @property
    def is_stream(self):
        """Whether its requests are answered with a stream."""
        return self._kind in STREAM_KINDS

    async def __aenter__(self):
        await self._gateway.start()
        for server in self.servers:
            self._gateway.add(server)
        return self

    async def __aexit__(self, *unused):
        await self._gateway.stop()

    async def send(self, request_id, body=b"", version=b"1.1", **headers):
        """Send a request over its own connection; return what is received."""
        host, _, port = self._gateway.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = [
            b"POST /%s/%s HTTP/%s" % (self._kind.encode(), request_id, version),
            b"host: h.example",
            b"connection: close",
            wire.API_KEY + b": key",
            wire.REQUEST_ID + b": " + request_id,
            b"content-length: %d" % len(body),
        ]
        lines.extend(f"{name}: {value}".encode() for name, value in headers.items())
        raw, reset = b"", False
        try:
            with anyio.fail_after(TIMEOUT_S):
                writer.write(b"\r\n".join([*lines, b"", body]))
                while block := await reader.read(READ_BYTES):
                    raw += block
        except ConnectionResetError:
            # What came before counts, but an answer that ends with its connection isn't whole.
            reset = True
        finally:
            writer.close()
        received = decode(raw)
        is_unframed = not {b"content-length", b"transfer-encoding"} & set(received.headers)
        return received._replace(whole=received.whole and not (reset and is_unframed))

    async def send_several(self, scripts, shortest=EVENTS, version=b"1.1"):
        """Answer the first requests by the scripts, later ones soundly; return all violations."""
        for server in self.servers:
            # Shared, as the gateway chooses the backend server.
            server.script = scripts
        found = []
        for number in range(1 + FOLLOWING_REQUESTS):
            request_id = b"%s-%d" % (self._kind.encode(), number)
            received = await self.send(request_id, version=version)
            violation = find_violation(request_id, received, self.is_stream, shortest)
            violation = violation or self._find_run_violation(request_id, received)
            if violation:
                found.append(f"{request_id.decode()}: {violation}")
        return found

    async def expect_service(self):
        """Wait until sound answers are passed on completely again."""
        number = 0
        with anyio.fail_after(TIMEOUT_S):
            while True:
                number += 1
                received = await self.send(b"%s-after-%d" % (self._kind.encode(), number))
                if received.status == 200 and received.whole:
                    return
                await anyio.sleep(POLL_INTERVAL_S)

    def _find_run_violation(self, request_id, received):
        runs = [run.header(wire.REQUEST_ID) for server in self.servers for run in server.runs]
        times = runs.count(request_id)
        if received.status in NOT_RUN_STATUSES and times:
            return f"status {received.status} though it ran"
        if self._kind in AT_MOST_ONCE_KINDS and times > 1:
            return f"ran {times} times"
        return ""


class FaultyAnswerCase(unittest.IsolatedAsyncioTestCase):
    """Plays scripted answers on the routes of `kinds`."""

    kinds: tuple[str, ...] = ()

    async def play(self, *scripts, shortest=EVENTS):
        """Answer one request, or two, by each script; check what all callers receive."""
        found: list[str] = []
        limiter = anyio.CapacityLimiter(PLAYS_AT_ONCE)

        async def play_one(kind, script, faulty):
            async with limiter, Play(kind) as played:
                violations = await played.send_several([script] * faulty, shortest)
                found.extend(f"{line}; {faulty} by {describe(script)}" for line in violations)
                await played.expect_service()

        async with anyio.create_task_group() as tasks:
            for kind, script, faulty in itertools.product(self.kinds, scripts, (1, 2)):
                tasks.start_soon(play_one, kind, script, faulty)
        self.assertFalse(found, "\n".join(["", *sorted(found)]))


class CommonFaults:
    """Faults of plain answers and of streams alike."""

    async def test_sound_answers_in_each_framing(self):
        await self.play(*(AnswerScript(framing) for framing in Framing))

    async def test_an_answer_reset_after_its_last_byte(self):
        await self.play(*(AnswerScript(framing, Ending.RESET) for framing in Framing))

    async def test_an_extra_answer_next_to_the_first(self):
        extras = [Extra(ExtraTime.ADJACENT, extra_id) for extra_id in ExtraId]
        await self.play(
            *(AnswerScript(framing, extra=extra) for framing in FRAMED for extra in extras)
        )

    async def test_an_extra_answer_on_the_idle_connection(self):
        extras = [Extra(ExtraTime.IDLE, extra_id) for extra_id in ExtraId]
        await self.play(*(AnswerScript(extra=extra) for extra in extras))

    async def test_an_extra_answer_before_the_next_answer(self):
        extras = [Extra(ExtraTime.LATE, extra_id) for extra_id in ExtraId]
        await self.play(*(AnswerScript(extra=extra) for extra in extras))

    async def test_an_extra_error_answer_before_the_next_answer(self):
        extras = [
            Extra(ExtraTime.LATE, extra_id, status=status)
            for extra_id in ExtraId
            for status in (404, 500)
        ]
        await self.play(*(AnswerScript(extra=extra) for extra in extras))

    async def test_an_extra_unframed_answer_before_the_next_answer(self):
        extras = [Extra(ExtraTime.LATE, extra_id, Framing.CONNECTION_END) for extra_id in ExtraId]
        await self.play(*(AnswerScript(extra=extra) for extra in extras))

    async def test_an_extra_answer_at_the_end_of_an_unframed_one(self):
        extras = [
            Extra(ExtraTime.ADJACENT, extra_id, framing)
            for extra_id in ExtraId
            for framing in Framing
        ]
        await self.play(*(AnswerScript(Framing.CONNECTION_END, extra=extra) for extra in extras))

    async def test_an_extra_answer_after_an_unframed_one(self):
        extras = [Extra(ExtraTime.IDLE, extra_id) for extra_id in ExtraId]
        await self.play(*(AnswerScript(Framing.CONNECTION_END, extra=extra) for extra in extras))

    async def test_an_answer_that_breaks_off_in_its_head(self):
        endings = (Ending.CLOSED, Ending.RESET)
        await self.play(
            *(AnswerScript(broken_at=BreakPoint.HEAD, ending=ending) for ending in endings)
        )

    async def test_bytes_that_are_no_answer(self):
        await self.play(*(AnswerScript(garbage=True, ending=ending) for ending in Ending))

    async def test_some_informational_heads(self):
        await self.play(AnswerScript(informational_heads=3))


def break_off(points, framings=tuple(Framing)):
    """Make the scripts that break off at these points."""
    endings = (Ending.CLOSED, Ending.RESET)
    return [AnswerScript(*fields) for fields in itertools.product(framings, endings, points)]


class PlainAnswerTest(CommonFaults, FaultyAnswerCase):
    kinds = ("read", "book")

    async def test_an_answer_that_breaks_off_in_its_body(self):
        await self.play(*break_off([BreakPoint.BODY], FRAMED))

    async def test_an_unframed_answer_reset_in_its_body(self):
        await self.play(AnswerScript(Framing.CONNECTION_END, Ending.RESET, BreakPoint.BODY))


class StreamAnswerTest(CommonFaults, FaultyAnswerCase):
    kinds = STREAM_KINDS

    async def test_a_stream_that_breaks_off_inside_its_first_event(self):
        await self.play(*break_off([BreakPoint.FIRST_ID_LINE, BreakPoint.FIRST_EVENT]))

    async def test_a_stream_that_breaks_off_inside_a_later_event(self):
        await self.play(*break_off([BreakPoint.LATER_ID_LINE, BreakPoint.LATER_EVENT]))

    async def test_a_framed_stream_that_breaks_off_between_events(self):
        await self.play(*break_off([BreakPoint.BETWEEN_EVENTS], FRAMED))

    async def test_an_unframed_stream_that_ends_between_events(self):
        point = BreakPoint.BETWEEN_EVENTS
        await self.play(AnswerScript(Framing.CONNECTION_END, Ending.RESET, point))
        # Without a length its end can't be told from that of a complete stream.
        await self.play(AnswerScript(Framing.CONNECTION_END, Ending.CLOSED, point), shortest=1)


class RepeatedRefusalTest(unittest.IsolatedAsyncioTestCase):
    """A backend server writes a refusal once more on a connection that it keeps."""

    async def play(self, kind, servers, scripts):
        described = list(map(describe, scripts))
        async with Play(kind, servers) as played:
            found = await played.send_several(scripts)
            await played.expect_service()
        return [f"{line}; {kind} at {servers} by {described}" for line in found]

    async def play_all(self, before, after):
        found = []
        for kind, servers, time in itertools.product(
            ("read", "book", "stream", "once"), (1, 2), ExtraTime
        ):
            refusal = AnswerScript(refused=True, extra=Extra(time))
            found += await self.play(kind, servers, [*before, refusal, *after])
        self.assertFalse(found, "\n".join(["", *found]))

    async def test_a_repeated_refusal_is_taken_for_the_answer_to_a_request_that_runs(self):
        await self.play_all((), ())

    async def test_a_repeated_refusal_between_others_on_the_connection(self):
        await self.play_all((SOUND, SOUND), (AnswerScript(refused=True), SOUND))

    async def test_several_repeated_refusals_in_a_row(self):
        again = AnswerScript(refused=True, extra=Extra(ExtraTime.LATE))
        await self.play_all((), (again, again))


def break_and_fail(status, framing, ending=Ending.KEPT):
    """Make a stream that breaks off after some events, and an error as the next answer."""
    broken = AnswerScript(ending=Ending.RESET, broken_at=BreakPoint.BETWEEN_EVENTS)
    return [broken, AnswerScript(framing, ending, status=status)]


class ErrorOnResumptionTest(unittest.IsolatedAsyncioTestCase):
    """A stream has begun and broken off, and the next backend server answers with an error."""

    async def play(self, scripts, version=b"1.1"):
        found = []
        for kind, each in itertools.product(STREAM_KINDS, scripts):
            described = list(map(describe, each))
            async with Play(kind) as played:
                violations = await played.send_several(each, version=version)
                found += [f"{line}; by {described}" for line in violations]
                await played.expect_service()
        self.assertFalse(found, "\n".join(["", *found]))

    async def test_the_error_is_written_into_the_stream(self):
        statuses = (204, 302, 400, 404, 429, 500, 502, 503)
        await self.play(
            [break_and_fail(status, framing) for status in statuses for framing in Framing]
        )

    async def test_the_error_is_written_into_the_stream_of_an_older_caller(self):
        await self.play(
            [break_and_fail(status, framing) for status in (404, 500) for framing in Framing],
            version=b"1.0",
        )

    async def test_an_error_that_is_cut_off_is_written_into_the_stream(self):
        endings = (Ending.CLOSED, Ending.RESET)
        await self.play([break_and_fail(500, None, ending) for ending in endings])

    async def test_a_refusal_is_written_into_the_stream(self):
        broken = break_and_fail(500, None)[0]
        refusals = [AnswerScript(refused=True)] * 3
        extra = AnswerScript(refused=True, extra=Extra(ExtraTime.ADJACENT))
        await self.play([[broken, *refusals], [broken, extra, broken]])

    async def test_bytes_that_are_no_answer_are_written_into_the_stream(self):
        broken = break_and_fail(500, None)[0]
        await self.play(
            [
                [broken, AnswerScript(garbage=True)],
                [broken, AnswerScript(broken_at=BreakPoint.HEAD)],
                [broken, AnswerScript(status=500, extra=Extra(ExtraTime.ADJACENT))],
            ]
        )


class OddNumberTest(unittest.IsolatedAsyncioTestCase):
    """A backend server, or a caller, names numbers that are too large or none."""

    async def test_answers_are_lost_or_their_server_is_no_longer_picked(self):
        numbers = (b"9" * 400, b"9" * 5000, b"\xb2", b"-1", b"1e400", b"nan")
        names = (wire.LIMIT, wire.RETRY_AFTER, wire.LEAVING, wire.FAULTY_ADDRESS)
        odd = [(name, number) for name in names for number in numbers]
        odd += [(wire.LOAD, number + b",0,6") for number in numbers]
        odd += [(wire.LOAD, b"1," + number + b",6") for number in numbers]
        odd += [(b"keep-alive", b"timeout=" + number) for number in numbers]
        found = []
        for kind, header in itertools.product(("read", "once"), odd):
            async with Play(kind) as played:
                for server in played.servers:
                    server.usual = AnswerScript(header=header)
                for number in range(1 + FOLLOWING_REQUESTS):
                    received = await played.send(b"%s-%d" % (kind.encode(), number))
                    if received.status != 200 or not received.whole:
                        found.append(f"{kind} {header[0]} {header[1][:8]}: {received.raw[:80]}")
                        break
        self.assertFalse(found, "\n".join(["", *found]))

    async def test_a_caller_that_names_a_huge_number_keeps_others_from_being_served(self):
        async with Play("read") as played:
            for number in (400, 5000):
                huge = "9" * number
                await played.send(b"odd-%d" % number, **{"token-usage": f"{huge},{huge}"})
                await played.send(b"hint-%d" % number, **{"length-hint": huge})
                received = await played.send(b"sound-%d" % number)
                self.assertEqual((received.status, received.whole), (200, True), received)


class EarlyAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_answer_before_the_body_is_read_gets_only_the_rest_of_the_body(self):
        for kind in ("read", "book"):
            with self.subTest(kind=kind):
                async with Play(kind) as played:
                    for server in played.servers:
                        server.script = [AnswerScript(early=True)]
                    await self.send_long_requests(played)
                    self.assertEqual([server.unexpected for server in played.servers], [[], []])

    async def send_long_requests(self, played):
        for number in range(1 + FOLLOWING_REQUESTS):
            request_id = b"long-%d" % number
            body = request_id * (LONG_BODY_BYTES // len(request_id))
            received = await played.send(request_id, body)
            self.assertEqual(find_violation(request_id, received, False, EVENTS), "")
            self.assertTrue(received.whole, received)
        await played.expect_service()


class EndlessCase(unittest.IsolatedAsyncioTestCase):
    kinds: tuple[str, ...] = ()

    async def play_endless(self, endless):
        """Let both backend servers send without end; check memory, time and the caller's answer."""
        for kind in self.kinds:
            with self.subTest(kind=kind):
                async with Play(kind) as played:
                    for server in played.servers:
                        server.usual = AnswerScript(endless=endless)
                    await self.send_one(played, kind.encode())
                    for server in played.servers:
                        server.usual = AnswerScript()
                    await played.expect_service()

    async def send_one(self, played, request_id):
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before, _ = tracemalloc.get_traced_memory()
        deadline_ms = {"deadline-ms": int(ENDLESS_DEADLINE_S * 1000)}
        with anyio.move_on_after(ENDLESS_DEADLINE_S + CLOSE_SLACK_S) as in_time:
            received = await played.send(request_id, **deadline_ms)
            while any(server.open_connections for server in played.servers):
                await anyio.sleep(POLL_INTERVAL_S)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertFalse(in_time.cancelled_caught, "not answered and closed in time")
        self.assertEqual(find_violation(request_id, received, played.is_stream, EVENTS), "")
        self.assertFalse(received.status == 200 and received.whole, received.body[:80])
        self.assertLess(peak - before, MAX_HELD_BYTES)


class EndlessPlainAnswerTest(EndlessCase):
    kinds = ("read", "book")

    async def test_a_head_without_end(self):
        await self.play_endless(Endless.HEAD)

    async def test_a_header_line_without_end(self):
        await self.play_endless(Endless.HEADER_LINE)

    async def test_informational_heads_without_end(self):
        await self.play_endless(Endless.INFORMATIONAL_HEADS)

    async def test_a_chunked_body_without_end(self):
        await self.play_endless(Endless.CHUNKED_BODY)

    async def test_a_body_with_a_huge_length(self):
        await self.play_endless(Endless.LONG_BODY)

    async def test_an_unframed_body_without_end(self):
        await self.play_endless(Endless.UNFRAMED_BODY)

    async def test_a_chunk_extension_without_end(self):
        await self.play_endless(Endless.CHUNK_EXTENSION)

    async def test_trailers_without_end(self):
        await self.play_endless(Endless.TRAILERS)

    async def test_bytes_that_are_no_answer_without_end(self):
        await self.play_endless(Endless.GARBAGE)


class EndlessStreamTest(EndlessCase):
    kinds = STREAM_KINDS

    async def test_a_head_without_end(self):
        await self.play_endless(Endless.HEAD)

    async def test_informational_heads_without_end(self):
        await self.play_endless(Endless.INFORMATIONAL_HEADS)

    async def test_an_event_without_end(self):
        await self.play_endless(Endless.EVENT)

    async def test_an_unframed_event_without_end(self):
        await self.play_endless(Endless.UNFRAMED_EVENT)

    async def test_comments_without_end(self):
        await self.play_endless(Endless.COMMENTS)

    async def test_a_chunk_extension_without_end(self):
        await self.play_endless(Endless.CHUNK_EXTENSION)

    async def test_trailers_without_end(self):
        await self.play_endless(Endless.TRAILERS)


if __name__ == "__main__":
    unittest.main()
