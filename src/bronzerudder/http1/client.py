"""HTTP/1.1 client with a connection pool.

Every failure says whether the request may have reached the peer, so that the caller knows whether a
retry could run it twice.
"""

from __future__ import annotations

import re
import time
from collections.abc import Callable
from typing import NamedTuple

import anyio.lowlevel
import h11

from bronzerudder.http1.errors import HttpError, HttpErrorKind
from bronzerudder.http1.sockets import Connection, TransportError, connect

CONNECT_TIMEOUT_S = 0.5
"""A peer on the same site accepts within milliseconds; a lost SYN is resent only after 1 s."""
DEFAULT_IDLE_TIMEOUT_S = 2.0
"""Time for which an idle connection is kept if the peer sends no Keep-Alive timeout."""
KEEP_ALIVE_MARGIN_S = 1.0
"""Subtracted from the peer's Keep-Alive timeout, so that the peer does not close the connection
just as a request is sent; the timeout is in whole seconds."""
MAX_TIMEOUT_DIGITS = 9
"""Digits of a Keep-Alive timeout that is followed; a longer one counts as none."""
MAX_IDLE_PER_ADDRESS = 32
MAX_IDLE = 1_024
"""Default limit of the idle connections to all addresses together."""
MAX_TOTAL_BUFFERED_BYTES = 64 * 1_048_576
"""Default limit of the answers that are buffered at the same time."""
MAX_HEAD_BYTES = 65_536
MAX_JOINED_BYTES = 65_536
"""Largest body that is sent together with its head."""
EMPTY_STATUSES = (204, 304)
"""Answers that never have a body."""
MAX_STATUS = 599
"""Highest status of RFC 9110; the parser accepts all of three digits from 200."""
MAX_INFORMATIONAL_HEADS = 8
"""``1xx`` heads before an answer: one or two are usual, a faulty peer may send them without end."""
MAX_ANSWER_BYTES = 1_048_576
"""Default limit of the body of an answer that is read as a whole, framing included."""
MAX_ANSWER_CHUNKS = 8_192
"""Default limit of the chunks of such an answer; each takes time to parse, however small it is."""
CHUNKS_BETWEEN_PAUSES = 64
"""Chunks of received data that are parsed before other tasks run; one read can hold 11,000."""
_HEAD = b"HEAD"
_ANY_HOST = [(b"host", b"-")]
# A status line and the name of a header, perhaps cut off; bodies hardly contain both. The reason is
# bounded, so that a long line that repeats the start of a status line is searched in linear time.
_RESPONSE_HEAD = re.compile(
    rb"HTTP/1\.[01] \d{3}(?: [^\r\n]{0,100})?"
    rb"(?:\r?\n[!#$%&'*+.^_`|~0-9A-Za-z-]+:|\r\n[!#$%&'*+.^_`|~0-9A-Za-z-]*\Z)"
)


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

    @property
    def is_delimited(self) -> bool:
        """Whether the body is empty by its status, or has a length or chunks.

        Otherwise it ends with its connection.
        """
        if self.status in EMPTY_STATUSES:
            return True
        return any(name in (b"content-length", b"transfer-encoding") for name, _ in self.headers)


def contains_response_head(body: bytes, trailing: bytes = b"") -> bool:
    """Whether a further response begins inside a body that ``trailing`` bytes follow."""
    if _RESPONSE_HEAD.match(trailing):
        # It begins right behind the body.
        trailing = b""
    found = _RESPONSE_HEAD.search(body + trailing)
    return found is not None and found.start() < len(body)


class _IdleConnection(NamedTuple):
    connection: Connection
    expires_at_s: float


class Exchange:
    """One request and its answer on one connection.

    Call `send`, then `read_head`, then `read_body` until it returns None, then `release`. If the
    exchange ends earlier, call `discard`. After an error the connection is already closed.
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
        self._received_bytes = 0
        self._chunks_since_pause = 0
        self._ended = False

    @property
    def reused(self) -> bool:
        """Whether the connection has served an earlier request."""
        return self._reused

    @property
    def trailing_bytes(self) -> bytes:
        """Bytes received behind the answer, once it was read to its end."""
        return self._http.trailing_data[0]

    async def send(
        self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> HttpError | None:
        """Send a complete request; ``NOT_SENT`` if the kernel has taken none of its bytes."""
        if body or method not in (b"GET", b"HEAD", b"DELETE"):
            headers = [*headers, (b"content-length", str(len(body)).encode())]
        try:
            self._request = h11.Request(method=method, target=target, headers=headers)
            head = self._http.send(self._request)
            if body:
                self._http.send_with_data_passthrough(h11.Data(data=body))
            self._http.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            self.discard()
            return HttpError(HttpErrorKind.NOT_SENT, f"request is not valid HTTP: {error}")
        # A large body is not joined with its head, as that would hold it twice.
        parts = [head + body] if len(body) <= MAX_JOINED_BYTES else [head, body]
        sent = 0
        for part in parts:
            failure = await self._connection.send(part)
            if failure is not None:
                self.discard()
                sent += failure.bytes_sent
                kind = HttpErrorKind.BROKEN if sent else HttpErrorKind.NOT_SENT
                return HttpError(kind, failure.reason)
            sent += len(part)
        return None

    async def read_head(self) -> ResponseHead | HttpError:
        """Read the status and headers of the answer."""
        informational = 0
        while True:
            event = await self._next_event()
            if isinstance(event, HttpError):
                return event
            if isinstance(event, h11.InformationalResponse):
                informational += 1
                if informational > MAX_INFORMATIONAL_HEADS:
                    reason = f"more than {MAX_INFORMATIONAL_HEADS} informational heads"
                    return self._fail(HttpErrorKind.MALFORMED, reason)
                continue
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    reason = f"status {event.status_code} is none of HTTP"
                    return self._fail(HttpErrorKind.MALFORMED, reason)
                self._head = ResponseHead(event.status_code, tuple(event.headers))
                return self._head
            return self._fail(HttpErrorKind.BROKEN, "connection closed before the answer")

    async def read_body(self) -> bytes | None | HttpError:
        """Read the next chunk of the body; None at its end."""
        event = await self._next_event()
        if isinstance(event, HttpError):
            return event
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        return self._fail(HttpErrorKind.BROKEN, "connection closed before the end of the answer")

    async def read_rest(self, max_bytes: int = MAX_ANSWER_BYTES) -> bytes | HttpError:
        """Read the body to its end; ``MALFORMED`` if it takes more than ``max_bytes``.

        Bytes are counted as received, as framing alone can also come without end.
        """
        chunks: list[bytes] = []
        failed = await self._read_to_end(max_bytes, chunks.append)
        return b"".join(chunks) if failed is None else failed

    async def _read_to_end(
        self, max_bytes: int, on_chunk: Callable[[bytes], None]
    ) -> HttpError | None:
        received_before = self._received_bytes
        for _ in range(MAX_ANSWER_CHUNKS + 1):
            chunk = await self.read_body()
            if chunk is None or isinstance(chunk, HttpError):
                return chunk
            if self._received_bytes - received_before > max_bytes:
                return self._fail(HttpErrorKind.MALFORMED, f"answer exceeds {max_bytes} bytes")
            on_chunk(chunk)
        return self._fail(HttpErrorKind.MALFORMED, f"answer exceeds {MAX_ANSWER_CHUNKS} chunks")

    async def skip_stale_answer(self) -> HttpError | None:
        """Skip the rest of an answer to an earlier request; `read_head` then reads the next one."""
        if self._request is None or self._request.method == _HEAD:
            # The answer to a HEAD request has no body, whatever its headers say.
            return self._fail(
                HttpErrorKind.BROKEN, "answer to an earlier request before that to HEAD"
            )
        failed = await self._read_to_end(MAX_ANSWER_BYTES, lambda chunk: None)
        if failed is not None:
            return failed
        data, closed = self._http.trailing_data
        if closed:
            return self._fail(
                HttpErrorKind.BROKEN, "connection closed after an answer to an earlier request"
            )
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        # The new parser needs the method of the request to frame the answer; the bytes that it
        # returns are dropped, as the request was already sent.
        self._http.send(h11.Request(method=self._request.method, target=b"/", headers=_ANY_HOST))
        self._http.send(h11.EndOfMessage())
        if data:
            self._http.receive_data(data)
        return None

    def release(self) -> None:
        """Return the connection to the pool if both sides allow another request on it."""
        if self._ended:
            return
        self._ended = True
        reusable = (
            self._request is not None
            # A late answer to it would be framed differently from that to the next request.
            and self._request.method != _HEAD
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
        )
        if not reusable:
            self._connection.close()
            return
        self._pool.keep(self._address, self._connection, _idle_timeout_s(self._head))

    def discard(self) -> None:
        """Close the connection, which makes the peer cancel the request."""
        if self._ended:
            return
        self._ended = True
        self._connection.close()

    async def _next_event(self) -> h11.Event | HttpError:
        peer_closed = False
        self._chunks_since_pause += 1
        if self._chunks_since_pause > CHUNKS_BETWEEN_PAUSES:
            self._chunks_since_pause = 0
            await anyio.lowlevel.checkpoint()
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                if peer_closed:
                    return self._fail(HttpErrorKind.BROKEN, "connection closed by the peer")
                return self._fail(HttpErrorKind.MALFORMED, str(error))
            if event is not h11.NEED_DATA:
                return event
            data = await self._connection.receive()
            if isinstance(data, TransportError):
                return self._fail(HttpErrorKind.BROKEN, data.reason)
            peer_closed = not data
            self._chunks_since_pause = 0
            self._received_bytes += len(data)
            self._http.receive_data(data)

    def _fail(self, kind: HttpErrorKind, reason: str) -> HttpError:
        self.discard()
        return HttpError(kind, reason)


class ClientPool:
    """Pool of idle connections, by address.

    Parameters
    ----------
    connect_timeout_s : float
        Time for opening a connection, in seconds.
    max_idle : int
        Idle connections to all addresses together.
    max_buffered_bytes : int
        Bytes of answers that users of the pool may buffer.
    """

    def __init__(
        self,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_idle: int = MAX_IDLE,
        max_buffered_bytes: int = MAX_TOTAL_BUFFERED_BYTES,
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._max_idle = max_idle
        self._max_buffered_bytes = max_buffered_bytes
        self._idle: dict[str, list[_IdleConnection]] = {}
        self._idle_count = 0
        self._opened = 0
        self._buffered_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        """Bytes of answers that users of the pool have reported as buffered."""
        return self._buffered_bytes

    @property
    def max_buffered_bytes(self) -> int:
        """Limit of `buffered_bytes`; users of the pool keep to it."""
        return self._max_buffered_bytes

    def add_buffered(self, size: int) -> None:
        """Report bytes of an answer as buffered, or with a negative size as no longer buffered."""
        self._buffered_bytes += size

    @property
    def opened(self) -> int:
        """Number of connections opened."""
        return self._opened

    async def open(self, address: str, fresh: bool = False) -> Exchange | HttpError:
        """Take an idle connection from the pool, or open a new one.

        Parameters
        ----------
        address : str
            ``host:port``.
        fresh : bool
            Always open a new connection.
        """
        idle = None if fresh else self._take_idle(address)
        if idle is not None:
            return Exchange(self, address, idle, reused=True)
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
        max_bytes: int = MAX_ANSWER_BYTES,
        fresh: bool = False,
    ) -> tuple[int, bytes] | HttpError:
        """Send a request and read its complete answer: status and body.

        The time is the caller's to limit. If the call is cancelled, its connection is closed, so
        that a late answer can't be taken for that of another call.

        Parameters
        ----------
        fresh : bool
            Open a new connection, on which no answer to an earlier call can arrive.
        """
        exchange = await self.open(address, fresh)
        if isinstance(exchange, HttpError):
            return exchange
        try:
            failed = await exchange.send(method, target, headers, body)
            if failed is not None:
                return failed
            head = await exchange.read_head()
            if isinstance(head, HttpError):
                return head
            content = await exchange.read_rest(max_bytes)
            if isinstance(content, HttpError):
                return content
            exchange.release()
            return head.status, content
        finally:
            # No effect after a release; closes the connection if the call was cancelled.
            exchange.discard()

    def keep(self, address: str, connection: Connection, idle_timeout_s: float) -> None:
        """Add a connection to the pool; close it if the pool is full or it may not stay idle."""
        idle = self._idle.setdefault(address, [])
        is_full = len(idle) >= MAX_IDLE_PER_ADDRESS or self._idle_count >= self._max_idle
        if idle_timeout_s <= 0 or is_full:
            connection.close()
            return
        self._idle_count += 1
        idle.append(_IdleConnection(connection, time.monotonic() + idle_timeout_s))

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address that is no longer in use."""
        for idle in self._idle.pop(address, []):
            self._idle_count -= 1
            idle.connection.close()

    def sweep(self) -> None:
        """Close idle connections that have expired or that the peer has closed."""
        now_s = time.monotonic()
        for address in list(self._idle):
            usable = []
            for idle in self._idle[address]:
                if idle.expires_at_s <= now_s or idle.connection.is_readable():
                    self._idle_count -= 1
                    idle.connection.close()
                    continue
                usable.append(idle)
            self._idle[address] = usable

    def _take_idle(self, address: str) -> Connection | None:
        idle = self._idle.get(address)
        while idle:
            last = idle.pop()
            self._idle_count -= 1
            # Readable while idle: the peer has closed it, or has sent bytes that answer no request.
            if last.expires_at_s > time.monotonic() and not last.connection.is_readable():
                return last.connection
            last.connection.close()
        return None


def _idle_timeout_s(head: ResponseHead | None) -> float:
    value = None if head is None else head.header(b"keep-alive")
    if value is None:
        return DEFAULT_IDLE_TIMEOUT_S
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit() and len(number) <= MAX_TIMEOUT_DIGITS:
            return int(number) - KEEP_ALIVE_MARGIN_S
    return DEFAULT_IDLE_TIMEOUT_S
