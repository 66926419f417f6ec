"""Sends the events of a stream to the caller."""

from __future__ import annotations

import time

from bronzerudder.http1 import ResponseWriter
from bronzerudder.web.event_stream import find_last_event_id


class StreamRelay:
    """One caller's stream, which several backend servers may serve one after another.

    Parameters
    ----------
    writer : ResponseWriter
        Writes the response to the caller.
    last_event_id : str
        Id of the last event that the caller already has; empty if none.
    arrived_at_s : float
        Monotonic arrival time of the request.
    """

    def __init__(self, writer: ResponseWriter, last_event_id: str, arrived_at_s: float) -> None:
        self._writer = writer
        self._last_event_id = last_event_id
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
        return self._last_event_id

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

    async def forward(self, headers: list[tuple[bytes, bytes]], events: bytes) -> None:
        """Send complete events."""
        now_s = time.monotonic()
        if self._started:
            self._longest_gap_s = max(self._longest_gap_s, now_s - self._last_event_at_s)
        self._last_event_at_s = now_s
        await self.begin(headers)
        await self._writer.write(events)
        self._last_event_id = find_last_event_id(events) or self._last_event_id

    async def finish(self, headers: list[tuple[bytes, bytes]]) -> None:
        """End the stream as complete."""
        await self.begin(headers)
        await self._writer.finish()
