"""Sends HTTP/1.1 requests over kept connections."""

from __future__ import annotations

import time
from typing import NamedTuple

import h11

from bronzerudder.http1.errors import HttpError, HttpErrorKind
from bronzerudder.http1.sockets import Connection, TransportError, connect

CONNECT_TIMEOUT_S = 0.5
"""A peer on the same site answers in milliseconds; a lost opening packet is resent after 1 s."""
DEFAULT_IDLE_S = 2.0
"""Time for which a connection is kept when its peer does not say how long it keeps it."""
KEEP_ALIVE_MARGIN_S = 1.0
"""Part of the peer's announced time that is not used; it closes in whole seconds."""
MAX_IDLE_PER_ADDRESS = 32
MAX_HEAD_BYTES = 65_536
_ANY_HOST = [(b"host", b"-")]


class ResponseHead(NamedTuple):
    """Status and headers of an answer; names in lower case."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]

    def header(self, name: bytes) -> bytes | None:
        """Value of the first header of that name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class _Kept(NamedTuple):
    connection: Connection
    expires_at_s: float


class Exchange:
    """One request and its answer on one connection.

    Call `send`, then `read_head`, then `read_body` until it returns None, then `release`; call
    `discard` at any other end. After an error the connection is closed.
    """

    def __init__(
        self, pool: ClientPool, address: str, connection: Connection, reused: bool
    ) -> None:
        self._pool = pool
        self._address = address
        self._connection = connection
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._request: h11.Request | None = None
        self._head: ResponseHead | None = None
        self._reused = reused
        self._ended = False

    @property
    def reused(self) -> bool:
        """Whether the connection has served an earlier request."""
        return self._reused

    async def send(
        self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> HttpError | None:
        """Send a whole request."""
        if body or method not in (b"GET", b"HEAD", b"DELETE"):
            headers = [*headers, (b"content-length", str(len(body)).encode())]
        try:
            self._request = h11.Request(method=method, target=target, headers=headers)
            data = self._http.send(self._request)
            if body:
                data += self._http.send(h11.Data(data=body))
            data += self._http.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            self.discard()
            return HttpError(HttpErrorKind.NOT_SENT, f"request is not valid HTTP: {error}")
        failure = await self._connection.send(data)
        if failure is None:
            return None
        self.discard()
        kind = HttpErrorKind.BROKEN if failure.bytes_sent else HttpErrorKind.NOT_SENT
        return HttpError(kind, failure.reason)

    async def read_head(self) -> ResponseHead | HttpError:
        """Read the status and headers of the answer."""
        while True:
            event = await self._next_event()
            if isinstance(event, HttpError):
                return event
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                self._head = ResponseHead(event.status_code, tuple(event.headers))
                return self._head
            return self._fail(HttpErrorKind.BROKEN, "connection closed before the answer")

    async def read_body(self) -> bytes | None | HttpError:
        """Read the next part of the body; None at its end."""
        event = await self._next_event()
        if isinstance(event, HttpError):
            return event
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        return self._fail(HttpErrorKind.BROKEN, "connection closed inside the answer")

    async def read_rest(self) -> bytes | HttpError:
        """Read the body to its end."""
        parts: list[bytes] = []
        while True:
            part = await self.read_body()
            if isinstance(part, HttpError):
                return part
            if part is None:
                return b"".join(parts)
            parts.append(part)

    async def skip(self) -> HttpError | None:
        """Read past an answer that belongs to an earlier request, to the one that follows."""
        late = await self.read_rest()
        if isinstance(late, HttpError):
            return late
        data, closed = self._http.trailing_data
        if closed or self._request is None:
            return self._fail(HttpErrorKind.BROKEN, "connection closed after a late answer")
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        # The request was sent before; the parser needs its method to frame the answer.
        self._http.send(h11.Request(method=self._request.method, target=b"/", headers=_ANY_HOST))
        self._http.send(h11.EndOfMessage())
        if data:
            self._http.receive_data(data)
        return None

    def release(self) -> None:
        """Keep the connection for another request where both sides allow it."""
        if self._ended:
            return
        self._ended = True
        reusable = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
        )
        if not reusable:
            self._connection.close()
            return
        self._pool.keep(self._address, self._connection, _idle_time_s(self._head))

    def discard(self) -> None:
        """Close the connection; the peer stops working on the request."""
        if self._ended:
            return
        self._ended = True
        self._connection.close()

    async def _next_event(self) -> h11.Event | HttpError:
        ended = False
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                if ended:
                    return self._fail(HttpErrorKind.BROKEN, "connection closed by the peer")
                return self._fail(HttpErrorKind.MALFORMED, str(error))
            if event is not h11.NEED_DATA:
                return event
            data = await self._connection.receive()
            if isinstance(data, TransportError):
                return self._fail(HttpErrorKind.BROKEN, data.reason)
            ended = not data
            self._http.receive_data(data)

    def _fail(self, kind: HttpErrorKind, reason: str) -> HttpError:
        self.discard()
        return HttpError(kind, reason)


class ClientPool:
    """Kept connections by address."""

    def __init__(self, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[str, list[_Kept]] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """Connections opened so far."""
        return self._opened

    async def open(self, address: str, fresh: bool = False) -> Exchange | HttpError:
        """Take a kept connection, or open one.

        Parameters
        ----------
        address : str
            ``host:port``.
        fresh : bool
            Do not use a kept connection.
        """
        kept = None if fresh else self._take(address)
        if kept is not None:
            return Exchange(self, address, kept, reused=True)
        self._opened += 1
        connection = await connect(address, self._connect_timeout_s)
        if isinstance(connection, TransportError):
            return HttpError(HttpErrorKind.NOT_SENT, f"connect: {connection.reason}")
        return Exchange(self, address, connection, reused=False)

    async def call(
        self,
        address: str,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes = b"",
    ) -> tuple[int, bytes] | HttpError:
        """Send a request and read its whole answer: status and body."""
        exchange = await self.open(address)
        if isinstance(exchange, HttpError):
            return exchange
        try:
            failed = await exchange.send(method, target, headers, body)
            if failed is not None:
                return failed
            head = await exchange.read_head()
            if isinstance(head, HttpError):
                return head
            content = await exchange.read_rest()
            if isinstance(content, HttpError):
                return content
            exchange.release()
            return head.status, content
        finally:
            # Does nothing after a release; closes the connection of a cancelled call.
            exchange.discard()

    def keep(self, address: str, connection: Connection, idle_s: float) -> None:
        """Hold a connection for reuse."""
        kept = self._idle.setdefault(address, [])
        if idle_s <= 0 or len(kept) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        kept.append(_Kept(connection, time.monotonic() + idle_s))

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address that is no longer used."""
        for kept in self._idle.pop(address, []):
            kept.connection.close()

    def sweep(self) -> None:
        """Close idle connections that have expired or that the peer has closed."""
        now_s = time.monotonic()
        for address in list(self._idle):
            live = []
            for kept in self._idle[address]:
                if kept.expires_at_s <= now_s or kept.connection.is_readable():
                    kept.connection.close()
                    continue
                live.append(kept)
            self._idle[address] = live

    def _take(self, address: str) -> Connection | None:
        kept = self._idle.get(address)
        while kept:
            last = kept.pop()
            # Readable while idle: closed by the peer, or bytes that belong to no request.
            if last.expires_at_s > time.monotonic() and not last.connection.is_readable():
                return last.connection
            last.connection.close()
        return None


def _idle_time_s(head: ResponseHead | None) -> float:
    value = None if head is None else head.header(b"keep-alive")
    if value is None:
        return DEFAULT_IDLE_S
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return int(number) - KEEP_ALIVE_MARGIN_S
    return DEFAULT_IDLE_S
