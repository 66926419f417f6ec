"""A stand-in for a backend server of the platform."""

from __future__ import annotations

import enum
import time
from collections.abc import Callable
from typing import NamedTuple

import anyio

from bronzerudder.http1 import Request, ResponseWriter, ServerLimits
from bronzerudder.platform import wire
from bronzerudder.standin.fleet.rate_limit import NamedLimit
from bronzerudder.standin.fleet.restartable import RestartableServer

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


class CrashPlan(NamedTuple):
    """Which requests crash the backend server, and how.

    Parameters
    ----------
    parts : frozenset of str
        Ids of prompt parts. A request crashes the server if any part of its prompt but the last one
        is among them.
    delay_s : float
        Time from the start of the answer to the crash, in seconds.
    down_s : float
        Time until the server is back at its address, in seconds.
    after_first_event : bool
        Whether the first event of a stream is sent before the crash.
    new_instance : bool
        Whether the server comes back with another instance id.
    """

    parts: frozenset[str] = frozenset()
    delay_s: float = 0.01
    down_s: float = 0.5
    after_first_event: bool = False
    new_instance: bool = False

    def crashes_on(self, request: Request) -> bool:
        """Return whether a request crashes the server once its answer begins."""
        return not self.parts.isdisjoint(prompt_part_ids(request)[:-1])


class CrashingArrival(NamedTuple):
    """A request with a crashing prompt part that reached the server, at a monotonic time."""

    request: Request
    at_s: float


def prompt_part_ids(request: Request) -> list[str]:
    """Return the ids of the parts of a request's prompt, in order."""
    entries = (request.header(wire.PROMPT_PARTS) or b"").decode("latin-1").split(",")
    return [entry.partition(":")[0].strip().lower() for entry in entries if entry.strip()]


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
    crash_plan : CrashPlan
        Requests that crash it; none at first.
    crash_at_s : list of float
        Monotonic times of its crashes.
    crashing_arrivals : list of CrashingArrival
        Requests with a crashing prompt part that reached it, whether it ran them or not.
    on_new_instance : callable
        Called after a crash with its old instance id if `instance_id` has changed.
    server : RestartableServer
        Serves it; a crash takes this server down.
    limit : NamedLimit
        The rate that it names as its limit, and the requests that reached it.
    answer_delay_s : float
        Time that it takes for a plain answer.
    leaving : bool
        Whether it announces in all its answers that it leaves.
    pauses : list of bytes
        Values of the header with which it asks for a pause when it sheds a request.
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
        self.crash_plan = CrashPlan()
        self.crash_at_s: list[float] = []
        self.crashing_arrivals: list[CrashingArrival] = []
        self.on_new_instance: Callable[[str], None] = lambda old_id: None
        self.server = RestartableServer(self.handle, ServerLimits)
        self._base_id = instance_id
        self.limit = NamedLimit()
        self.answer_delay_s = 0.0
        self.leaving = False
        self.pauses: list[bytes] = []

    async def handle(self, request: Request, writer: ResponseWriter) -> None:
        """Serve one request."""
        if self.crash_plan.crashes_on(request):
            self.crashing_arrivals.append(CrashingArrival(request, time.monotonic()))
        expected = request.header(wire.EXPECTED_INSTANCE)
        request_id = (request.header(wire.REQUEST_ID) or b"").decode()
        self.limit.record_arrival(request_id)
        headers = [(wire.LOAD, b"1,0,6"), *self.limit.headers(request_id)]
        if self.leaving:
            headers.append((wire.LEAVING, b"1"))
        if expected != self.instance_id.encode():
            await writer.respond(wire.STATUS_NOT_THIS_INSTANCE, headers, b"")
            return
        behaviour = self.script.pop(0) if self.script else self.usual
        if behaviour is Behaviour.SHED:
            shed = [*headers, (wire.REQUEST_ID, request_id.encode()), (wire.NOT_EXECUTED, b"1")]
            shed.extend((wire.RETRY_AFTER, value) for value in self.pauses)
            await writer.respond(503, shed, b"")
            return
        self.runs.append(request)
        self.run_at_s.append(time.monotonic())
        self.running += 1
        try:
            if self.crash_plan.crashes_on(request):
                await self._crash_while_answering(request, writer)
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
        await anyio.sleep(self.answer_delay_s)
        await writer.respond(200, headers, b"from " + self.instance_id.encode())

    async def _crash_while_answering(self, request: Request, writer: ResponseWriter) -> None:
        """Crash during the answer to a request; does not return."""
        plan = self.crash_plan
        if request.target.startswith(EVENT_STREAM_PATHS):
            headers = [
                (wire.REQUEST_ID, request.header(wire.REQUEST_ID) or b""),
                (wire.SIGNATURE, b"signed"),
                (b"content-type", b"text/event-stream"),
            ]
            await writer.start(200, headers)
            if plan.after_first_event:
                await writer.write(_event(_first_event_number(request)))
        await anyio.sleep(plan.delay_s)
        self.crash()
        # The crash cancels this request with all others.
        await anyio.sleep_forever()

    def crash(self) -> None:
        """Crash now, and be back after the time that `crash_plan` sets."""
        self.crash_at_s.append(time.monotonic())
        if self.crash_plan.new_instance:
            old_id = self.instance_id
            self.instance_id = f"{self._base_id}-{len(self.crash_at_s)}"
            self.on_new_instance(old_id)
        self.server.crash(self.crash_plan.down_s)

    async def _stream(
        self,
        request: Request,
        writer: ResponseWriter,
        behaviour: Behaviour,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        first = _first_event_number(request)
        await writer.start(200, [*headers, (b"content-type", b"text/event-stream")])
        for number in range(first, EVENTS + 1):
            await anyio.sleep(self.event_gap_s)
            event = _event(number)
            if behaviour is Behaviour.TRUNCATED and number == first + 2:
                await writer.write(event[:5])
                return
            await writer.write(event)
        await writer.finish()


def _first_event_number(request: Request) -> int:
    return int(request.header(wire.LAST_EVENT_ID) or b"0") + 1


def _event(number: int) -> bytes:
    return f"id: {number}\ndata: {number}\n\n".encode()
