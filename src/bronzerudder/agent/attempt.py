"""One attempt that an entry sent to an agent."""

from __future__ import annotations

import collections
from collections.abc import Callable

import anyio

from bronzerudder.agent.events import FINAL_EVENTS, AnswerEvent, Body, Completed, Cut, Head, Lost
from bronzerudder.agent.events import Refused as RefusedEvent
from bronzerudder.frames import exchange_pb2 as pb

ACK_INTERVAL_CHUNKS = 64
ACK_INTERVAL_BYTES = 131_072


class RemoteAttempt:
    """Orders the frames of one attempt, drops repeats, and checks that none is missing.

    Parameters
    ----------
    submit : pb.Submit
        The request as sent.
    send : callable
        Queues a frame to the agent.
    """

    def __init__(self, submit: pb.Submit, send: Callable[[pb.EntryFrame], None]) -> None:
        self._submit = submit
        self._send = send
        self._events: collections.deque[AnswerEvent] = collections.deque()
        self._arrived = anyio.Event()
        self._next_sequence = 0
        self._sent = False
        self._final = False
        self._cancel: pb.Cancel | None = None
        self._unacknowledged_chunks = 0
        self._unacknowledged_bytes = 0

    @property
    def request_id(self) -> str:
        """Identity of the request."""
        return self._submit.request_id

    @property
    def number(self) -> int:
        """Number of the attempt within the request."""
        return self._submit.attempt

    @property
    def submit(self) -> pb.Submit:
        """The request as sent."""
        return self._submit

    @property
    def next_sequence(self) -> int:
        """Sequence number of the next frame that is expected."""
        return self._next_sequence

    @property
    def sent(self) -> bool:
        """Whether any part of the request may have left this process."""
        return self._sent

    @property
    def final(self) -> bool:
        """Whether the last event has arrived."""
        return self._final

    def mark_sent(self) -> None:
        """Record that the request is about to leave this process."""
        self._sent = True

    async def next_event(self) -> AnswerEvent:
        """Wait for the next event; the last one is one of ``FINAL_EVENTS``."""
        while not self._events:
            self._arrived = anyio.Event()
            await self._arrived.wait()
        event = self._events.popleft()
        if isinstance(event, Body):
            self._count_delivered(len(event.payload))
        return event

    def cancel(self, only_if_not_started: bool) -> None:
        """Withdraw the attempt; a proof that it never ran comes back as an event."""
        self._cancel = pb.Cancel(
            request_id=self.request_id,
            attempt=self.number,
            only_if_not_started=only_if_not_started,
        )
        self.repeat_cancel()

    def repeat_cancel(self) -> None:
        """Send the cancellation again, on a connection that may have replaced another."""
        if self._cancel is not None:
            self._send(pb.EntryFrame(cancel=self._cancel))

    def take(self, frame: pb.AgentFrame, kind: str) -> None:
        """Act on a frame from the agent."""
        if self._final:
            return
        if kind == "head":
            self._take_head(frame.head)
        elif kind == "chunk":
            self._take_chunk(frame.chunk)
        elif kind == "finished":
            self._take_finished(frame.finished)
        elif kind == "refused":
            self._take_refused(frame.refused)
        elif kind == "resume_failed":
            self.lose("the agent no longer holds the answer")

    def lose(self, reason: str) -> None:
        """Conclude without an answer; not sent at all is as good as refused."""
        if self._final:
            return
        if not self._sent:
            self._push(RefusedEvent(pb.REFUSAL_REASON_UNSPECIFIED, reason, 0.0))
            return
        self._push(Lost(reason))

    def _take_head(self, head: pb.Head) -> None:
        if self._next_sequence != 0:
            return
        self._next_sequence = 1
        headers = tuple((header.name, header.value) for header in head.headers)
        self._push(Head(head.status, headers))

    def _take_chunk(self, chunk: pb.Chunk) -> None:
        if chunk.sequence != self._next_sequence:
            return
        self._next_sequence += 1
        self._push(Body(chunk.payload))

    def _take_finished(self, finished: pb.Finished) -> None:
        complete = finished.state == pb.FINISH_STATE_COMPLETE
        if complete and finished.chunk_count != self._next_sequence - 1:
            self.lose("the agent's count of chunks does not match what arrived")
            return
        self._acknowledge(finished.chunk_count + 2)
        if complete:
            self._push(Completed(finished.replayed))
            return
        self._push(Cut(finished.state, finished.detail, finished.retry_after_ms / 1000))

    def _take_refused(self, refused: pb.Refused) -> None:
        self._push(RefusedEvent(refused.reason, refused.detail, refused.retry_after_ms / 1000))

    def _push(self, event: AnswerEvent) -> None:
        self._final = isinstance(event, FINAL_EVENTS)
        self._events.append(event)
        self._arrived.set()

    def _count_delivered(self, size: int) -> None:
        self._unacknowledged_chunks += 1
        self._unacknowledged_bytes += size
        due = self._unacknowledged_chunks >= ACK_INTERVAL_CHUNKS
        if self._final or not (due or self._unacknowledged_bytes >= ACK_INTERVAL_BYTES):
            return
        self._unacknowledged_chunks = 0
        self._unacknowledged_bytes = 0
        delivered = self._next_sequence - sum(isinstance(event, Body) for event in self._events)
        self._acknowledge(delivered)

    def _acknowledge(self, next_sequence: int) -> None:
        ack = pb.Ack(request_id=self.request_id, attempt=self.number, next_sequence=next_sequence)
        self._send(pb.EntryFrame(ack=ack))
