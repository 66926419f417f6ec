"""Barrier between stand-in ranks over TCP, which keeps their steps in lock-step."""

from __future__ import annotations

import anyio
import anyio.abc
import msgspec
from anyio.streams.buffered import BufferedByteReceiveStream

RECONNECT_DELAY_S = 0.05
MAX_LINE_BYTES = 256
REPEAT_INTERVAL_S = 0.25


class Barrier:
    """Announces the step that this rank is ready for, and receives the same from the others.

    Parameters
    ----------
    rank : int
        Number of this rank.
    addresses : tuple of str
        ``host:port`` of each rank's listener.
    """

    def __init__(self, rank: int, addresses: tuple[str, ...]) -> None:
        self._rank = rank
        self._addresses = addresses
        self._ready = dict.fromkeys(range(len(addresses)), -1)
        self._changed = anyio.Event()

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen, and keep a connection to every other rank."""
        host, _, port = self._addresses[self._rank].rpartition(":")
        listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self._receive)
            for rank in range(len(self._addresses)):
                if rank != self._rank:
                    tasks.start_soon(self._announce, rank)
            task_status.started()

    def declare(self, step: int) -> None:
        """Announce that this rank is ready for a step."""
        self._set(self._rank, step)

    async def wait_all(self, step: int) -> None:
        """Wait until every rank is ready for a step."""
        while min(self._ready.values()) < step:
            await self._changed.wait()

    def _set(self, rank: int, step: int) -> None:
        self._ready[rank] = step
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    async def _receive(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            lines = BufferedByteReceiveStream(stream)
            while True:
                try:
                    line = await lines.receive_until(b"\n", MAX_LINE_BYTES)
                except (anyio.IncompleteRead, anyio.BrokenResourceError, anyio.EndOfStream):
                    return
                rank, step = msgspec.json.decode(line, type=tuple[int, int])
                self._set(rank, step)

    async def _announce(self, rank: int) -> None:
        host, _, port = self._addresses[rank].rpartition(":")
        while True:
            try:
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    await self._send_changes(stream)
            except (OSError, anyio.BrokenResourceError):
                await anyio.sleep(RECONNECT_DELAY_S)

    async def _send_changes(self, stream: anyio.abc.SocketStream) -> None:
        while True:
            step = self._ready[self._rank]
            await stream.send(msgspec.json.encode((self._rank, step)) + b"\n")
            with anyio.move_on_after(REPEAT_INTERVAL_S):
                while self._ready[self._rank] == step:
                    await self._changed.wait()
