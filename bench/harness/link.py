"""TCP proxy between two processes, with fault injection."""

from __future__ import annotations

import asyncio
import socket
import struct
import threading
from collections.abc import Callable

LOOPBACK = "127.0.0.1"
READ_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
START_TIMEOUT_S = 5.0


class _ProxiedConnection:
    """A proxied connection; it stays open while data is dropped in either direction."""

    def __init__(self, client: asyncio.StreamWriter, server: asyncio.StreamWriter) -> None:
        self.client = client
        self.server = server
        self.drops_to_server = False
        self.drops_to_client = False


class FaultyLink:
    """Forwards connections to an address; can delay or drop their data, or reset them.

    Parameters
    ----------
    target : str
        ``host:port`` to forward to.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._connections: set[_ProxiedConnection] = set()
        self._loop = asyncio.new_event_loop()
        self._started = threading.Event()
        self._address = ""
        self.delay_s = 0.0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._started.wait(START_TIMEOUT_S)

    @property
    def address(self) -> str:
        """``host:port`` to connect to."""
        return self._address

    def reset_connections(self) -> None:
        """Reset all open connections; new ones work."""
        self._run_in_loop(self._reset_connections)

    def drop_data(self, to_server: bool = True, to_client: bool = True) -> None:
        """Drop all further data of open connections in these directions; new ones work."""
        self._run_in_loop(lambda: self._drop_data(to_server, to_client))

    def close(self) -> None:
        """Reset all connections and stop listening."""
        self._run_in_loop(self._reset_connections)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(START_TIMEOUT_S)

    def _run_in_loop(self, action: Callable[[], None]) -> None:
        done = threading.Event()

        def run_action() -> None:
            action()
            done.set()

        self._loop.call_soon_threadsafe(run_action)
        done.wait(START_TIMEOUT_S)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        server = self._loop.run_until_complete(asyncio.start_server(self._serve, LOOPBACK, 0))
        host, port = server.sockets[0].getsockname()
        self._address = f"{host}:{port}"
        self._started.set()
        self._loop.run_forever()
        server.close()
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        self._loop.run_until_complete(asyncio.sleep(0))
        self._loop.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            server_reader, server_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.close()
            return
        connection = _ProxiedConnection(writer, server_writer)
        self._connections.add(connection)
        upward = asyncio.create_task(
            self._forward(reader, server_writer, lambda: connection.drops_to_server)
        )
        downward = asyncio.create_task(
            self._forward(server_reader, writer, lambda: connection.drops_to_client)
        )
        await asyncio.wait((upward, downward))
        self._connections.discard(connection)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_dropped: Callable[[], bool],
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if not is_dropped():
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if not is_dropped():
            writer.close()

    def _reset_connections(self) -> None:
        for connection in list(self._connections):
            for writer in (connection.client, connection.server):
                endpoint = writer.get_extra_info("socket")
                endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                writer.transport.abort()

    def _drop_data(self, to_server: bool, to_client: bool) -> None:
        for connection in self._connections:
            connection.drops_to_server = connection.drops_to_server or to_server
            connection.drops_to_client = connection.drops_to_client or to_client
