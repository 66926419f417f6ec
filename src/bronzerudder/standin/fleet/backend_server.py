"""A stand-in for a backend server of the platform."""

from __future__ import annotations

import enum
import time

import anyio

from bronzerudder.http1 import HttpServer, Request, ResponseWriter, ServerLimits
from bronzerudder.platform import wire

EVENTS = 6
EVENT_GAP_S = 0.01
EVENT_STREAM_PATHS = (b"/stream/", b"/once/")


class Behaviour(enum.Enum):
    """How the backend server handles a request.

    ``ERROR`` answers with status 500. ``SHED`` refuses the request as not executed, ``BARE_503``
    without saying so. ``RESET`` resets the connection, ``UNRESPONSIVE`` never answers, and
    ``TRUNCATED`` ends the answer early. ``UNSIGNED``, ``WRONG_REQUEST_ID`` and ``ENCODED`` answer
    without a signature, with another request's id, or with a content encoding.
    """

    ANSWER = "answer"
    ERROR = "error"
    SHED = "shed"
    RESET = "reset"
    UNRESPONSIVE = "mute"
    TRUNCATED = "cut"
    UNSIGNED = "unsigned"
    WRONG_REQUEST_ID = "foreign"
    ENCODED = "encoded"
    BARE_503 = "bare-503"


class StandinBackendServer:
    """Handles requests as scripted, and records those that it ran.

    Attributes
    ----------
    instance_id : str
        Its id; requests for another instance are refused.
    script : list of Behaviour
        For the next requests, in order; then `usual` applies.
    usual : Behaviour
        For requests beyond the script.
    runs : list of Request
        Requests that it started.
    run_at_s : list of float
        Monotonic start times of these requests.
    cancelled : int
        Requests whose connection closed while they were running.
    running : int
        Requests that are running.
    event_gap_s : float
        Pause before each event of a stream.
    """

    def __init__(self, instance_id: str) -> None:
        self.instance_id = instance_id
        self.script: list[Behaviour] = []
        self.usual = Behaviour.ANSWER
        self.runs: list[Request] = []
        self.run_at_s: list[float] = []
        self.cancelled = 0
        self.event_gap_s = EVENT_GAP_S
        self.running = 0
        self.server = HttpServer(self.handle, ServerLimits)

    async def handle(self, request: Request, writer: ResponseWriter) -> None:
        """Serve one request."""
        expected = request.header(wire.EXPECTED_INSTANCE)
        headers = [(wire.LOAD, b"1,0,6")]
        if expected != self.instance_id.encode():
            await writer.respond(wire.STATUS_NOT_THIS_INSTANCE, headers, b"")
            return
        behaviour = self.script.pop(0) if self.script else self.usual
        if behaviour is Behaviour.SHED:
            await writer.respond(503, [*headers, (wire.NOT_EXECUTED, b"1")], b"")
            return
        self.runs.append(request)
        self.run_at_s.append(time.monotonic())
        self.running += 1
        try:
            await self._run(request, writer, behaviour, headers)
        except anyio.get_cancelled_exc_class():
            self.cancelled += 1
            raise
        finally:
            self.running -= 1

    async def _run(
        self,
        request: Request,
        writer: ResponseWriter,
        behaviour: Behaviour,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        headers = [*headers, (wire.REQUEST_ID, request.header(wire.REQUEST_ID) or b"")]
        if behaviour is Behaviour.WRONG_REQUEST_ID:
            headers[-1] = (wire.REQUEST_ID, b"another-request")
        if behaviour is not Behaviour.UNSIGNED:
            headers.append((wire.SIGNATURE, b"signed"))
        if behaviour is Behaviour.ENCODED:
            headers.append((b"content-encoding", b"gzip"))
        if behaviour is Behaviour.RESET:
            writer.abort()
            return
        if behaviour is Behaviour.UNRESPONSIVE:
            await anyio.sleep_forever()
        if behaviour is Behaviour.BARE_503:
            await writer.respond(503, headers, b"")
            return
        if behaviour is Behaviour.ERROR:
            await writer.respond(500, headers, b"failed")
            return
        if request.target.startswith(EVENT_STREAM_PATHS):
            await self._stream(request, writer, behaviour, headers)
            return
        if behaviour is Behaviour.TRUNCATED:
            await writer.start(200, [*headers, (b"content-length", b"100")])
            await writer.write(b"half")
            return
        await writer.respond(200, headers, b"from " + self.instance_id.encode())

    async def _stream(
        self,
        request: Request,
        writer: ResponseWriter,
        behaviour: Behaviour,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        first = int(request.header(wire.LAST_EVENT_ID) or b"0") + 1
        await writer.start(200, [*headers, (b"content-type", b"text/event-stream")])
        for number in range(first, EVENTS + 1):
            await anyio.sleep(self.event_gap_s)
            event = f"id: {number}\ndata: {number}\n\n".encode()
            if behaviour is Behaviour.TRUNCATED and number == first + 2:
                await writer.write(event[:5])
                return
            await writer.write(event)
        await writer.finish()
