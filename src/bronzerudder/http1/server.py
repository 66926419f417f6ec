"""HTTP/1.1 server: one task per connection, one request at a time.

It guards against slow or oversized requests, request smuggling through ambiguous framing, work for
callers that have disconnected, and answers that look complete though they were cut short.
"""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio
import anyio.lowlevel
import h11
from absl import logging

from bronzerudder.http1.sockets import Connection, TransportError, accept
from bronzerudder.intake import HTTP1_PROCESS_SIZE, Account, CallerState, Intake, find_limits

LINGERING_CLOSE_S = 1.0
"""Time for which data of the caller is still read after the last answer of a connection. Closing
with unread bytes would reset the connection, and the caller could lose the answer."""
MAX_READ_AHEAD_BYTES = 65_536
"""Bytes of pipelined requests that are buffered while a request is being served."""
CHUNKS_BETWEEN_PAUSES = 64
"""Chunks of a body that are parsed before other tasks run; one read can hold 11,000."""
DISCONNECT_CHECK_INTERVAL_S = 0.1
"""Interval of the checks for a disconnect once no more bytes are buffered."""
ACCEPT_RETRY_S = 0.05
"""Pause after a failed accept, such as when the process has no file descriptors left."""
ACCEPTS_BETWEEN_PAUSES = 16
"""Connections that are accepted before other tasks run; callers may connect without end."""
WRITE_BYTES = 65_536
"""Part of an answer that is sent at a time, so that progress of a slow caller is seen."""
RETRY_AFTER_S = 1.0
"""When to retry a request for which there was no room; stalled requests are ended by then."""


STATUS_NO_ROOM = 503


class ServerLimits(NamedTuple):
    """What a caller may send, and how long it may take.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Maximum sizes; larger requests are rejected.
    header_timeout_s : float
        Time from the first bytes of a request in which all of it, body included, must be received.
    idle_timeout_s : float
        Time for which a connection may wait for a request.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Request(NamedTuple):
    """A complete request; header names are in lower case."""

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

    @property
    def is_shortage(self) -> bool:
        """Whether there was no room for the request, so that a retry may succeed."""
        return self.status == STATUS_NO_ROOM


class _Closed(NamedTuple):
    reason: str


class ResponseWriter:
    """Writes the answer to one request.

    Parameters
    ----------
    http : h11.Connection
        Encodes the answer.
    connection : Connection
        Connection to the caller.
    closing : bool
        Whether the connection is closed after the answer.
    account : Account
        Counts the bytes that the caller has not taken yet.
    has_body : bool
        Whether the body is sent; answers to HEAD requests have none.
    """

    def __init__(
        self,
        http: h11.Connection,
        connection: Connection,
        closing: bool,
        account: Account,
        has_body: bool = True,
    ) -> None:
        self._account = account
        self._http = http
        self._has_body = has_body
        self._connection = connection
        self._closing = closing
        self._failed = False
        self._sending = False
        self._status = 0

    @property
    def status(self) -> int:
        """Status of the answer; 0 until its head is sent."""
        return self._status

    @property
    def failed(self) -> bool:
        """Whether the connection to the caller failed or was reset."""
        return self._failed

    @property
    def finished(self) -> bool:
        """Whether the answer was sent completely."""
        if self._sending:
            # A write was cancelled, perhaps midway.
            return False
        return self._http.our_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the status line and headers."""
        self._status = status
        if self._closing:
            headers = [*headers, (b"connection", b"close")]
        await self._send(h11.Response(status_code=status, headers=headers))

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body."""
        if self._has_body:
            await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        """Mark the end of the answer, which makes it complete."""
        await self._send(h11.EndOfMessage())

    async def respond(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Send a complete answer."""
        self._status = status
        length = (b"content-length", str(len(body)).encode())
        extra = [(b"connection", b"close")] if self._closing else []
        head = h11.Response(status_code=status, headers=[*headers, length, *extra])
        sent_body = body if self._has_body else b""
        data = self._http.send(head)
        if sent_body:
            self._http.send_with_data_passthrough(h11.Data(data=sent_body))
        self._http.send(h11.EndOfMessage())
        if len(sent_body) <= WRITE_BYTES:
            await self._write(data + sent_body)
            return
        # Not joined, as that would hold a long answer twice.
        await self._write(data)
        await self._write(sent_body)

    def abort(self) -> None:
        """Reset the connection, so that the caller cannot take the answer for complete."""
        self._failed = True
        self._connection.reset()

    async def _send(self, event: h11.Event) -> None:
        await self._write(self._http.send(event) or b"")

    async def _write(self, data: bytes) -> None:
        if self._failed or not data:
            return
        self._sending = True
        account = self._account
        state = account.state
        unsent = memoryview(data)
        account.enter(CallerState.SENDING)
        account.add(len(unsent))
        try:
            while unsent and not self._failed:
                account.enter(CallerState.SENDING)
                part = unsent[:WRITE_BYTES]
                self._failed = await self._connection.send(part) is not None
                account.add(-len(part))
                unsent = unsent[len(part) :]
        finally:
            account.add(-len(unsent))
            if account.state is CallerState.SENDING:
                account.enter(state)
        self._sending = False


Handler = Callable[[Request, ResponseWriter], Awaitable[None]]


class HttpServer:
    """Serves connections of one or more listeners.

    Parameters
    ----------
    handler : callable
        Serves one request. It is cancelled when the caller disconnects. If it returns before the
        answer is finished, the connection is closed, so that the caller sees an incomplete answer.
    limits : callable
        Returns the current limits.
    on_rejected : callable
        Called with status and reason for each request that is invalid, too large or too slow.
    intake : Intake or None
        Bounds what the process holds; a new one with the default limits if it is None.
    max_connections : int or None
        Connections of this server; as the intake allows if it is None.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], ServerLimits],
        on_rejected: Callable[[int, str], None] = lambda status, reason: None,
        intake: Intake | None = None,
        max_connections: int | None = None,
    ) -> None:
        self._intake = Intake(find_limits(None, HTTP1_PROCESS_SIZE)) if intake is None else intake
        self._max_connections = max_connections or self._intake.limits.connections
        self._connections: dict[Connection, _Session] = {}
        self._handler = handler
        self._limits = limits
        self._on_rejected = on_rejected
        self._closing = False
        self._busy = 0
        self._idle: set[Connection] = set()
        self._listeners: list[socket.socket] = []
        self._stopped = False

    @property
    def busy(self) -> int:
        """Number of requests being read or served."""
        return self._busy

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def close_after_answers(self) -> None:
        """Close each connection after its next answer, and send ``Connection: close`` with it."""
        self._closing = True

    def stop_accepting(self) -> None:
        """Close the listeners and the idle connections; requests in flight continue."""
        self._stopped = True
        for listener in self._listeners:
            anyio.notify_closing(listener)
            listener.close()
        for connection in list(self._idle):
            connection.close()

    async def serve(self, listener: socket.socket) -> None:
        """Accept and serve connections until cancelled, or until `stop_accepting` is called."""
        self._listeners.append(listener)
        accepted = 0
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
                    self._end_longest_waiting(f"accept failed: {error.strerror}")
                    await anyio.sleep(ACCEPT_RETRY_S)
                    continue
                accepted += 1
                is_full = len(self._connections) >= self._max_connections
                if is_full or accepted % ACCEPTS_BETWEEN_PAUSES == 0:
                    # Connections are served before further ones take their places.
                    await anyio.lowlevel.checkpoint()
                if not self._make_room_for_connection():
                    connection.close()
                    continue
                session = _Session(self, connection)
                self._connections[connection] = session
                tasks.start_soon(self._serve_connection, session, connection)

    def _make_room_for_connection(self) -> bool:
        """End connections that wait for their callers until one more is allowed."""
        reason = f"{self._max_connections} connections are open"
        while len(self._connections) >= self._max_connections:
            if not self._end_longest_waiting(reason):
                self._intake.report_refused(0, f"{reason}, and all serve requests")
                return False
        return True

    def _end_longest_waiting(self, reason: str) -> bool:
        accounts = [session.account for session in self._connections.values()]
        return self._intake.end_longest_waiting(accounts, reason)

    def _forget(self, connection: Connection) -> None:
        session = self._connections.pop(connection, None)
        if session is not None:
            session.account.remove()
        self._idle.discard(connection)

    async def _serve_connection(self, session: _Session, connection: Connection) -> None:
        try:
            await session.run()
        except Exception:
            # An error on one connection must not end the others.
            logging.exception("serving a connection failed")
        finally:
            self._forget(connection)
            connection.close()


class _Session:
    """Serves the requests of one connection, one after another."""

    def __init__(self, server: HttpServer, connection: Connection) -> None:
        self._server = server
        self._connection = connection
        header_bytes = server._limits().header_bytes
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=header_bytes)
        self._read_ahead = b""
        self._has_head = False
        self._body_bytes = 0
        self._unparsed_bytes = 0
        self._caller_disconnected = False
        self._read_scope = anyio.CancelScope()
        self._refusal: _BadRequest | None = None
        self._account = server._intake.open(self._refuse, self._close)

    @property
    def account(self) -> Account:
        """What is held for this connection."""
        return self._account

    def _refuse(self, reason: str) -> None:
        """Refuse the request that is being read; it is answered and the connection closed."""
        self._refusal = _BadRequest(STATUS_NO_ROOM, reason)
        self._read_scope.cancel()

    def _close(self, reset: bool) -> None:
        """Close the connection, and free its descriptor at once."""
        if reset:
            self._connection.reset()
        self._connection.close()
        self._server._forget(self._connection)

    async def run(self) -> None:
        while True:
            limits = self._server._limits()
            started = await self._wait_for_request(limits.idle_timeout_s)
            if not started:
                return
            self._server._busy += 1
            try:
                keep = await self._serve_one(limits)
            finally:
                self._server._busy -= 1
            if not keep:
                return

    async def _wait_for_request(self, idle_timeout_s: float) -> bool:
        """Wait for the first bytes of a request; False if the connection closed or timed out."""
        if self._read_ahead or self._http.trailing_data[0]:
            return True
        data: bytes | TransportError = b""
        idle = self._server._idle
        idle.add(self._connection)
        self._account.enter(CallerState.IDLE)
        with anyio.move_on_after(idle_timeout_s):
            data = await self._connection.receive()
        idle.discard(self._connection)
        if isinstance(data, TransportError) or not data:
            return False
        self._read_ahead = data
        return True

    async def _serve_one(self, limits: ServerLimits) -> bool:
        request: Request | _BadRequest | _Closed = _BadRequest(408, "request not received in time")
        most_bytes = self._server._intake.limits.large_bytes
        if limits.body_bytes > most_bytes:
            limits = limits._replace(body_bytes=most_bytes)
        self._account.enter(CallerState.READING)
        with anyio.move_on_after(limits.header_timeout_s) as self._read_scope:
            request = await self._read_request(limits)
        if self._refusal is not None:
            request = self._refusal
        if isinstance(request, _Closed):
            return False
        if isinstance(request, _BadRequest):
            self._server._on_rejected(request.status, request.reason)
            await self._reject(request)
            return False
        self._account.enter(CallerState.SERVED)
        self._account.hold(len(request.body) + self._unparsed_bytes)
        has_body = request.method != b"HEAD"
        closing = self._server._closing
        writer = ResponseWriter(self._http, self._connection, closing, self._account, has_body)
        try:
            await self._handle(request, writer)
        finally:
            if not writer.finished and self._http.their_http_version != b"1.1":
                # Such an answer has no chunks, so the end of its connection would complete it.
                self._connection.reset()
        self._account.hold(len(self._read_ahead) + self._unparsed_bytes)
        if self._caller_disconnected or writer.failed or not writer.finished:
            return False
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            await self._linger()
            return False
        if self._server._closing:
            # The head may have been sent, without ``Connection: close``, before draining began.
            return False
        self._http.start_next_cycle()
        return True

    async def _handle(self, request: Request, writer: ResponseWriter) -> None:
        async with anyio.create_task_group() as tasks:

            async def cancel_on_disconnect() -> None:
                await self._wait_for_disconnect()
                self._caller_disconnected = True
                tasks.cancel_scope.cancel()

            tasks.start_soon(cancel_on_disconnect)
            try:
                await self._server._handler(request, writer)
            except Exception:
                logging.exception("request handler failed")
                if not writer.status:
                    await writer.respond(500, [], b"internal error\n")
            tasks.cancel_scope.cancel()

    async def _wait_for_disconnect(self) -> None:
        """Buffer pipelined requests up to the limit until the caller disconnects."""
        account = self._account
        while len(self._read_ahead) < MAX_READ_AHEAD_BYTES:
            if not self._server._intake.has_room(MAX_READ_AHEAD_BYTES):
                break
            data = await self._connection.receive()
            if isinstance(data, TransportError) or not data:
                return
            self._read_ahead += data
            account.add(len(data))
        while True:
            if self._connection.is_disconnected():
                return
            await anyio.sleep(DISCONNECT_CHECK_INTERVAL_S)

    async def _read_request(self, limits: ServerLimits) -> Request | _BadRequest | _Closed:
        head: h11.Request | None = None
        body = bytearray()
        chunks = 0
        self._has_head = False
        self._body_bytes = 0
        while True:
            event = await self._next_event()
            if isinstance(event, _BadRequest | _Closed):
                return event
            if isinstance(event, h11.Request):
                head = event
                self._has_head = True
                fault = _check_head(head, limits)
                if fault is not None:
                    return fault
                if self._http.they_are_waiting_for_100_continue:
                    continue_response = h11.InformationalResponse(status_code=100, headers=[])
                    await self._connection.send(self._http.send(continue_response))
                continue
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.body_bytes:
                    return _BadRequest(413, f"body exceeds {limits.body_bytes} bytes")
                self._body_bytes = len(body)
                chunks += 1
                if chunks % CHUNKS_BETWEEN_PAUSES == 0:
                    await anyio.lowlevel.checkpoint()
                continue
            if isinstance(event, h11.EndOfMessage) and head is not None:
                return Request(head.method, head.target, tuple(head.headers), bytes(body))
            return _Closed("connection closed by the caller")

    async def _next_event(self) -> h11.Event | _BadRequest | _Closed:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                return _BadRequest(error.error_status_hint, str(error))
            if event is h11.PAUSED:
                return _Closed("connection cannot be reused")
            if event is not h11.NEED_DATA:
                return event
            # The parser has used up what it was given, but for an incomplete head.
            rest_bytes = 0 if self._has_head else self._server._limits().header_bytes
            self._unparsed_bytes = min(self._unparsed_bytes, rest_bytes)
            data: bytes | TransportError = self._read_ahead
            self._read_ahead = b""
            if not data:
                data = await self._connection.receive()
            if isinstance(data, TransportError):
                return _Closed(data.reason)
            if not data and self._http.their_state is h11.IDLE:
                return _Closed("connection closed between requests")
            self._unparsed_bytes += len(data)
            reason = self._account.hold(self._body_bytes + self._unparsed_bytes)
            if reason:
                return _BadRequest(STATUS_NO_ROOM, reason)
            self._http.receive_data(data)

    async def _reject(self, bad: _BadRequest) -> None:
        """Send an error and close, as it is not known where the next request would start."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        writer = ResponseWriter(self._http, self._connection, True, self._account)
        headers = [(b"content-type", b"text/plain")]
        if bad.is_shortage:
            headers.append((b"retry-after", f"{RETRY_AFTER_S:g}".encode()))
        await writer.respond(bad.status, headers, f"{bad.reason}\n".encode())
        await self._linger()

    async def _linger(self) -> None:
        """Stop sending and discard what the caller still sends, so that it can read the answer."""
        self._account.enter(CallerState.CLOSING)
        self._account.hold(0)
        self._connection.end_sending()
        with anyio.move_on_after(LINGERING_CLOSE_S):
            while True:
                data = await self._connection.receive()
                if isinstance(data, TransportError) or not data:
                    return


def _check_head(head: h11.Request, limits: ServerLimits) -> _BadRequest | None:
    """Reject ambiguous framing (request smuggling), bodies over the limit and non-path targets."""
    lengths = [value for name, value in head.headers if name == b"content-length"]
    if lengths and any(name == b"transfer-encoding" for name, _ in head.headers):
        return _BadRequest(400, "both Content-Length and Transfer-Encoding are given")
    if lengths and int(lengths[0]) > limits.body_bytes:
        return _BadRequest(413, f"body exceeds {limits.body_bytes} bytes")
    if not head.target.startswith(b"/"):
        return _BadRequest(400, "request target is not a path")
    return None
