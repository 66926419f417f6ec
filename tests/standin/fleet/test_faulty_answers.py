"""Tests of the stand-in that writes faulty answers."""

from __future__ import annotations

import asyncio
import unittest

import anyio

from bronzerudder.http1 import listen
from bronzerudder.platform import wire
from bronzerudder.standin.fleet import AnswerScript, FaultyAnswerServer
from bronzerudder.standin.fleet.answer_script import (
    EVENTS,
    FOREIGN_ID,
    GARBAGE,
    INFORMATIONAL_HEAD,
    LATER_EVENT,
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

TIMEOUT_S = 5.0
READ_BYTES = 65_536
ENDLESS_READ_BYTES = 1_000_000
ID = b"r1"
HEAD_START = b"HTTP/1.1 200 OK\r\n"
ALL_EVENTS = [event_of(ID, number) for number in range(1, EVENTS + 1)]


def write_request(path, request_id=ID, body=b"", last_event_id=b""):
    """Return the bytes of a request."""
    lines = [
        b"POST " + path + b" HTTP/1.1",
        b"host: h",
        wire.REQUEST_ID + b": " + request_id,
        wire.EXPECTED_INSTANCE + b": i-0",
        b"content-length: %d" % len(body),
    ]
    if last_event_id:
        lines.append(wire.LAST_EVENT_ID + b": " + last_event_id)
    return b"\r\n".join([*lines, b"", body])


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class FaultyAnswerCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = FaultyAnswerServer("i-0")
        listener = listen("127.0.0.1:0")
        self.address = listener.getsockname()
        serving = asyncio.create_task(self.server.serve(listener))
        self.addCleanup(listener.close)
        self.addAsyncCleanup(asyncio.gather, serving, return_exceptions=True)
        self.addCleanup(serving.cancel)

    async def open(self):
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        return reader, writer

    async def read_all(self, script, path=b"/read/", **changes):
        """Send one request; return all bytes until the connection ends."""
        self.server.script = [script]
        reader, writer = await self.open()
        writer.write(write_request(path, **changes))
        with anyio.fail_after(TIMEOUT_S):
            return await reader.read()

    async def read_body(self, script, path=b"/read/", **changes):
        """Send one request; return the bytes after the first head."""
        received = await self.read_all(script, path, **changes)
        self.assertTrue(received.startswith(HEAD_START), received)
        return received.partition(b"\r\n\r\n")[2]


class CompleteAnswerTest(FaultyAnswerCase):
    async def test_each_framing_carries_the_complete_answer(self):
        body = plain_body(ID)
        events = b"".join(ALL_EVENTS)
        chunked = b"".join(map(chunk, ALL_EVENTS)) + b"0\r\n\r\n"
        for framing, path, expected in (
            (Framing.LENGTH, b"/read/", body),
            (Framing.CONNECTION_END, b"/read/", body),
            (None, b"/stream/", chunked),
            (Framing.LENGTH, b"/stream/", events),
            (Framing.CONNECTION_END, b"/once/", events),
        ):
            script = AnswerScript(framing, Ending.CLOSED)
            self.assertEqual(await self.read_body(script, path), expected, (framing, path))

    async def test_a_stream_is_resumed_after_the_last_event(self):
        script = AnswerScript(Framing.CONNECTION_END)
        received = await self.read_body(script, b"/stream/", last_event_id=b"10")
        self.assertEqual(received, b"".join(ALL_EVENTS[10:]))

    async def test_a_kept_connection_serves_further_requests_by_the_script(self):
        reader, writer = await self.open()
        self.server.script = [AnswerScript(), AnswerScript(ending=Ending.CLOSED)]
        writer.write(write_request(b"/read/", b"r1"))
        with anyio.fail_after(TIMEOUT_S):
            await reader.readuntil(plain_body(b"r1"))
            writer.write(write_request(b"/read/", b"r2"))
            self.assertTrue((await reader.read()).endswith(plain_body(b"r2")))
        ids = [run.header(wire.REQUEST_ID) for run in self.server.runs]
        self.assertEqual((ids, len(self.server.run_at_s)), ([b"r1", b"r2"], 2))

    async def test_a_request_for_another_instance_is_refused(self):
        self.server.instance_id = "i-9"
        reader, writer = await self.open()
        writer.write(write_request(b"/read/"))
        with anyio.fail_after(TIMEOUT_S):
            self.assertTrue((await reader.readline()).startswith(b"HTTP/1.1 421"))
        self.assertEqual(self.server.runs, [])


class BrokenAnswerTest(FaultyAnswerCase):
    async def test_a_stream_breaks_off_at_each_point(self):
        before = b"".join(ALL_EVENTS[: LATER_EVENT - 1])
        for point, expected in (
            (BreakPoint.FIRST_ID_LINE, b"id: 1"),
            (BreakPoint.FIRST_EVENT, b"id: 1\ndata: <r1> "),
            (BreakPoint.BETWEEN_EVENTS, before),
            (BreakPoint.LATER_ID_LINE, before + b"id: 1"),
            (BreakPoint.LATER_EVENT, before + b"id: 11\ndata: <r1> "),
        ):
            script = AnswerScript(Framing.CONNECTION_END, broken_at=point)
            self.assertEqual(await self.read_body(script, b"/stream/"), expected, point)

    async def test_a_plain_answer_breaks_off_in_its_head_or_body(self):
        received = await self.read_all(AnswerScript(broken_at=BreakPoint.HEAD))
        self.assertTrue(received and b"\r\n\r\n" not in received, received)
        received = await self.read_body(AnswerScript(broken_at=BreakPoint.BODY))
        self.assertEqual(received, plain_body(ID)[: len(plain_body(ID)) // 2])

    async def test_a_connection_ends_with_a_reset(self):
        with self.assertRaises(ConnectionResetError):
            await self.read_all(AnswerScript(Framing.CONNECTION_END, Ending.RESET))

    async def test_an_unframed_plain_answer_breaks_off_with_a_reset(self):
        with self.assertRaises(ConnectionResetError):
            await self.read_all(AnswerScript(Framing.CONNECTION_END, broken_at=BreakPoint.BODY))

    async def test_bytes_that_are_no_answer(self):
        received = await self.read_all(AnswerScript(garbage=True, ending=Ending.CLOSED))
        self.assertEqual(received, GARBAGE)


class ExtraAnswerTest(FaultyAnswerCase):
    async def test_an_extra_answer_follows_the_first_on_its_connection(self):
        for extra_time in (ExtraTime.ADJACENT, ExtraTime.IDLE):
            for extra_id, extra_body, shown in (
                (ExtraId.SAME, plain_body(ID), wire.REQUEST_ID + b": " + ID),
                (ExtraId.OTHER, plain_body(FOREIGN_ID), wire.REQUEST_ID + b": " + FOREIGN_ID),
                (ExtraId.NONE, plain_body(ID), b""),
            ):
                for framing in (Framing.LENGTH, Framing.CONNECTION_END):
                    script = AnswerScript(framing, Ending.CLOSED, extra=Extra(extra_time, extra_id))
                    received = await self.read_all(script)
                    _, _, second = received[len(HEAD_START) :].partition(HEAD_START)
                    self.assertIn(extra_body, second)
                    head = second.partition(b"\r\n\r\n")[0]
                    self.assertEqual(wire.REQUEST_ID in head, bool(shown))
                    self.assertIn(shown, head)

    async def test_a_late_extra_answer_comes_before_the_next_answer(self):
        reader, writer = await self.open()
        late = Extra(ExtraTime.LATE, ExtraId.SAME, Framing.CONNECTION_END)
        self.server.script = [AnswerScript(extra=late), AnswerScript(ending=Ending.CLOSED)]
        writer.write(write_request(b"/read/", b"r1"))
        with anyio.fail_after(TIMEOUT_S):
            await reader.readuntil(plain_body(b"r1"))
            writer.write(write_request(b"/read/", b"r2"))
            received = await reader.read()
        late_answer, _, answer = received[len(HEAD_START) :].partition(HEAD_START)
        self.assertTrue(late_answer.endswith(plain_body(b"r1")))
        self.assertNotIn(b"content-length", late_answer)
        self.assertTrue(answer.endswith(plain_body(b"r2")))


class EndlessAnswerTest(FaultyAnswerCase):
    async def test_each_endless_answer_goes_on_until_the_peer_closes(self):
        for endless in Endless:
            self.server.script = [AnswerScript(endless=endless)]
            reader, writer = await self.open()
            writer.write(write_request(b"/stream/"))
            received = b""
            with anyio.fail_after(TIMEOUT_S):
                while len(received) < ENDLESS_READ_BYTES:
                    block = await reader.read(READ_BYTES)
                    self.assertTrue(block, endless)
                    received += block
                writer.close()
                while self.server.open_connections:
                    await anyio.sleep(0.01)
            if endless not in (Endless.GARBAGE, Endless.INFORMATIONAL_HEADS):
                self.assertTrue(received.startswith(HEAD_START), endless)
            ends_head = endless not in (Endless.HEAD, Endless.HEADER_LINE)
            self.assertEqual(b"\r\n\r\n" in received, ends_head, endless)

    async def test_informational_heads_come_before_the_answer(self):
        script = AnswerScript(informational_heads=50, ending=Ending.CLOSED)
        received = await self.read_all(script)
        self.assertTrue(received.startswith(INFORMATIONAL_HEAD * 50 + HEAD_START))


class EarlyAnswerTest(FaultyAnswerCase):
    async def refuse_early(self, body):
        """Send a request in two parts with its refusal in between, then a second request."""
        self.server.script = [AnswerScript(early=True), AnswerScript(ending=Ending.CLOSED)]
        reader, writer = await self.open()
        request = write_request(b"/read/", body=ID * 1000)
        writer.write(request[:-1000])
        with anyio.fail_after(TIMEOUT_S):
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertTrue(head.startswith(b"HTTP/1.1 503"), head)
            self.assertIn(wire.NOT_EXECUTED, head)
            writer.write(body + write_request(b"/read/", b"r2"))
            writer.write_eof()
            return await reader.read()

    async def test_the_rest_of_the_body_is_read_after_the_answer(self):
        self.assertTrue((await self.refuse_early(ID * 500)).endswith(plain_body(b"r2")))
        self.assertEqual(self.server.unexpected, [])

    async def test_bytes_in_place_of_the_rest_of_the_body_are_recorded(self):
        await self.refuse_early(b"")
        self.assertIn(b"POST /read/", self.server.unexpected[0])


if __name__ == "__main__":
    unittest.main()
