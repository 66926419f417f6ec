"""One connection of an entry to this agent."""

from __future__ import annotations

from typing import Any

import anyio

from bronzerudder.entry.context import SessionContext
from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.frames.batches import take_batch

HEARTBEAT_TIMEOUT_S = 5.0
LOAD_INTERVAL_S = 0.25


class EntrySession:
    """Passes frames between one entry and the executor.

    Frames that are queued at the same time share a message.

    Parameters
    ----------
    context : SessionContext
        Components shared by all connections.
    """

    def __init__(self, context: SessionContext) -> None:
        self._executor = context.executor
        self._feed = context.feed
        self._source = context.source
        self._packing = context.packing
        self._incarnation = context.identity.incarnation
        self._pending: list[pb.AgentFrame] = []
        self._due = anyio.Event()
        self._closed = False
        self._last_received_at = anyio.current_time()
        self._entry_id = ""
        self._connection = 0
        hello = pb.AgentHello(
            agent_id=context.identity.agent_id,
            failure_domain=context.identity.failure_domain,
            leaving=context.executor.leaving,
        )
        self.send(pb.AgentFrame(hello=hello))
        context.feed.attach(self._send_quarantine)

    @property
    def entry_id(self) -> str:
        """Id of the entry; empty until its hello has arrived."""
        return self._entry_id

    @property
    def connection(self) -> int:
        """Number of this connection, which increases with each connection of the entry."""
        return self._connection

    @property
    def closed(self) -> bool:
        """Whether the session has stopped handling and sending frames."""
        return self._closed

    def send(self, frame: pb.AgentFrame) -> None:
        """Queue a frame to the entry."""
        self._pending.append(frame)
        self._due.set()

    def close(self) -> None:
        """End the session; unfinished answers are buffered until the entry reconnects."""
        if self._entry_id and not self._closed:
            self._executor.route_uses.disconnect(self._entry_id)
        self._closed = True
        self._due.set()
        self._feed.detach(self._send_quarantine)
        self._executor.detach(self.send)

    async def write_all(self, writer: Any) -> None:
        """Write queued frames until the session closes."""
        while not self._closed:
            await self._due.wait()
            self._due = anyio.Event()
            if self._packing.delay_s:
                await anyio.sleep(self._packing.delay_s)
            while self._pending and not self._closed:
                await writer.write(self._next_batch())

    def _next_batch(self) -> pb.AgentBatch:
        frames = take_batch(self._pending, self._packing.max_frames)
        return pb.AgentBatch(
            incarnation=self._incarnation, revision=self._source.revision, frames=frames
        )

    async def report_load(self) -> None:
        """Send the load when it has changed; close the session of an unresponsive entry."""
        sent = None
        while not self._closed:
            load = self._executor.build_load(self._entry_id)
            if load != sent:
                self.send(pb.AgentFrame(load=load))
                sent = load
            await anyio.sleep(LOAD_INTERVAL_S)
            if anyio.current_time() - self._last_received_at > HEARTBEAT_TIMEOUT_S:
                self.close()

    def handle_batch(self, batch: pb.EntryBatch) -> None:
        """Handle a message from the entry; a closed session ignores it."""
        if self._closed:
            return
        self._last_received_at = anyio.current_time()
        for frame in batch.frames:
            self._handle_frame(frame)
        self._source.observe(self._entry_id, batch.revision)

    def _send_quarantine(self, update: pb.Quarantine) -> None:
        self.send(pb.AgentFrame(quarantine=update))

    def _handle_frame(self, frame: pb.EntryFrame) -> None:
        kind = frame.WhichOneof("body")
        if kind == "submit":
            self._executor.submit(frame.submit, self.send, self._entry_id)
        elif kind == "ack":
            self._executor.acknowledge(frame.ack)
        elif kind == "cancel":
            self._executor.cancel(frame.cancel, self.send)
        elif kind == "resume":
            self._executor.resume(frame.resume, self.send)
        elif kind == "ping" and frame.ping.reply:
            self.send(pb.AgentFrame(ping=pb.Ping(nonce=frame.ping.nonce)))
        elif kind == "quarantine":
            self._feed.receive(frame.quarantine, self._send_quarantine)
        elif kind == "hello" and not self._entry_id:
            self._executor.route_uses.connect(frame.hello.entry_id)
            self._entry_id = frame.hello.entry_id
            self._connection = frame.hello.connection
