"""A TCP link between two processes that fails on demand."""

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


class _Pair:
    """One connection through the link; a silenced one passes nothing on, and stays open."""

    def __init__(self, client: asyncio.StreamWriter, server: asyncio.StreamWriter) -> None:
        self.client = client
        self.server = server
        self.silent_to_server = False
        self.silent_to_client = False


class FaultyLink:
    """Passes bytes on to an address, and can delay, cut or silence its connections.

    Parameters
    ----------
    target : str
        ``host:port`` to pass on to.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._pairs: set[_Pair] = set()
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

    def cut(self) -> None:
        """Reset every connection; new ones work."""
        self._call(self._cut)

    def silence(self, to_server: bool = True, to_client: bool = True) -> None:
        """Pass nothing on in these directions over the connections of now; new ones work."""
        self._call(lambda: self._silence(to_server, to_client))

    def close(self) -> None:
        """Cut everything and stop listening."""
        self._call(self._cut)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(START_TIMEOUT_S)

    def _call(self, action: Callable[[], None]) -> None:
        done = threading.Event()

        def act() -> None:
            action()
            done.set()

        self._loop.call_soon_threadsafe(act)
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
        pair = _Pair(writer, server_writer)
        self._pairs.add(pair)
        upward = asyncio.create_task(
            self._pass_on(reader, server_writer, lambda: pair.silent_to_server)
        )
        downward = asyncio.create_task(
            self._pass_on(server_reader, writer, lambda: pair.silent_to_client)
        )
        await asyncio.wait((upward, downward))
        self._pairs.discard(pair)

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_silent: Callable[[], bool],
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if not is_silent():
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if not is_silent():
            writer.close()

    def _cut(self) -> None:
        for pair in list(self._pairs):
            for writer in (pair.client, pair.server):
                endpoint = writer.get_extra_info("socket")
                endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                writer.transport.abort()

    def _silence(self, to_server: bool, to_client: bool) -> None:
        for pair in self._pairs:
            pair.silent_to_server = pair.silent_to_server or to_server
            pair.silent_to_client = pair.silent_to_client or to_client
