"""Crowds of callers that misbehave, each caller on connections of its own."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from typing import NamedTuple

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup

PIECE_BYTES = 8_192
CHUNK_BYTES = 65_536
OVERSIZE_BYTES = 64 * 1_048_576
ANNOUNCED_BYTES = 1 << 30
HEAD_BYTES = 15_000
"""Less than the limit of a head."""
PIPELINED_REQUESTS = 200
SMALL_CHUNKS = b"1\r\nx\r\n" * (CHUNK_BYTES // 6)
RECONNECT_DELAY_S = 0.05
RECEIVE_BYTES = 65_536


class Target(NamedTuple):
    """Where a crowd sends its requests.

    Parameters
    ----------
    address : str
        ``host:port``.
    head : bytes
        Start of a request, without the end of its head.
    body_bytes : int
        The largest body that is served there.
    """

    address: str
    head: bytes
    body_bytes: int


class Crowd:
    """Callers that all do the same at the same time.

    Parameters
    ----------
    clients : int
        Number of callers.
    reads : bool
        Whether they read what they are sent.
    """

    def __init__(self, clients: int, reads: bool = True) -> None:
        self._clients = clients
        self._reads = reads

    @property
    def clients(self) -> int:
        """Number of callers."""
        return self._clients

    def send(self, target: Target) -> Iterator[bytes]:
        """Return what one caller sends on a connection, in pieces; it then stays open."""
        raise NotImplementedError

    async def run(self, targets: list[Target]) -> None:
        """Run the callers, in turn at each target, until cancelled."""
        async with anyio.create_task_group() as tasks:
            for number in range(self._clients):
                tasks.start_soon(self._run_client, targets[number % len(targets)])

    async def _run_client(self, target: Target) -> None:
        while True:
            await self._use_connection(target)
            await anyio.sleep(RECONNECT_DELAY_S)

    async def _use_connection(self, target: Target) -> None:
        """Use one connection until the server closes it."""
        host, _, port = target.address.rpartition(":")
        with socket.socket() as sock:
            sock.setblocking(False)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send, sock, (host, int(port)), target, tasks)

    async def _send(
        self, sock: socket.socket, address: tuple[str, int], target: Target, tasks: TaskGroup
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(sock, address)
            if self._reads:
                tasks.start_soon(self._read, sock, tasks.cancel_scope)
            for piece in self.send(target):
                await loop.sock_sendall(sock, piece)
                await anyio.lowlevel.checkpoint()
            await anyio.sleep_forever()
        except OSError:
            # The connection was refused or closed.
            tasks.cancel_scope.cancel()

    async def _read(self, sock: socket.socket, scope: anyio.CancelScope) -> None:
        loop = asyncio.get_running_loop()
        try:
            while await loop.sock_recv(sock, RECEIVE_BYTES):
                continue
        except OSError:
            # Reset by the server.
            pass
        scope.cancel()


class WholeBodies(Crowd):
    """Bodies of the largest size, at once."""

    def send(self, target: Target) -> Iterator[bytes]:
        """Return what one caller sends."""
        yield _sized_head(target, target.body_bytes)
        yield b"x" * target.body_bytes


class ShortBodies(Crowd):
    """The same bodies without their last byte."""

    def send(self, target: Target) -> Iterator[bytes]:
        """Return what one caller sends."""
        yield _sized_head(target, target.body_bytes)
        yield b"x" * (target.body_bytes - 1)


class ShortBodiesInPieces(Crowd):
    """The same, one piece after another."""

    def send(self, target: Target) -> Iterator[bytes]:
        """Return what one caller sends."""
        yield _sized_head(target, target.body_bytes)
        for start in range(0, target.body_bytes - 1, PIECE_BYTES):
            yield b"x" * min(PIECE_BYTES, target.body_bytes - 1 - start)


class WholeChunkedBodies(Crowd):
    """Bodies of the largest size in large chunks."""

    def send(self, target: Target) -> Iterator[bytes]:
        """Return what one caller sends."""
        yield from _send_large_chunks(target, target.body_bytes)
        yield b"0\r\n\r\n"


class ShortChunkedBodies(Crowd):
    """The same without their end."""

    def send(self, target: Target) -> Iterator[bytes]:
        """Return what one caller sends."""
        yield from _send_large_chunks(target, target.body_bytes)


class ShortBodiesOfSmallChunks(Crowd):
    """Bodies of the largest size in chunks of one byte, without their end."""

    def send(self, target: Target) -> Iterator[bytes]:
        """Return what one caller sends."""
        yield _chunked_head(target)
        for _ in range(target.body_bytes * 6 // len(SMALL_CHUNKS)):
            yield SMALL_CHUNKS


class AnnouncedOversize(Crowd):
    """Bodies whose announced length is far over the limit."""

    def send(self, target: Target) -> Iterator[bytes]:
        """Return what one caller sends."""
        yield _sized_head(target, ANNOUNCED_BYTES)
        for _ in range(OVERSIZE_BYTES // CHUNK_BYTES):
            yield b"x" * CHUNK_BYTES


class SentOversize(Crowd):
    """Bodies far over the limit in chunks, without an announcement."""

    def send(self, target: Target) -> Iterator[bytes]:
        """Return what one caller sends."""
        yield from _send_large_chunks(target, OVERSIZE_BYTES)


class IdleConnections(Crowd):
    """Connections on which nothing is sent."""

    def send(self, target: Target) -> Iterator[bytes]:
        """Return what one caller sends."""
        return iter(())


class ShortHeads(Crowd):
    """Heads without their end."""

    def send(self, target: Target) -> Iterator[bytes]:
        """Return what one caller sends."""
        yield target.head + b"X-Long: " + b"x" * HEAD_BYTES


class PipelinedBytes(Crowd):
    """A request, and many bytes behind it while it is served."""

    def send(self, target: Target) -> Iterator[bytes]:
        """Return what one caller sends."""
        yield _sized_head(target, 1) + b"x"
        for _ in range(target.body_bytes // CHUNK_BYTES):
            yield _sized_head(target, CHUNK_BYTES) + b"x" * CHUNK_BYTES


class UnreadAnswers(Crowd):
    """Many requests one behind the other, whose answers are never read."""

    def __init__(self, clients: int) -> None:
        super().__init__(clients, reads=False)

    def send(self, target: Target) -> Iterator[bytes]:
        """Return what one caller sends."""
        for _ in range(PIPELINED_REQUESTS):
            yield _sized_head(target, 1) + b"x"


def _sized_head(target: Target, size: int) -> bytes:
    return target.head + f"Content-Length: {size}\r\n\r\n".encode()


def _chunked_head(target: Target) -> bytes:
    return target.head + b"Transfer-Encoding: chunked\r\n\r\n"


def _send_large_chunks(target: Target, size: int) -> Iterator[bytes]:
    yield _chunked_head(target)
    for start in range(0, size, CHUNK_BYTES):
        data = b"x" * min(CHUNK_BYTES, size - start)
        yield f"{len(data):x}\r\n".encode() + data + b"\r\n"
