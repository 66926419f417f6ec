"""A stand-in backend server that writes its answers byte by byte, to play faulty ones."""

from __future__ import annotations

import socket
import time

import anyio
import h11

from bronzerudder.http1 import Connection, Request, TransportError
from bronzerudder.http1.sockets import accept
from bronzerudder.platform import wire
from bronzerudder.standin.fleet.answer_script import (
    GARBAGE,
    INFORMATIONAL_HEAD,
    SOUND,
    AnswerBytes,
    AnswerScript,
    Ending,
    Endless,
    ExtraTime,
)

EVENT_GAP_S = 0.001
EXTRA_DELAY_S = 0.02
"""Time after an answer at which an extra answer arrives while the connection is idle."""
EARLY_READ_DELAY_S = 0.3
"""Time after an early answer at which the rest of the request's body is read."""
ENDLESS_BLOCK_BYTES = 65_536
ENDLESS_GAP_S = 0.002
MAX_ENDLESS_BYTES = 64 * 1024 * 1024
"""After so many bytes an endless answer pauses until the peer closes the connection."""
MAX_REQUEST_HEAD_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 16_384
"""Small, so that the kernel does not take a long body before it is read."""


class FaultyAnswerServer:
    """Answers requests as scripted, and records those that it ran.

    Attributes
    ----------
    instance_id : str
        Its id; requests for another instance are refused.
    script : list of AnswerScript
        For the next requests, in order; then `usual` applies.
    usual : AnswerScript
        For requests beyond the script.
    runs : list of Request
        Requests that it started.
    run_at_s : list of float
        Monotonic start times of these requests.
    endless_bytes : int
        Bytes sent in endless answers.
    open_connections : int
        Connections that neither side has closed.
    unexpected : list of bytes
        Bodies received after an early answer that do not consist of the repeated request id.
    """

    def __init__(self, instance_id: str) -> None:
        self.instance_id = instance_id
        self.script: list[AnswerScript] = []
        self.usual = SOUND
        self.runs: list[Request] = []
        self.run_at_s: list[float] = []
        self.endless_bytes = 0
        self.open_connections = 0
        self.unexpected: list[bytes] = []

    @property
    def server(self) -> FaultyAnswerServer:
        """What serves its listener; like the attribute of `StandinBackendServer`."""
        return self

    async def serve(self, listener: socket.socket) -> None:
        """Accept and serve connections until cancelled."""
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        async with anyio.create_task_group() as tasks:
            while True:
                tasks.start_soon(self._serve_connection, await accept(listener))

    def next_script(self) -> AnswerScript:
        """Take the script for a request that has arrived."""
        return self.script.pop(0) if self.script else self.usual

    async def _serve_connection(self, connection: Connection) -> None:
        self.open_connections += 1
        try:
            await _ScriptedConnection(self, connection).run()
        finally:
            self.open_connections -= 1
            connection.close()


class _ScriptedConnection:
    """Serves the requests of one connection, one after another."""

    def __init__(self, server: FaultyAnswerServer, connection: Connection) -> None:
        self._server = server
        self._connection = connection
        self._parser = h11.Connection(h11.SERVER)
        self._late_answer = b""

    async def run(self) -> None:
        while True:
            pipelined, _ = self._parser.trailing_data
            self._parser = h11.Connection(
                h11.SERVER, max_incomplete_event_size=MAX_REQUEST_HEAD_BYTES
            )
            if pipelined:
                self._parser.receive_data(pipelined)
            head = await self._next_event()
            if not isinstance(head, h11.Request):
                return
            if not await self._serve(head):
                return

    async def _serve(self, head: h11.Request) -> bool:
        """Answer one request; return whether the connection can be used for another."""
        headers = dict(head.headers)
        expected = headers.get(wire.EXPECTED_INSTANCE, b"")
        if expected != self._server.instance_id.encode():
            await self._read_body()
            refusal = f"HTTP/1.1 {wire.STATUS_NOT_THIS_INSTANCE} -\r\ncontent-length: 0\r\n\r\n"
            return await self._send(refusal.encode())
        script = self._server.next_script()
        if script.early:
            return await self._refuse_early(head)
        body, complete = await self._read_body()
        if not complete:
            return False
        request = Request(head.method, head.target, tuple(head.headers), body)
        if script.refused:
            return await self._refuse(AnswerBytes(request, script), script)
        self._server.runs.append(request)
        self._server.run_at_s.append(time.monotonic())
        if not await self._send_late_answer():
            return False
        return await self._answer(AnswerBytes(request, script), script)

    async def _answer(self, answer: AnswerBytes, script: AnswerScript) -> bool:
        if not await self._send(INFORMATIONAL_HEAD * script.informational_heads):
            return False
        if script.garbage:
            await self._send(GARBAGE)
            return await self._end(script.ending)
        if script.endless is not None:
            await self._send_endlessly(answer, script.endless)
            return False
        pieces = answer.pieces()
        extra = script.extra
        if extra is None:
            sent = await self._send_pieces(pieces)
        else:
            sent = await self._send_twice(pieces, answer.extra(extra), extra.time)
        return sent and await self._end(answer.ending)

    async def _refuse(self, answer: AnswerBytes, script: AnswerScript) -> bool:
        """Refuse a request that was read; the connection is kept."""
        if not await self._send_late_answer():
            return False
        refusal = answer.refusal()
        if script.extra is None:
            return await self._send(refusal)
        return await self._send_twice([refusal], refusal, script.extra.time)

    async def _send_late_answer(self) -> bool:
        late, self._late_answer = self._late_answer, b""
        return await self._send(late)

    async def _send_pieces(self, pieces: list[bytes]) -> bool:
        for number, piece in enumerate(pieces):
            if number:
                await anyio.sleep(EVENT_GAP_S)
            if not await self._send(piece):
                return False
        return True

    async def _send_twice(self, pieces: list[bytes], extra: bytes, extra_time: ExtraTime) -> bool:
        """Send an answer and an extra one."""
        if extra_time is ExtraTime.ADJACENT:
            return await self._send_pieces([*pieces[:-1], pieces[-1] + extra])
        if not await self._send_pieces(pieces):
            return False
        if extra_time is ExtraTime.LATE:
            self._late_answer = extra
            return True
        await anyio.sleep(EXTRA_DELAY_S)
        if extra_time is ExtraTime.IDLE:
            await self._send(extra)
            return True
        self._late_answer = extra[len(extra) // 2 :]
        return await self._send(extra[: len(extra) // 2])

    async def _refuse_early(self, head: h11.Request) -> bool:
        """Refuse a request before its body is read; the connection is kept and read on later."""
        request_id = dict(head.headers).get(wire.REQUEST_ID, b"")
        lines = [b"HTTP/1.1 503 -", wire.REQUEST_ID + b": " + request_id]
        lines += [wire.NOT_EXECUTED + b": 1", b"content-length: 0", b"", b""]
        if not await self._send(b"\r\n".join(lines)):
            return False
        await anyio.sleep(EARLY_READ_DELAY_S)
        body, complete = await self._read_body()
        expected = request_id * (1 + len(body) // max(1, len(request_id)))
        if not expected.startswith(body):
            self._server.unexpected.append(body)
        return complete

    async def _send_endlessly(self, answer: AnswerBytes, endless: Endless) -> None:
        """Send until the peer closes the connection."""
        stream = answer.endless(endless)
        if not await self._send(stream.prefix):
            return
        block = stream.repeated * max(1, ENDLESS_BLOCK_BYTES // len(stream.repeated))
        sent = 0
        while sent < MAX_ENDLESS_BYTES:
            if not await self._send(block):
                return
            sent += len(block)
            self._server.endless_bytes += len(block)
            await anyio.sleep(ENDLESS_GAP_S)
        await self._connection.receive()

    async def _end(self, ending: Ending) -> bool:
        if ending is Ending.RESET:
            self._connection.reset()
        if ending is Ending.CLOSED:
            self._connection.end_sending()
            await self._connection.receive()
        return ending is Ending.KEPT

    async def _send(self, data: bytes) -> bool:
        return not data or await self._connection.send(data) is None

    async def _read_body(self) -> tuple[bytes, bool]:
        """Read the rest of the request; return its body, and whether that is complete."""
        chunks = []
        while True:
            event = await self._next_event()
            if event is None or isinstance(event, h11.ConnectionClosed):
                return b"".join(chunks), False
            if isinstance(event, h11.EndOfMessage):
                return b"".join(chunks), True
            if isinstance(event, h11.Data):
                chunks.append(bytes(event.data))

    async def _next_event(self) -> h11.Event | None:
        """Return the next event of the request; None if the connection or its syntax fails."""
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                self._server.unexpected.append(str(error).encode())
                return None
            if event is h11.PAUSED:
                return None
            if event is not h11.NEED_DATA:
                return event
            data = await self._connection.receive()
            if isinstance(data, TransportError) or not data:
                return None
            self._parser.receive_data(data)
