"""Server-sent events: splits a stream at the ends of events and tracks where to resume it.

Only complete events are forwarded, so that a stream can be resumed after the last one without a gap
or a repeated event.
"""

from __future__ import annotations

EVENT_STREAM_TYPE = "text/event-stream"
LAST_EVENT_ID = "last-event-id"
EVENT_END = b"\n\n"
ID_FIELD = b"id:"
MAX_EVENT_BYTES = 65_536
"""Limit of one event, which is buffered until it is complete; an event holds a few tokens."""
TERMINATOR = b"data: [DONE]\n\n"


def is_event_stream(headers: tuple[tuple[str, str], ...]) -> bool:
    """Return whether the headers are those of a stream of server-sent events."""
    for name, value in headers:
        if name.lower() == "content-type" and value.startswith(EVENT_STREAM_TYPE):
            return True
    return False


class EventSplitter:
    """Buffers an incomplete event until the rest of it has been received."""

    def __init__(self) -> None:
        self._partial_event = bytearray()
        self._last_event_id = ""

    @property
    def last_event_id(self) -> str:
        """Id of the last complete event that had one."""
        return self._last_event_id

    @property
    def partial_event(self) -> bytes:
        """Bytes of an incomplete event."""
        return bytes(self._partial_event)

    @property
    def exceeds_limit(self) -> bool:
        """Whether the incomplete event is longer than `MAX_EVENT_BYTES`."""
        return len(self._partial_event) > MAX_EVENT_BYTES

    def split(self, data: bytes) -> bytes:
        """Add data and return all complete events.

        Only the new bytes are searched, so the cost does not depend on the size of the event.
        """
        end = data.rfind(EVENT_END)
        if end >= 0:
            end += len(EVENT_END)
        elif data.startswith(b"\n") and self._partial_event.endswith(b"\n"):
            end = 1
        else:
            self._partial_event += data
            return b""
        complete_events = bytes(self._partial_event) + data[:end]
        self._partial_event = bytearray(data[end:])
        self._record_id(complete_events)
        return complete_events

    def drop_partial_event(self) -> None:
        """Discard an incomplete event; the resumed stream starts after the last complete one."""
        self._partial_event.clear()

    def _record_id(self, complete_events: bytes) -> None:
        last_event_id = find_last_event_id(complete_events)
        if last_event_id:
            self._last_event_id = last_event_id


def find_last_event_id(events: bytes) -> str:
    """Return the last id in a sequence of complete events; empty if none has one."""
    start = events.rfind(b"\n" + ID_FIELD) + 1
    if not events.startswith(ID_FIELD, start):
        return ""
    value = events[start + len(ID_FIELD) :].partition(b"\n")[0]
    return value.strip().decode("latin-1")
