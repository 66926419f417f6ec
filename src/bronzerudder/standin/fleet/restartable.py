"""An HTTP server that can crash and come back at its address."""

from __future__ import annotations

import socket

import anyio

from bronzerudder.http1 import HttpServer
from bronzerudder.http1.sockets import LISTEN_BACKLOG


class RestartableServer(HttpServer):
    """Serves one listener, and can crash like a process that is killed and started again."""

    _listener: socket.socket | None = None
    _next_listener: socket.socket | None = None
    _serving: anyio.CancelScope | None = None
    _down_s = 0.0

    def crash(self, down_s: float) -> None:
        """Reset all connections, and refuse new ones for `down_s` seconds."""
        if self._listener is None or self._serving is None or self._next_listener is not None:
            return
        for connection in list(self._connections):
            connection.reset()
        address = self._listener.getsockname()
        anyio.notify_closing(self._listener)
        self._listener.close()
        # Bound without listening: refuses connections, and no other socket can take the port.
        self._next_listener = _bind(address)
        self._down_s = down_s
        self._serving.cancel()

    async def serve(self, listener: socket.socket) -> None:
        """Serve until cancelled; after a crash, serve the same address again."""
        self._listener = listener
        try:
            while True:
                with anyio.CancelScope() as self._serving:
                    await super().serve(self._listener)
                self._listeners.clear()
                if self._next_listener is None:
                    return
                await anyio.sleep(self._down_s)
                self._next_listener.listen(LISTEN_BACKLOG)
                self._listener, self._next_listener = self._next_listener, None
        finally:
            for item in (self._listener, self._next_listener):
                if item is not None:
                    item.close()


def _bind(address: tuple[str, int]) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.setblocking(False)
    bound.bind(address)
    return bound
