"""Sends the events of a stream to the caller."""

from __future__ import annotations

import time

from bronzerudder.http1 import ResponseWriter
from bronzerudder.web.event_stream import EventSequence


class StreamRelay:
    """One caller's stream, which several backend servers may serve one after another.

    Parameters
    ----------
    writer : ResponseWriter
        Writes the response to the caller.
    last_event_id : str
        Id of the last event that the caller has when it sends the request; empty if none.
    arrived_at_s : float
        Monotonic arrival time of the request.
    """

    def __init__(self, writer: ResponseWriter, last_event_id: str, arrived_at_s: float) -> None:
        self._writer = writer
        self._sequence = EventSequence(last_event_id)
        self._last_event_at_s = arrived_at_s
        self._longest_gap_s = 0.0
        self._started = False

    @property
    def started(self) -> bool:
        """Whether the caller has received the head."""
        return self._started

    @property
    def last_event_id(self) -> str:
        """Id of the last event that the caller has; empty if none."""
        return self._sequence.last_event_id

    @property
    def resumable(self) -> bool:
        """Whether a stream that goes on after `last_event_id` repeats no event."""
        return self._sequence.resumable

    @property
    def last_event_at_s(self) -> float:
        """Monotonic time of the last event, or of the request's arrival."""
        return self._last_event_at_s

    @property
    def longest_gap_s(self) -> float:
        """Longest pause between two events."""
        return self._longest_gap_s

    async def begin(self, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head, unless an earlier answer of this stream has sent it."""
        if not self._started:
            self._started = True
            await self._writer.start(200, headers)

    async def forward(self, headers: list[tuple[bytes, bytes]], data: bytes) -> str:
        """Send complete events up to the first faulty one; return its fault, or an empty string."""
        events, fault = self._sequence.accept(data)
        if not events:
            return fault
        now_s = time.monotonic()
        if self._started:
            self._longest_gap_s = max(self._longest_gap_s, now_s - self._last_event_at_s)
        self._last_event_at_s = now_s
        await self.begin(headers)
        await self._writer.write(events)
        return fault

    async def finish(self, headers: list[tuple[bytes, bytes]]) -> None:
        """End the stream as complete."""
        await self.begin(headers)
        await self._writer.finish()
