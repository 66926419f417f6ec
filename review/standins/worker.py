"""A stand-in for a worker: runs plain requests and streams, and registers itself."""

from __future__ import annotations

import asyncio
import json
import time
from typing import NamedTuple

from standins.http import Connection, Request, Server
from standins.store import HEARTBEAT_S, SERVERS, Store

READ_TOKENS_PER_S = 61_200.0


class Run(NamedTuple):
    """A request that reached the worker."""

    request_id: str
    at_s: float
    ran: bool


class _Stream:
    def __init__(self, request_id: str, prompt_tokens: int) -> None:
        self.request_id = request_id
        self.tokens = prompt_tokens
        self.preempted_at_s: float | None = None


class Worker:
    """One worker.

    Parameters
    ----------
    store : Store
        Where it registers.
    instance_id, service : str
        Its id and service.
    work_s : float
        Time that a plain request takes.
    events, event_gap_s : int, float
        Events of a stream, and the time between them.
    kv_total : int
        Tokens that fit in its memory. Beyond them the newest stream is preempted. Once there is
        room, it is read again and goes on.
    tokens_per_event : int
        Tokens that an event holds.
    """

    def __init__(
        self,
        store: Store,
        instance_id: str,
        service: str,
        work_s: float = 0.045,
        events: int = 28,
        event_gap_s: float = 0.04,
        kv_total: int = 186_000,
        tokens_per_event: int = 5,
    ) -> None:
        self.instance_id = instance_id
        self.arrivals: list[Run] = []
        self.leaving = False
        self.shedding = False
        self.preemptions: list[tuple[str, float, float]] = []
        self.server = Server(self._handle)
        self._store = store
        self._service = service
        self._work_s = work_s
        self._events = events
        self._event_gap_s = event_gap_s
        self._kv_total = kv_total
        self._tokens_per_event = tokens_per_event
        self._running = 0
        self._streams: list[_Stream] = []
        self._born_ms = int(time.time() * 1000)
        self._listed = True

    async def start(self) -> None:
        """Serve and register."""
        await self.server.start()
        self.register()

    def register(self) -> None:
        """Write its entry."""
        spec = {
            "service": self._service,
            "address": self.server.address,
            "zone": "zone-a",
            "version": 1,
            "slots": 6,
            "state": "draining" if self.leaving else "ready",
            "cold_left_ms": 0,
            "born": self._born_ms,
        }
        if self._listed:
            self._store.put(SERVERS, self.instance_id, json.dumps(spec))

    async def run_heartbeats(self) -> None:
        """Write its entry once a heartbeat."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    def leave(self) -> None:
        """Leave without reporting that it drains: its entry is removed, and it serves on."""
        self.leaving = True
        self._listed = False
        self._store.remove(SERVERS, self.instance_id)

    async def _handle(self, request: Request, connection: Connection) -> None:
        request_id = request.headers.get("attempt-id", "")
        headers = {
            "Attempt-Id": request_id,
            "Server-Load": f"{self._running},0,6",
            "Keep-Alive": "timeout=10",
        }
        if self.leaving:
            headers["Server-Leaving"] = "1"
        if request.headers.get("expect-instance", self.instance_id) != self.instance_id:
            await connection.respond(421, {**headers, "Not-Executed": "1"}, b"")
            return
        ran = not self.shedding
        self.arrivals.append(Run(request_id, time.monotonic(), ran))
        if not ran:
            await connection.respond(503, {**headers, "Not-Executed": "1"}, b"")
            return
        headers["Response-Signature"] = f"signed-{request_id}"
        self._running += 1
        try:
            if "prompt-prefix" in request.headers:
                await self._stream(request, connection, headers)
                return
            await asyncio.sleep(self._work_s)
            await connection.respond(200, headers, b"x" * 800)
        finally:
            self._running -= 1

    async def _stream(
        self, request: Request, connection: Connection, headers: dict[str, str]
    ) -> None:
        prompt_tokens = int(request.headers["token-usage"].partition(",")[0])
        first = int(request.headers.get("last-event-id", "0")) + 1
        stream = _Stream(request.headers.get("attempt-id", ""), prompt_tokens)
        # An engine admits a prompt that fits now; the answers that grow may not fit later.
        while sum(item.tokens for item in self._streams) + prompt_tokens > self._kv_total:
            await asyncio.sleep(0.005)
        self._streams.append(stream)
        try:
            await connection.start(200, {**headers, "Content-Type": "text/event-stream"})
            await asyncio.sleep(stream.tokens / READ_TOKENS_PER_S)
            for number in range(first, self._events + 1):
                await asyncio.sleep(self._event_gap_s)
                stream.tokens += self._tokens_per_event
                await self._wait_for_memory(stream)
                await connection.chunk(b"id: %d\ndata: %d\n\n" % (number, number))
            await connection.finish()
        finally:
            self._streams.remove(stream)

    async def _wait_for_memory(self, stream: _Stream) -> None:
        """Wait while this stream is preempted: it is the newest, and memory has run out."""
        used = sum(item.tokens for item in self._streams if item.preempted_at_s is None)
        if used <= self._kv_total or self._streams[-1] is not stream:
            return
        stream.preempted_at_s = time.monotonic()
        try:
            while True:
                await asyncio.sleep(0.005)
                used = sum(item.tokens for item in self._streams if item.preempted_at_s is None)
                if used + stream.tokens <= self._kv_total:
                    break
            await asyncio.sleep(stream.tokens / READ_TOKENS_PER_S)
        finally:
            ended_s = time.monotonic()
            self.preemptions.append((stream.request_id, stream.preempted_at_s, ended_s))
            stream.preempted_at_s = None
