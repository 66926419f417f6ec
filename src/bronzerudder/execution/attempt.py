"""State of one attempt at this agent: its request, its progress and its buffered answer."""

from __future__ import annotations

import collections
import enum
from collections.abc import Callable
from typing import NamedTuple

import anyio

from bronzerudder.frames import exchange_pb2 as pb

BUFFER_LIMIT_BYTES = 1_000_000
# A frame takes some hundred bytes of memory beside its payload.
BUFFER_LIMIT_FRAMES = 4_096
# Equals the largest `answer_limit_bytes`. A longer copy stops growing at the first chunk beyond it:
# it then exceeds every limit, so that the claim register never stores a truncated answer.
KEPT_ANSWER_LIMIT_BYTES = 65_536

EVENT_END = b"\n\n"

SendFrame = Callable[[pb.AgentFrame], None]


class AttemptKey(NamedTuple):
    """Request id, and number of the attempt within the request."""

    request_id: str
    attempt: int


class AttemptState(enum.Enum):
    """Execution state of an attempt."""

    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"


class AnswerHead(NamedTuple):
    """Status and headers of an answer."""

    status: int
    headers: tuple[tuple[str, str], ...]


class KeptAnswer(NamedTuple):
    """Copy of an answer as emitted so far, for replay to later requests with the same key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class _BufferedFrame(NamedTuple):
    sequence: int
    frame: pb.AgentFrame
    size: int


class Attempt:
    """Buffers the frames of an answer until the entry acknowledges them.

    The head has sequence number 0, chunks count from 1, and the final frame follows the last
    chunk.
    """

    def __init__(self, key: AttemptKey, submit: pb.Submit, send: SendFrame, now: float) -> None:
        self._key = key
        self._submit = submit
        self._send: SendFrame | None = send
        self._detached_at = now
        self._state = AttemptState.QUEUED
        self._frames: collections.deque[_BufferedFrame] = collections.deque()
        self._buffered_bytes = 0
        self._next_sequence = 0
        self._space_freed = anyio.Event()
        self._cancel_requested = anyio.Event()
        self.on_tokens: Callable[[int], None] | None = None
        self.on_buffer_full: Callable[[], None] | None = None
        self._finish_state = pb.FINISH_STATE_UNSPECIFIED
        self._refused = False
        self._kept_answer: KeptAnswer | None = None
        self._keeps_answer = False
        self._head: AnswerHead | None = None

    @property
    def key(self) -> AttemptKey:
        """Request id and attempt number."""
        return self._key

    @property
    def submit(self) -> pb.Submit:
        """The request."""
        return self._submit

    @property
    def state(self) -> AttemptState:
        """Whether it is queued, running or finished."""
        return self._state

    @property
    def attached(self) -> bool:
        """Whether a connection to the entry receives the answer."""
        return self._send is not None

    @property
    def detached_at(self) -> float:
        """When the last connection was detached, in monotonic seconds."""
        return self._detached_at

    @property
    def acknowledged(self) -> bool:
        """Whether the entry has acknowledged the complete answer."""
        return self._state is AttemptState.FINISHED and not self._frames

    @property
    def cancel_requested(self) -> anyio.Event:
        """Set once a cancellation has been requested."""
        return self._cancel_requested

    @property
    def chunk_count(self) -> int:
        """Chunks emitted so far."""
        return max(0, self._next_sequence - 1)

    @property
    def head(self) -> AnswerHead | None:
        """Head of the answer, once it has been emitted."""
        return self._head

    @property
    def refused(self) -> bool:
        """Whether it was refused, which proves that it has not run."""
        return self._refused

    @property
    def finish_state(self) -> pb.FinishState:
        """State in the final frame; unspecified until it is emitted, and after a refusal."""
        return self._finish_state

    @property
    def kept_answer(self) -> KeptAnswer | None:
        """Copy of the answer so far, if one is kept and the head has been emitted."""
        return self._kept_answer

    def keep_answer(self) -> None:
        """Keep a copy of the answer beyond its acknowledgement."""
        self._keeps_answer = True

    def start(self) -> None:
        """Mark it as running; from now on it may have had an effect."""
        self._state = AttemptState.RUNNING

    def emit_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Emit the status and headers."""
        self._head = AnswerHead(status, headers)
        if self._keeps_answer:
            self._kept_answer = KeptAnswer(status, headers, b"")
        fields = [pb.Header(name=name, value=value) for name, value in headers]
        head = pb.Head(status=status, headers=fields, **self._key._asdict())
        self._emit(pb.AgentFrame(head=head), 0)

    def emit_chunk(self, payload: bytes) -> None:
        """Emit the next chunk of the body, and report its estimated number of tokens."""
        if self.on_tokens is not None:
            self.on_tokens(max(1, payload.count(EVENT_END)))
        if self._kept_answer is not None and len(self._kept_answer.body) <= KEPT_ANSWER_LIMIT_BYTES:
            self._kept_answer = self._kept_answer._replace(body=self._kept_answer.body + payload)
        chunk = pb.Chunk(sequence=self._next_sequence, payload=payload, **self._key._asdict())
        self._emit(pb.AgentFrame(chunk=chunk), len(payload))

    def emit_finished(
        self,
        state: pb.FinishState,
        detail: str = "",
        replayed: bool = False,
        retry_after_ms: int = 0,
    ) -> None:
        """Emit the final frame, unless one has been emitted."""
        if self._state is AttemptState.FINISHED:
            return
        self._state = AttemptState.FINISHED
        self._finish_state = state
        finished = pb.Finished(
            chunk_count=self.chunk_count,
            state=state,
            detail=detail,
            replayed=replayed,
            retry_after_ms=retry_after_ms,
            **self._key._asdict(),
        )
        self._emit(pb.AgentFrame(finished=finished), 0)

    def emit_refused(self, refused: pb.Refused) -> None:
        """Send a refusal without buffering it; `AttemptTable` repeats it if this copy is lost."""
        self._state = AttemptState.FINISHED
        self._refused = True
        if self._send is not None:
            self._send(pb.AgentFrame(refused=refused))

    def acknowledge(self, next_sequence: int) -> None:
        """Drop the frames that the entry has received."""
        while self._frames and self._frames[0].sequence < next_sequence:
            self._buffered_bytes -= self._frames.popleft().size
        self._notify_space()

    def attach(self, send: SendFrame, next_sequence: int) -> None:
        """Send buffered frames from a sequence number on, and all later ones, to a connection."""
        self.acknowledge(next_sequence)
        self._send = send
        for buffered in self._frames:
            send(buffered.frame)

    def detach(self, send: SendFrame, now: float) -> None:
        """Only buffer frames until another connection is attached; ignored if one already is."""
        # A bound method is a new object each time, so it is compared by value.
        if self._send != send:
            return
        self._send = None
        self._detached_at = now

    def request_cancel(self) -> None:
        """Ask the task that runs the attempt to cancel it."""
        self._cancel_requested.set()
        self._notify_space()

    async def wait_for_space(self) -> None:
        """Wait until the buffer is within its limit or a cancellation is requested."""
        while self._is_buffer_full() and not self._cancel_requested.is_set():
            if self.on_buffer_full is not None:
                self.on_buffer_full()
            await self._space_freed.wait()

    def _is_buffer_full(self) -> bool:
        return self._buffered_bytes > BUFFER_LIMIT_BYTES or len(self._frames) > BUFFER_LIMIT_FRAMES

    def _emit(self, frame: pb.AgentFrame, size: int) -> None:
        self._frames.append(_BufferedFrame(self._next_sequence, frame, size))
        self._next_sequence += 1
        self._buffered_bytes += size
        if self._send is not None:
            self._send(frame)

    def _notify_space(self) -> None:
        freed, self._space_freed = self._space_freed, anyio.Event()
        freed.set()
