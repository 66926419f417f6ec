"""One attempt that an entry sent to an agent."""

from __future__ import annotations

import collections
from collections.abc import Callable

import anyio

from bronzerudder.agent.events import (
    FINAL_EVENTS,
    AnswerEvent,
    Body,
    Completed,
    Head,
    Incomplete,
    Lost,
)
from bronzerudder.agent.events import Refused as RefusedEvent
from bronzerudder.frames import exchange_pb2 as pb

ACK_INTERVAL_CHUNKS = 64
ACK_INTERVAL_BYTES = 131_072


class RemoteAttempt:
    """Turns the frames of one attempt into events; drops repeated frames and detects missing ones.

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
        self._event_added = anyio.Event()
        self._next_sequence = 0
        self._sent = False
        self._final = False
        self._cancel: pb.Cancel | None = None
        self._unacknowledged_chunks = 0
        self._unacknowledged_bytes = 0

    @property
    def request_id(self) -> str:
        """Id of the request."""
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
        """Sequence number of the next expected frame."""
        return self._next_sequence

    @property
    def sent(self) -> bool:
        """Whether any part of the request may have left this process."""
        return self._sent

    @property
    def final(self) -> bool:
        """Whether the final event has arrived."""
        return self._final

    def mark_sent(self) -> None:
        """Record that the request is about to leave this process."""
        self._sent = True

    async def next_event(self) -> AnswerEvent:
        """Wait for the next event; the last one is an instance of one of ``FINAL_EVENTS``."""
        while not self._events:
            self._event_added = anyio.Event()
            await self._event_added.wait()
        event = self._events.popleft()
        if isinstance(event, Body):
            self._count_delivered(len(event.payload))
        return event

    def cancel(self, only_if_not_started: bool) -> None:
        """Cancel the attempt; if it never ran, a `Refused` event follows as proof."""
        self._cancel = pb.Cancel(
            request_id=self.request_id,
            attempt=self.number,
            only_if_not_started=only_if_not_started,
        )
        self.repeat_cancel()

    def repeat_cancel(self) -> None:
        """Send the cancellation, if any, again; needed after a reconnect."""
        if self._cancel is not None:
            self._send(pb.EntryFrame(cancel=self._cancel))

    def handle_frame(self, frame: pb.AgentFrame, kind: str) -> None:
        """Handle a frame from the agent; frames after the final event are ignored."""
        if self._final:
            return
        if kind == "head":
            self._handle_head(frame.head)
        elif kind == "chunk":
            self._handle_chunk(frame.chunk)
        elif kind == "finished":
            self._handle_finished(frame.finished)
        elif kind == "refused":
            self._handle_refused(frame.refused)
        elif kind == "resume_failed":
            self.fail("the agent no longer holds the answer")

    def fail(self, reason: str) -> None:
        """End the attempt without an answer; one that was never sent counts as refused."""
        if self._final:
            return
        if not self._sent:
            self._push(RefusedEvent(pb.REFUSAL_REASON_UNSPECIFIED, reason, 0.0))
            return
        self._push(Lost(reason))

    def _handle_head(self, head: pb.Head) -> None:
        if self._next_sequence != 0:
            return
        self._next_sequence = 1
        headers = tuple((header.name, header.value) for header in head.headers)
        self._push(Head(head.status, headers))

    def _handle_chunk(self, chunk: pb.Chunk) -> None:
        if chunk.sequence != self._next_sequence:
            return
        self._next_sequence += 1
        self._push(Body(chunk.payload))

    def _handle_finished(self, finished: pb.Finished) -> None:
        complete = finished.state == pb.FINISH_STATE_COMPLETE
        if complete and finished.chunk_count != self._next_sequence - 1:
            self.fail("the agent's count of chunks does not match what arrived")
            return
        # The head, the chunks and the final frame.
        self._acknowledge(finished.chunk_count + 2)
        if complete:
            self._push(Completed(finished.replayed))
            return
        self._push(Incomplete(finished.state, finished.detail, finished.retry_after_ms / 1000))

    def _handle_refused(self, refused: pb.Refused) -> None:
        self._push(RefusedEvent(refused.reason, refused.detail, refused.retry_after_ms / 1000))

    def _push(self, event: AnswerEvent) -> None:
        self._final = isinstance(event, FINAL_EVENTS)
        self._events.append(event)
        self._event_added.set()

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
