"""An entry's connection to one agent, replaced when it fails or becomes unresponsive."""

from __future__ import annotations

import time
from typing import NamedTuple

import anyio
import grpc.aio

from bronzerudder.agent.attempt import RemoteAttempt
from bronzerudder.agent.probe import refuses_connections
from bronzerudder.agent.stream import ExchangeStream
from bronzerudder.configuration import ConfigurationSource
from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.frames import exchange_pb2_grpc
from bronzerudder.frames.batches import MAX_MESSAGE_BYTES, take_batch
from bronzerudder.quarantine import QuarantineFeed

HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TIMEOUT_S = 1.5
RECONNECT_DELAY_S = 0.1
MAX_RECONNECT_DELAY_S = 1.0
RESUME_WINDOW_S = 3.0
# Well below the time for which an agent keeps tombstones, since a resume relies on them.
MAX_UNRESPONSIVE_S = 60.0
CLOSE_TIMEOUT_S = 0.2
MAX_FRAMES_PER_BATCH = 256
CHANNEL_OPTIONS = (
    # Channels to one address would otherwise share a connection, even an unresponsive one.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
)


class AgentState(NamedTuple):
    """State of an agent as known to the entry; the time is in monotonic seconds.

    ``incarnation`` is 0 until the first hello of the agent has arrived.
    """

    connected: bool
    incarnation: int
    leaving: bool
    load: pb.Load
    load_received_at: float


class AgentConnection:
    """Sends attempts to one agent, and passes on the frames that it returns.

    Parameters
    ----------
    address : str
        ``host:port`` of the agent.
    entry_id, failure_domain : str
        Sent to the agent to identify this entry.
    source : ConfigurationSource
        Its revision is sent to the agent, and it receives the agent's.
    feed : QuarantineFeed
        Exchanges crash reports and clearances with the agent.
    """

    def __init__(
        self,
        address: str,
        entry_id: str,
        failure_domain: str,
        source: ConfigurationSource,
        feed: QuarantineFeed,
    ) -> None:
        self._address = address
        self._feed = feed
        self._source = source
        self._entry_id = entry_id
        self._failure_domain = failure_domain
        self._attempts: dict[tuple[str, int], RemoteAttempt] = {}
        self._pending: list[pb.EntryFrame] = []
        self._due = anyio.Event()
        self._connected = False
        self._incarnation = 0
        self._leaving = False
        self._listed_as_leaving = False
        self._load = pb.Load()
        self._load_received_at = 0.0
        self._last_received_at = 0.0
        self._disconnected_at = anyio.current_time()

    @property
    def address(self) -> str:
        """``host:port`` of the agent."""
        return self._address

    @property
    def state(self) -> AgentState:
        """Known state of the agent."""
        return AgentState(
            connected=self._connected,
            incarnation=self._incarnation,
            leaving=self._leaving or self._listed_as_leaving,
            load=self._load,
            load_received_at=self._load_received_at,
        )

    @property
    def outstanding(self) -> int:
        """Attempts without a final event."""
        return len(self._attempts)

    def set_listed_as_leaving(self, leaving: bool) -> None:
        """Record whether the platform lists the agent as leaving."""
        self._listed_as_leaving = leaving

    def start(self, submit: pb.Submit) -> RemoteAttempt:
        """Send a request to the currently connected incarnation of the agent."""
        submit.incarnation = self._incarnation
        attempt = RemoteAttempt(submit, self._send)
        self._attempts[submit.request_id, submit.attempt] = attempt
        self._send(pb.EntryFrame(submit=submit))
        return attempt

    def forget(self, attempt: RemoteAttempt) -> None:
        """Ignore further frames of an attempt."""
        self._attempts.pop((attempt.request_id, attempt.number), None)

    async def run(self) -> None:
        """Keep the connection open, reconnecting with backoff, until cancelled."""
        delay_s = RECONNECT_DELAY_S
        while True:
            started = anyio.current_time()
            await self._run_connection()
            self._mark_disconnected()
            if await refuses_connections(self._address):
                self._fail_sent_attempts("the agent's process is gone")
            delay_s = RECONNECT_DELAY_S if self._last_received_at > started else delay_s * 2
            delay_s = min(delay_s, MAX_RECONNECT_DELAY_S)
            await anyio.sleep(delay_s)
            self._fail_expired_attempts()

    async def _run_connection(self) -> None:
        channel = grpc.aio.insecure_channel(self._address, options=CHANNEL_OPTIONS)
        try:
            await self._exchange(
                ExchangeStream(exchange_pb2_grpc.AgentExchangeStub(channel).Exchange())
            )
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(CLOSE_TIMEOUT_S):
                await channel.close()

    async def _exchange(self, stream: ExchangeStream) -> None:
        self._last_received_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write_all, stream, tasks.cancel_scope)
            tasks.start_soon(self._watch_heartbeat, tasks.cancel_scope)
            await self._read_all(stream)
            tasks.cancel_scope.cancel()
        stream.cancel()

    async def _read_all(self, stream: ExchangeStream) -> None:
        while True:
            batch = await stream.read()
            if batch is None:
                return
            self._last_received_at = anyio.current_time()
            self._handle_batch(batch)

    async def _write_all(self, stream: ExchangeStream, scope: anyio.CancelScope) -> None:
        hello = pb.EntryHello(
            entry_id=self._entry_id,
            failure_domain=self._failure_domain,
            # Also increases over restarts of this process.
            connection=time.time_ns(),
        )
        frames = [pb.EntryFrame(hello=hello)]
        while await stream.write(pb.EntryBatch(revision=self._source.revision, frames=frames)):
            frames = await self._next_frames()
        scope.cancel()

    async def _next_frames(self) -> list[pb.EntryFrame]:
        while not (self._connected and self._pending):
            self._due = anyio.Event()
            with anyio.move_on_after(HEARTBEAT_INTERVAL_S) as idle:
                await self._due.wait()
            if idle.cancelled_caught:
                return [pb.EntryFrame(ping=pb.Ping(reply=True))]
        frames = take_batch(self._pending, MAX_FRAMES_PER_BATCH)
        for frame in frames:
            self._mark_sent(frame)
        return frames

    def _mark_sent(self, frame: pb.EntryFrame) -> None:
        if frame.WhichOneof("body") != "submit":
            return
        attempt = self._attempts.get((frame.submit.request_id, frame.submit.attempt))
        if attempt is not None:
            attempt.mark_sent()

    async def _watch_heartbeat(self, scope: anyio.CancelScope) -> None:
        while True:
            await anyio.sleep(HEARTBEAT_TIMEOUT_S / 4)
            if anyio.current_time() - self._last_received_at > HEARTBEAT_TIMEOUT_S:
                scope.cancel()
                return

    def _send(self, frame: pb.EntryFrame) -> None:
        self._pending.append(frame)
        self._due.set()

    def _send_quarantine(self, update: pb.Quarantine) -> None:
        self._send(pb.EntryFrame(quarantine=update))

    def _handle_batch(self, batch: pb.AgentBatch) -> None:
        self._source.observe(self._address, batch.revision)
        for frame in batch.frames:
            kind = frame.WhichOneof("body")
            if kind == "hello":
                self._handle_hello(batch.incarnation, frame.hello)
            elif kind == "load":
                self._load = frame.load
                self._load_received_at = anyio.current_time()
            elif kind == "leaving":
                self._leaving = True
            elif kind == "quarantine":
                self._feed.receive(frame.quarantine, self._send_quarantine)
            else:
                self._handle_attempt_frame(frame, kind)

    def _handle_hello(self, incarnation: int, hello: pb.AgentHello) -> None:
        if incarnation != self._incarnation:
            self._fail_sent_attempts("the agent restarted")
        self._incarnation = incarnation
        self._leaving = hello.leaving
        resumes = [self._resume(attempt) for attempt in self._attempts.values() if attempt.sent]
        unsent, self._pending = self._pending, resumes
        # The agent must know the suspects of crashes before it receives their requests.
        self._feed.detach(self._send_quarantine)
        self._feed.attach(self._send_quarantine)
        self._pending += unsent
        for attempt in self._attempts.values():
            attempt.repeat_cancel()
        self._connected = True
        self._due.set()

    def _resume(self, attempt: RemoteAttempt) -> pb.EntryFrame:
        resume = pb.Resume(
            request_id=attempt.request_id,
            attempt=attempt.number,
            next_sequence=attempt.next_sequence,
            incarnation=attempt.submit.incarnation,
        )
        return pb.EntryFrame(resume=resume)

    def _handle_attempt_frame(self, frame: pb.AgentFrame, kind: str | None) -> None:
        if kind is None or kind == "ping":
            return
        body = getattr(frame, kind)
        attempt = self._attempts.get((body.request_id, body.attempt))
        if attempt is None:
            return
        attempt.handle_frame(frame, kind)
        if attempt.final:
            self.forget(attempt)

    def _mark_disconnected(self) -> None:
        if self._connected:
            self._disconnected_at = anyio.current_time()
        self._connected = False
        self._feed.detach(self._send_quarantine)
        self._source.forget(self._address)
        self._fail_unsent_attempts()

    def _fail_unsent_attempts(self) -> None:
        for attempt in list(self._attempts.values()):
            if attempt.sent:
                continue
            self.forget(attempt)
            attempt.fail("the connection failed before the request was sent")
        self._pending = [f for f in self._pending if f.WhichOneof("body") != "submit"]

    def _fail_sent_attempts(self, reason: str) -> None:
        for attempt in list(self._attempts.values()):
            if not attempt.sent:
                continue
            self.forget(attempt)
            attempt.fail(reason)

    def _fail_expired_attempts(self) -> None:
        now = anyio.current_time()
        resume_expired = now - self._disconnected_at > RESUME_WINDOW_S
        if resume_expired or now - self._last_received_at > MAX_UNRESPONSIVE_S:
            self._fail_sent_attempts("the agent can not be reached")
