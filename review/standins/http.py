"""A minimal HTTP/1.1 server and client for the stand-ins."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone"}
POLL_S = 0.01


class Request(NamedTuple):
    """A request as received; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Connection:
    """The server's side of one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self._chunked = False

    async def respond(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send a complete answer."""
        self._send_head(status, {**headers, "Content-Length": str(len(body))})
        self.writer.write(body)
        await self.writer.drain()

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send the head of an answer in chunks."""
        self._send_head(status, {**headers, "Transfer-Encoding": "chunked"})
        await self.writer.drain()

    async def chunk(self, data: bytes) -> None:
        """Send a chunk."""
        self.writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await self.writer.drain()

    async def finish(self) -> None:
        """End an answer in chunks."""
        self.writer.write(b"0\r\n\r\n")
        await self.writer.drain()

    def reset(self) -> None:
        """Close with a reset."""
        sock = self.writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    @property
    def lost(self) -> bool:
        """Whether the peer has closed or reset the connection."""
        return self.reader.at_eof() or self.reader.exception() is not None

    def _send_head(self, status: int, headers: dict[str, str]) -> None:
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
        lines.extend(f"{name}: {value}" for name, value in headers.items())
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))


Handler = Callable[[Request, Connection], Awaitable[None]]


class Server:
    """Serves a handler; the handler is cancelled when its peer leaves."""

    def __init__(self, handler: Handler, host: str = "127.0.0.1", port: int = 0) -> None:
        self._handler = handler
        self._host = host
        self.port = port
        self._server: asyncio.Server | None = None
        self._connections: set[Connection] = set()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"{self._host}:{self.port}"

    async def start(self) -> None:
        """Begin to listen, on the same port as before if there was one."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the listener and reset all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        self._connections.add(connection)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                task = asyncio.ensure_future(self._handler(request, connection))
                while not task.done():
                    await asyncio.wait([task], timeout=POLL_S)
                    if connection.lost and not task.done():
                        task.cancel()
                        await asyncio.wait([task])
                        return
                task.result()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(connection)
            writer.close()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read a first line and headers; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    return first, headers


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request with a length or without a body."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    length = int(head[1].get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, head[1], body)


class Answer:
    """What a client has received."""

    def __init__(self) -> None:
        self.sent_at_s = time.monotonic()
        self.ended_at_s = 0.0
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.error = ""

    def describe(self) -> str:
        """One line for the record."""
        end = "complete" if self.complete else f"cut ({self.error or 'connection closed'})"
        return f"status {self.status} {len(self.body)} bytes {end}"


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Answer:
    """Send a request on a new connection and read its answer as far as it comes."""
    answer = Answer()
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1"]
            lines.extend(f"{name}: {value}" for name, value in headers.items())
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            answer.sent_at_s = time.monotonic()
            await _read_answer(reader, answer)
    except TimeoutError:
        answer.error = "no answer in time"
    except OSError as error:
        answer.error = type(error).__name__
    finally:
        answer.ended_at_s = time.monotonic()
        if writer is not None:
            writer.close()
    return answer


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = await read_head(reader)
    if head is None:
        return
    answer.status = int(head[0].split(" ")[1])
    answer.headers = head[1]
    try:
        if "content-length" in answer.headers:
            answer.body = await reader.readexactly(int(answer.headers["content-length"]))
            answer.complete = True
            return
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
            data = await reader.readexactly(size + 2)
            if not size:
                answer.complete = True
                return
            answer.body += data[:-2]
    except asyncio.IncompleteReadError:
        answer.error = "connection closed early"
