"""Non-blocking TCP sockets; a failure is returned as a `TransportError`, not raised.

The socket options detect a peer that has vanished without closing (crashed instance, partition).
"""

from __future__ import annotations

import errno
import select
import socket
from typing import NamedTuple

import anyio
import anyio.lowlevel

from bronzerudder.intake import RECEIVE_BUFFER_BYTES

RECEIVE_BYTES = 65_536
MAX_IMMEDIATE_CALLS = 32
"""Reads and writes of a connection that may complete without waiting before other tasks run. A peer
that is always ready would otherwise hold the event loop, and no time limit would take effect."""
LISTEN_BACKLOG = 1024
"""When another instance fails, its callers reconnect here all at once; a full backlog would delay
them by seconds."""
USER_TIMEOUT_MS = 2_000
"""Time for which sent data may stay unacknowledged; a partitioned peer sends no reset."""
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""With these settings a dead idle connection is detected within about 3 s, the time in which the
system must recover from the failure of an instance."""


class TransportError(NamedTuple):
    """A failed socket operation.

    Parameters
    ----------
    reason : str
        Name of the system error.
    bytes_sent : int
        Bytes of the failed call that the kernel had accepted; they may have reached the peer.
    """

    reason: str
    bytes_sent: int = 0


class Connection:
    """One TCP connection.

    Parameters
    ----------
    sock : socket.socket
        Connected and non-blocking; this object takes ownership of it.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self._closed = False
        self._immediate_calls = 0

    @property
    def closed(self) -> bool:
        """Whether this side has closed it."""
        return self._closed

    async def receive(self) -> bytes | TransportError:
        """Read the bytes available, waiting for the first; empty at the end of the stream."""
        self._immediate_calls += 1
        if self._immediate_calls > MAX_IMMEDIATE_CALLS:
            await self._give_way()
        while True:
            try:
                return self._socket.recv(RECEIVE_BYTES)
            except BlockingIOError:
                self._immediate_calls = 0
                try:
                    await anyio.wait_readable(self._socket)
                except anyio.ClosedResourceError:
                    return TransportError("closed on this side")
            except OSError as error:
                return TransportError(_name_error(error))

    async def send(self, data: bytes | memoryview) -> TransportError | None:
        """Send all of the data; waits while the peer does not read."""
        self._immediate_calls += 1
        if self._immediate_calls > MAX_IMMEDIATE_CALLS:
            await self._give_way()
        view = memoryview(data)
        sent = 0
        while sent < len(view):
            try:
                sent += self._socket.send(view[sent:])
            except BlockingIOError:
                self._immediate_calls = 0
                try:
                    await anyio.wait_writable(self._socket)
                except anyio.ClosedResourceError:
                    return TransportError("closed on this side", sent)
            except OSError as error:
                return TransportError(_name_error(error), sent)
        return None

    async def _give_way(self) -> None:
        """Let other tasks run after several calls that did not wait."""
        self._immediate_calls = 0
        await anyio.lowlevel.checkpoint()

    def is_readable(self) -> bool:
        """Whether bytes or the end of the stream can be read without waiting."""
        poller = select.poll()
        poller.register(self._socket.fileno(), select.POLLIN | select.POLLRDHUP)
        return bool(poller.poll(0))

    def is_disconnected(self) -> bool:
        """Whether the connection is closed, on this side or by the peer; bytes may be unread.

        A close that the peer can't deliver, as too many bytes before it are unread, is not seen.
        """
        if self._closed:
            return True
        poller = select.poll()
        poller.register(self._socket.fileno(), select.POLLRDHUP)
        return bool(poller.poll(0))

    def end_sending(self) -> None:
        """Shut down the sending side; the peer reads the end of the stream."""
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError:
            # The peer has already closed or reset the connection.
            pass

    def close(self) -> None:
        """Close the connection; TCP sends a reset if received bytes were not read."""
        if self._closed:
            return
        self._closed = True
        anyio.notify_closing(self._socket)
        self._socket.close()

    def reset(self) -> None:
        """Close the connection with a reset, so that the peer sees no normal end of the stream."""
        if self._closed:
            return
        # Lingering on, for 0 s: close sends a reset.
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self.close()


async def connect(address: str, timeout_s: float) -> Connection | TransportError:
    """Open a connection to ``host:port``; the host must be an IPv4 address."""
    host, _, port = address.rpartition(":")
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        # No descriptor is left.
        return TransportError(_name_error(error))
    connected = False
    try:
        _set_options(sock)
        code = sock.connect_ex((host, int(port)))
        if code == errno.EINPROGRESS:
            with anyio.move_on_after(timeout_s) as scope:
                await anyio.wait_writable(sock)
            if scope.cancelled_caught:
                return TransportError(f"no connection within {timeout_s} s")
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            return TransportError(errno.errorcode.get(code, str(code)))
        connected = True
        return Connection(sock)
    except (OSError, ValueError, OverflowError) as error:
        return TransportError(f"address {address!r}: {error}")
    finally:
        if not connected:
            sock.close()


def listen(address: str) -> socket.socket:
    """Open a listening socket on ``host:port``; its connections keep few bytes unread."""
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Set before listening, so that the window of each accepted connection follows from it.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    sock.bind((host, int(port)))
    sock.listen(LISTEN_BACKLOG)
    return sock


async def accept(listener: socket.socket) -> Connection:
    """Wait for the next connection; raises `OSError` once the listener is closed."""
    while True:
        try:
            sock, _ = listener.accept()
        except (BlockingIOError, ConnectionAbortedError):
            await anyio.wait_readable(listener)
            continue
        _set_options(sock)
        return Connection(sock)


def _set_options(sock: socket.socket) -> None:
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def _name_error(error: OSError) -> str:
    return errno.errorcode.get(error.errno or 0, type(error).__name__)
