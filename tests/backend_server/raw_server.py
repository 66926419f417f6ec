"""An HTTP server that answers with given bytes, valid or not."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import AsyncIterator

import anyio
from anyio.streams.buffered import BufferedByteReceiveStream

MAX_HEAD_BYTES = 65_536
HEAD_END = b"\r\n\r\n"
CLOSE = "close"
RESET = "reset"
ENDLESS = "endless"
# With l_linger 0, closing a socket resets its connection.
RESET_LINGER = struct.pack("ii", 1, 0)


class RawServer:
    """Plays the next script to each request: its items in order.

    Bytes are sent; an event is waited for; `CLOSE` and `RESET` end the connection; `ENDLESS` and
    the bytes after it are sent until the client closes.
    """

    def __init__(self, *scripts):
        self._scripts = list(scripts)
        self._listener = None
        self._connections = 0
        self._changed = anyio.Event()
        self.url = ""
        self.requests = []
        self.connections = []
        self.closed = 0

    async def wait_closed(self, count):
        """Wait until the client or a script has closed this many connections."""
        while self.closed < count:
            await self._changed.wait()

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator[RawServer]:
        """Listen on a free port until the block ends."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.url = f"http://127.0.0.1:{port}"
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self._serve_connection)
            yield self
            tasks.cancel_scope.cancel()

    async def _serve_connection(self, stream):
        self._connections += 1
        number = self._connections
        try:
            async with stream:
                await self._serve_requests(stream, number)
        except (anyio.BrokenResourceError, anyio.EndOfStream, anyio.IncompleteRead):
            pass
        finally:
            self.closed += 1
            changed, self._changed = self._changed, anyio.Event()
            changed.set()

    async def _serve_requests(self, stream, number):
        buffered = BufferedByteReceiveStream(stream)
        while True:
            head = await buffered.receive_until(HEAD_END, MAX_HEAD_BYTES)
            length = 0
            for line in head.lower().split(b"\r\n"):
                if line.startswith(b"content-length:"):
                    length = int(line.partition(b":")[2])
            if length:
                await buffered.receive_exactly(length)
            self.requests.append(head)
            self.connections.append(number)
            if not await self._play(self._scripts.pop(0), stream):
                return

    async def _play(self, script, stream):
        items = list(script)
        while items:
            item = items.pop(0)
            if isinstance(item, anyio.Event):
                await item.wait()
            elif item == CLOSE:
                return False
            elif item == RESET:
                raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
                return False
            elif item == ENDLESS:
                while True:
                    await stream.send(items[0])
            else:
                await stream.send(item)
        return True
