"""Serves HTTP/1.1: one task for each connection, one request at a time."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio
import h11
from absl import logging

from bronzerudder.http1.sockets import Connection, TransportError, accept

LINGER_S = 1.0
"""Time in which a caller may read an answer before unread bytes of its request reset it."""
MAX_EARLY_BYTES = 65_536
"""Bytes of a following request that are read while one is being served."""
ACCEPT_RETRY_S = 0.05
"""Pause after a failed accept, as when descriptors have run out."""


class ServerLimits(NamedTuple):
    """What a caller may send, and how long it may take; sizes in bytes, times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


class Request(NamedTuple):
    """A request that was read whole; header names are in lower case."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Value of the first header of that name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class _BadRequest(NamedTuple):
    status: int
    reason: str


class _Closed(NamedTuple):
    reason: str


class ResponseWriter:
    """Writes the answer to one request."""

    def __init__(self, http: h11.Connection, connection: Connection, closing: bool) -> None:
        self._http = http
        self._connection = connection
        self._closing = closing
        self._failed = False
        self._status = 0

    @property
    def status(self) -> int:
        """Status sent so far; 0 before the head."""
        return self._status

    @property
    def failed(self) -> bool:
        """Whether the caller's connection broke."""
        return self._failed

    @property
    def finished(self) -> bool:
        """Whether the answer was sent whole."""
        return self._http.our_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the status line and headers."""
        self._status = status
        if self._closing:
            headers = [*headers, (b"connection", b"close")]
        await self._send(h11.Response(status_code=status, headers=headers))

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        """End the answer as complete."""
        await self._send(h11.EndOfMessage())

    async def respond(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Send a whole answer."""
        self._status = status
        length = (b"content-length", str(len(body)).encode())
        extra = [(b"connection", b"close")] if self._closing else []
        head = h11.Response(status_code=status, headers=[*headers, length, *extra])
        parts = [self._http.send(head), self._http.send(h11.Data(data=body))]
        parts.append(self._http.send(h11.EndOfMessage()))
        await self._write(b"".join(part for part in parts if part))

    def abort(self) -> None:
        """Reset the connection, so that the answer can't look complete."""
        self._failed = True
        self._connection.reset()

    async def _send(self, event: h11.Event) -> None:
        await self._write(self._http.send(event) or b"")

    async def _write(self, data: bytes) -> None:
        if self._failed or not data:
            return
        if await self._connection.send(data) is not None:
            self._failed = True


Handler = Callable[[Request, ResponseWriter], Awaitable[None]]


class HttpServer:
    """Serves connections of one or more listeners.

    Parameters
    ----------
    handler : callable
        Serves one request. It is cancelled when the caller leaves. If it returns without having
        finished the answer, the connection is closed so that the answer shows as cut.
    limits : callable
        Returns the limits in force.
    on_rejected : callable
        Takes the status and the reason of each request that could not be read.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], ServerLimits],
        on_rejected: Callable[[int, str], None] = lambda status, reason: None,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._on_rejected = on_rejected
        self._closing = False
        self._busy = 0
        self._connections: set[Connection] = set()
        self._idle: set[Connection] = set()
        self._listeners: list[socket.socket] = []
        self._stopped = False

    @property
    def busy(self) -> int:
        """Requests being read or served."""
        return self._busy

    @property
    def connection_count(self) -> int:
        """Open connections."""
        return len(self._connections)

    def close_after_answers(self) -> None:
        """Ask callers, with every answer from now on, to use another connection."""
        self._closing = True

    def stop_accepting(self) -> None:
        """Close the listeners and the idle connections; requests that are being served go on."""
        self._stopped = True
        for listener in self._listeners:
            anyio.notify_closing(listener)
            listener.close()
        for connection in list(self._idle):
            connection.close()

    async def serve(self, listener: socket.socket) -> None:
        """Accept and serve connections until cancelled, or told to stop accepting."""
        self._listeners.append(listener)
        async with anyio.create_task_group() as tasks:
            while True:
                try:
                    connection = await accept(listener)
                except anyio.ClosedResourceError:
                    return
                except OSError as error:
                    if self._stopped:
                        return
                    logging.error("accept failed: %s", error)
                    await anyio.sleep(ACCEPT_RETRY_S)
                    continue
                tasks.start_soon(self._serve_connection, connection)

    async def _serve_connection(self, connection: Connection) -> None:
        self._connections.add(connection)
        try:
            await _Session(self, connection).run()
        except Exception:
            # One connection's fault must not end the others.
            logging.exception("connection failed")
        finally:
            self._connections.discard(connection)
            self._idle.discard(connection)
            connection.close()


class _Session:
    """One connection's requests, in turn."""

    def __init__(self, server: HttpServer, connection: Connection) -> None:
        self._server = server
        self._connection = connection
        header_bytes = server._limits().header_bytes
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=header_bytes)
        self._early = b""
        self._gone = False

    async def run(self) -> None:
        while True:
            limits = self._server._limits()
            started = await self._wait_for_request(limits.idle_s)
            if not started:
                return
            self._server._busy += 1
            try:
                keep = await self._serve_one(limits)
            finally:
                self._server._busy -= 1
            if not keep:
                return

    async def _wait_for_request(self, idle_s: float) -> bool:
        """Wait for the first bytes of a request."""
        if self._early or self._http.trailing_data[0]:
            return True
        data: bytes | TransportError = b""
        idle = self._server._idle
        idle.add(self._connection)
        with anyio.move_on_after(idle_s):
            data = await self._connection.receive()
        idle.discard(self._connection)
        if isinstance(data, TransportError) or not data:
            return False
        self._early = data
        return True

    async def _serve_one(self, limits: ServerLimits) -> bool:
        request: Request | _BadRequest | _Closed = _BadRequest(408, "request not sent in time")
        with anyio.move_on_after(limits.header_s):
            request = await self._read_request(limits)
        if isinstance(request, _Closed):
            return False
        if isinstance(request, _BadRequest):
            self._server._on_rejected(request.status, request.reason)
            await self._reject(request)
            return False
        writer = ResponseWriter(self._http, self._connection, self._server._closing)
        await self._handle(request, writer)
        if self._gone or writer.failed or not writer.finished:
            return False
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            await self._linger()
            return False
        if self._server._closing:
            # The head may have gone out before this server was told to close.
            return False
        self._http.start_next_cycle()
        return True

    async def _handle(self, request: Request, writer: ResponseWriter) -> None:
        async with anyio.create_task_group() as tasks:

            async def watch_caller() -> None:
                while len(self._early) < MAX_EARLY_BYTES:
                    data = await self._connection.receive()
                    if isinstance(data, TransportError) or not data:
                        self._gone = True
                        tasks.cancel_scope.cancel()
                        return
                    self._early += data

            tasks.start_soon(watch_caller)
            try:
                await self._server._handler(request, writer)
            except Exception:
                logging.exception("handler failed")
                if not writer.status:
                    await writer.respond(500, [], b"internal error\n")
            tasks.cancel_scope.cancel()

    async def _read_request(self, limits: ServerLimits) -> Request | _BadRequest | _Closed:
        head: h11.Request | None = None
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, _BadRequest | _Closed):
                return event
            if isinstance(event, h11.Request):
                head = event
                wrong = _find_framing_fault(head, limits)
                if wrong is not None:
                    return wrong
                if self._http.they_are_waiting_for_100_continue:
                    go_on = h11.InformationalResponse(status_code=100, headers=[])
                    await self._connection.send(self._http.send(go_on))
                continue
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > limits.body_bytes:
                    return _BadRequest(413, f"body exceeds {limits.body_bytes} bytes")
                parts.append(bytes(event.data))
                continue
            if isinstance(event, h11.EndOfMessage) and head is not None:
                return Request(head.method, head.target, tuple(head.headers), b"".join(parts))
            return _Closed("connection ended")

    async def _next_event(self) -> h11.Event | _BadRequest | _Closed:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                return _BadRequest(error.error_status_hint, str(error))
            if event is h11.PAUSED:
                return _Closed("connection can not be reused")
            if event is not h11.NEED_DATA:
                return event
            data: bytes | TransportError = self._early
            self._early = b""
            if not data:
                data = await self._connection.receive()
            if isinstance(data, TransportError):
                return _Closed(data.reason)
            if not data and self._http.their_state is h11.IDLE:
                return _Closed("connection ended between requests")
            self._http.receive_data(data)

    async def _reject(self, bad: _BadRequest) -> None:
        """Answer a request that could not be read, and close, as framing may be lost."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        writer = ResponseWriter(self._http, self._connection, closing=True)
        await writer.respond(
            bad.status, [(b"content-type", b"text/plain")], f"{bad.reason}\n".encode()
        )
        await self._linger()

    async def _linger(self) -> None:
        """Let the caller read the answer before the connection closes."""
        self._connection.end_sending()
        with anyio.move_on_after(LINGER_S):
            while True:
                data = await self._connection.receive()
                if isinstance(data, TransportError) or not data:
                    return


def _find_framing_fault(head: h11.Request, limits: ServerLimits) -> _BadRequest | None:
    """Find what would let a request be read in two ways, or a body that is too large."""
    lengths = [value for name, value in head.headers if name == b"content-length"]
    if lengths and any(name == b"transfer-encoding" for name, _ in head.headers):
        return _BadRequest(400, "both Content-Length and Transfer-Encoding are given")
    if lengths and int(lengths[0]) > limits.body_bytes:
        return _BadRequest(413, f"body exceeds {limits.body_bytes} bytes")
    if not head.target.startswith(b"/"):
        return _BadRequest(400, "request target is not a path")
    return None
