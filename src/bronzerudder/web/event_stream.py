"""Server-sent events: cuts a stream at the ends of events and notes where to resume."""

from __future__ import annotations

EVENT_STREAM_TYPE = "text/event-stream"
LAST_EVENT_ID = "last-event-id"
EVENT_END = b"\n\n"
ID_FIELD = b"id:"
TERMINATOR = b"data: [DONE]\n\n"


def is_event_stream(headers: tuple[tuple[str, str], ...]) -> bool:
    """Tell whether an answer consists of server-sent events."""
    for name, value in headers:
        if name.lower() == "content-type" and value.startswith(EVENT_STREAM_TYPE):
            return True
    return False


class EventSplitter:
    """Holds back the tail of an event until the rest has come."""

    def __init__(self) -> None:
        self._tail = b""
        self._last_event_id = ""

    @property
    def last_event_id(self) -> str:
        """Id of the last whole event that had one."""
        return self._last_event_id

    @property
    def tail(self) -> bytes:
        """What has come of an unfinished event."""
        return self._tail

    def split(self, data: bytes) -> bytes:
        """Add data and return all whole events."""
        data = self._tail + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._tail = data
            return b""
        whole, self._tail = data[: end + len(EVENT_END)], data[end + len(EVENT_END) :]
        self._note_id(whole)
        return whole

    def drop_tail(self) -> None:
        """Forget an unfinished event, as the stream starts again after the last whole one."""
        self._tail = b""

    def _note_id(self, whole: bytes) -> None:
        last_event_id = find_last_event_id(whole)
        if last_event_id:
            self._last_event_id = last_event_id


def find_last_event_id(events: bytes) -> str:
    """Return the last id among whole events; empty if none has one."""
    start = events.rfind(b"\n" + ID_FIELD) + 1
    if not events.startswith(ID_FIELD, start):
        return ""
    value = events[start + len(ID_FIELD) :].partition(b"\n")[0]
    return value.strip().decode("latin-1")
