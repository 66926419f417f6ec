"""Server-sent events: splits a stream at the ends of events and tracks where to resume it.

Only complete events are forwarded, so that a stream can be resumed after the last one without a gap
or a repeated event.
"""

from __future__ import annotations

import re
from typing import NamedTuple

EVENT_STREAM_TYPE = "text/event-stream"
LAST_EVENT_ID = "last-event-id"
EVENT_END = b"\n\n"
ID_FIELD = b"id:"
MAX_EVENT_BYTES = 65_536
"""Limit of one event, which is buffered until it is complete; an event holds a few tokens."""
TERMINATOR = b"data: [DONE]\n\n"
# A field with a value, a comment, or a field without a value. The quantifiers are possessive, so
# that bytes of no event cost no backtracking.
_LINE = rb"(?:(?:[A-Za-z][A-Za-z0-9_-]*+)?+:[^\r\n]*+|data|event|id|retry)\n"
_EVENTS = re.compile(rb"(?:(?:" + _LINE + rb")*+\n)*+")
_IDS = re.compile(rb"^id(?::[ ]?+([^\n]*+))?+$", re.MULTILINE)
_MAX_ID_DIGITS = 18


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
    def partial_size(self) -> int:
        """Length of the incomplete event in bytes."""
        return len(self._partial_event)

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


class AcceptedEvents(NamedTuple):
    """Result of `EventSequence.accept`.

    Parameters
    ----------
    events : bytes
        The events before the first faulty one.
    fault : str
        What is wrong with the event after them; empty if all were accepted.
    """

    events: bytes
    fault: str


class EventSequence:
    """Checks that events are well formed and that their ids rise.

    Parameters
    ----------
    last_event_id : str
        Id that the first event must exceed; empty if there is none.
    """

    def __init__(self, last_event_id: str) -> None:
        self._last_event_id = last_event_id
        self._last_number = _parse_id(last_event_id.encode())
        self._resumable = True

    @property
    def last_event_id(self) -> str:
        """Id of the last event accepted; the initial one before the first."""
        return self._last_event_id

    @property
    def resumable(self) -> bool:
        """Whether the last event accepted has an id; comments count for nothing."""
        return self._resumable

    def accept(self, events: bytes) -> AcceptedEvents:
        """Accept complete events up to the first faulty one."""
        if not self._find_fault(events):
            return AcceptedEvents(events, "")
        accepted = []
        for event in events.split(EVENT_END):
            event += EVENT_END
            fault = self._find_fault(event)
            if fault:
                return AcceptedEvents(b"".join(accepted), fault)
            accepted.append(event)
        return AcceptedEvents(events, "")

    def _find_fault(self, events: bytes) -> str:
        """Return what is wrong with events, or record their last id."""
        if _EVENTS.fullmatch(events) is None:
            return "bytes that are no event"
        last_id = b""
        last_number = self._last_number
        end = 0
        for match in _IDS.finditer(events):
            last_id = match[1] or b""
            end = match.end()
            number = _parse_id(last_id)
            if number <= last_number:
                return f"event id {last_id!r} does not follow {self._last_event_id!r}"
            last_number = number
        if last_id:
            self._last_event_id = last_id.decode("latin-1")
            self._last_number = last_number
        self._record_unnumbered(events, end)
        return ""

    def _record_unnumbered(self, events: bytes, end: int) -> None:
        """Record whether events follow the one whose id ends at ``end``, or begin at 0."""
        if end:
            self._resumable = True
            end = events.index(EVENT_END, end) + len(EVENT_END)
        for line in events[end:].split(b"\n"):
            if line and not line.startswith(b":"):
                self._resumable = False
                return


def _parse_id(event_id: bytes) -> int:
    """Return the number of an event; -1, which follows none, if it has none."""
    if event_id.isdigit() and len(event_id) <= _MAX_ID_DIGITS:
        return int(event_id)
    return -1


def find_last_event_id(events: bytes) -> str:
    """Return the last id in a sequence of complete events; empty if none has one."""
    start = events.rfind(b"\n" + ID_FIELD) + 1
    if not events.startswith(ID_FIELD, start):
        return ""
    value = events[start + len(ID_FIELD) :].partition(b"\n")[0]
    return value.strip().decode("latin-1")
