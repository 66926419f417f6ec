"""A listener that bounds its connections, for servers that accept without a bound of their own."""

from __future__ import annotations

import asyncio
import socket

from bronzerudder.intake import RECEIVE_BUFFER_BYTES, Account, CallerState, Intake

MAX_RECEIVE_BYTES = 32_768
"""Bytes that are read at a time; the server's reader buffers a few of such reads."""

ENDED_FRACTION = 0.25
"""Connections that were ended and not yet closed, at most, as a fraction of those allowed."""


class BoundedConnection(socket.socket):
    """An accepted connection, which is counted until it is closed.

    Parameters
    ----------
    accepted : socket.socket
        Connection to take over.
    client : tuple
        Address of the caller.
    listener : BoundedListener
        Listener that accepted it.
    """

    def __init__(
        self, accepted: socket.socket, client: tuple[str, int], listener: BoundedListener
    ) -> None:
        super().__init__(fileno=accepted.detach())
        self._listener = listener
        self._client = client
        self._transport: asyncio.WriteTransport | None = None
        self._serving = 0
        self._ended = False
        self._account = listener.intake.open(lambda reason: None, self._end)

    @property
    def account(self) -> Account:
        """Counts the connection; its requests have accounts of their own."""
        return self._account

    @property
    def client(self) -> tuple[str, int]:
        """Address of the caller."""
        return self._client

    @property
    def ended(self) -> bool:
        """Whether it was ended to make room, and is open only until the server has noticed."""
        return self._ended

    def begin_serving(self) -> None:
        """Record that a request was read completely; the connection is not ended meanwhile."""
        self._serving += 1
        self._account.enter(CallerState.SERVED)

    def end_serving(self) -> None:
        """Record that a request which was read completely has ended."""
        self._serving -= 1
        if not self._serving:
            self._account.enter(CallerState.IDLE)

    def set_transport(self, transport: asyncio.WriteTransport) -> None:
        """Set the transport that uses the connection."""
        self._transport = transport
        if self._ended:
            transport.abort()

    def abort(self) -> None:
        """End the connection; its transport then closes it."""
        self._ended = True
        if self._transport is not None:
            self._transport.abort()

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Read at most `MAX_RECEIVE_BYTES`."""
        data = super().recv(min(size, MAX_RECEIVE_BYTES), flags)
        if self._account.state is CallerState.IDLE:
            # It waits from now on, and not from its last answer on.
            self._account.enter(CallerState.IDLE)
        return data

    def close(self) -> None:
        """Close the connection and count it no more."""
        self._account.remove()
        self._listener.forget(self)
        super().close()

    def _end(self, reset: bool) -> None:
        self.abort()


class BoundedListener(socket.socket):
    """Accepts connections up to a limit, and ends those that wait longest for their callers.

    Parameters
    ----------
    listener : socket.socket
        Listening socket to take over.
    intake : Intake
        Counts the connections.
    max_connections : int
        Limit of the connections of this listener.
    """

    def __init__(self, listener: socket.socket, intake: Intake, max_connections: int) -> None:
        super().__init__(fileno=listener.detach())
        self.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.setblocking(False)
        self._intake = intake
        self._max_connections = max_connections
        self._must_pause = False
        self._connections: dict[tuple[str, int], BoundedConnection] = {}

    @property
    def intake(self) -> Intake:
        """Counts the connections."""
        return self._intake

    def find(self, client: tuple[str, int]) -> BoundedConnection | None:
        """Return the connection of a caller's address; None if it was closed."""
        return self._connections.get(client)

    def forget(self, connection: BoundedConnection) -> None:
        """Count a connection no more."""
        if self._connections.get(connection.client) is connection:
            del self._connections[connection.client]

    def accept(self) -> tuple[socket.socket, tuple[str, int]]:
        """Accept a connection; raises `BlockingIOError` if none waits or none is allowed."""
        if self._must_pause:
            # Ends the accept loop, so that connections are served or closed before further ones
            # take their places.
            self._must_pause = False
            raise BlockingIOError
        accepted, client = super().accept()
        self._must_pause = len(self._connections) >= self._max_connections
        if not self._make_room():
            accepted.close()
            self._must_pause = False
            raise BlockingIOError
        connection = BoundedConnection(accepted, client[:2], self)
        self._connections[connection.client] = connection
        return connection, client

    def _make_room(self) -> bool:
        reason = f"{self._max_connections} connections are open"
        connections = self._connections.values()
        accounts = [connection.account for connection in connections if not connection.ended]
        if len(accounts) < self._max_connections:
            return True
        may_end = len(connections) < self._max_connections * (1.0 + ENDED_FRACTION)
        if may_end and self._intake.end_longest_waiting(accounts, reason):
            return True
        self._intake.report_refused(0, f"{reason}, and none could be ended")
        return False
