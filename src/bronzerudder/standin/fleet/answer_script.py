"""Scripts for the answers of a stand-in backend server, and the bytes of such answers.

Each part of an answer names its request, so that a checker can tell whose bytes a caller received.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from bronzerudder.http1 import Request
from bronzerudder.platform import wire
from bronzerudder.standin.fleet.backend_server import EVENT_STREAM_PATHS

EVENTS = 12
"""Events of a complete stream; ids of two digits, so that a truncated id is another valid id."""
LATER_EVENT = 11
"""Event at which a stream breaks off later than its first event."""
LONG_BODY_BYTES = 1 << 40
"""Length that an answer with too long a body states."""
TEXTS_PER_CHUNK = 1000
"""Repetitions of a text in each chunk of an endless answer."""
INFORMATIONAL_HEAD = b"HTTP/1.1 102 Processing\r\n\r\n"
SUCCESS_STATUS = 200
USUAL_LOAD = (wire.LOAD, b"1,0,6")
FOREIGN_ID = b"another-request"
GARBAGE = b"\x16\x03\x01 these bytes are no answer\r\n\r\n"


class Framing(enum.Enum):
    """What marks the end of an answer."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION_END = "connection-end"


class Ending(enum.Enum):
    """What happens to the connection after an answer."""

    KEPT = "kept"
    CLOSED = "closed"
    RESET = "reset"


class BreakPoint(enum.Enum):
    """Where an answer breaks off; a plain answer breaks off inside its body in all but `HEAD`."""

    HEAD = "head"
    BODY = "body"
    FIRST_ID_LINE = "first-id-line"
    FIRST_EVENT = "first-event"
    BETWEEN_EVENTS = "between-events"
    LATER_ID_LINE = "later-id-line"
    LATER_EVENT = "later-event"


class ExtraTime(enum.Enum):
    """When an extra answer is sent.

    ``ADJACENT`` sends it together with the end of the first answer, ``IDLE`` shortly after it, and
    ``LATE`` before the answer to the next request on the connection. ``SPLIT`` sends its first half
    shortly after the first answer, and the rest before that to the next request.
    """

    ADJACENT = "adjacent"
    IDLE = "idle"
    LATE = "late"
    SPLIT = "split"


class ExtraId(enum.Enum):
    """Request id in an extra answer: the first answer's, another one, or none."""

    SAME = "same"
    OTHER = "other"
    NONE = "none"


class Extra(NamedTuple):
    """An extra answer with the content of the first one; its framing defaults to the first's."""

    time: ExtraTime
    request_id: ExtraId = ExtraId.SAME
    framing: Framing | None = None
    status: int = 200


class Endless(enum.Enum):
    """What never ends in an answer."""

    HEAD = "head"
    HEADER_LINE = "header-line"
    INFORMATIONAL_HEADS = "informational-heads"
    CHUNKED_BODY = "chunked-body"
    LONG_BODY = "long-body"
    UNFRAMED_BODY = "unframed-body"
    EVENT = "event"
    UNFRAMED_EVENT = "unframed-event"
    COMMENTS = "comments"
    CHUNK_EXTENSION = "chunk-extension"
    TRAILERS = "trailers"
    GARBAGE = "garbage"


class AnswerScript(NamedTuple):
    """How one request is answered.

    Parameters
    ----------
    framing : Framing or None
        By default chunks for a stream, and a length for a plain answer.
    ending : Ending
        Fate of the connection; an answer that ends with it is closed at least.
    broken_at : BreakPoint or None
        Where the answer breaks off; its connection does not survive that.
    extra : Extra or None
        An extra answer.
    informational_heads : int
        Number of heads with status 102 before the answer.
    endless : Endless or None
        What never ends; replaces the rest of the answer.
    garbage : bool
        Whether bytes that are no answer replace the answer.
    early : bool
        Whether the request is refused as not executed before its body is read.
    refused : bool
        Whether the request is refused as not executed, and does not run; an extra answer repeats
        the refusal.
    status : int
        Status of the answer; an error has a short text as its body.
    header : tuple or None
        Name and value of a header; replaces the usual one of that name.
    """

    framing: Framing | None = None
    ending: Ending = Ending.KEPT
    broken_at: BreakPoint | None = None
    extra: Extra | None = None
    informational_heads: int = 0
    endless: Endless | None = None
    garbage: bool = False
    early: bool = False
    refused: bool = False
    status: int = 200
    header: tuple[bytes, bytes] | None = None


SOUND = AnswerScript()


def plain_body(request_id: bytes) -> bytes:
    """Return the complete body of the plain answer to a request."""
    return b"answer to <" + request_id + b">, all of it: <" + request_id + b">\n"


def event_of(request_id: bytes, number: int) -> bytes:
    """Return one event of the stream that answers a request."""
    return b"id: %d\ndata: <%s> event %d of %d\n\n" % (number, request_id, number, EVENTS)


class EndlessBytes(NamedTuple):
    """Start of an endless answer, and the bytes that repeat after it."""

    prefix: bytes
    repeated: bytes


class AnswerBytes:
    """The bytes of one answer."""

    def __init__(self, request: Request, script: AnswerScript) -> None:
        self._request = request
        self._script = script
        self._id = request.header(wire.REQUEST_ID) or b""
        self._is_stream = request.target.startswith(EVENT_STREAM_PATHS)
        self._framing = script.framing or (Framing.CHUNKS if self._is_stream else Framing.LENGTH)

    @property
    def ending(self) -> Ending:
        """Fate of the connection after the answer."""
        broken_at = self._script.broken_at
        is_unframed = self._framing is Framing.CONNECTION_END
        if is_unframed and not self._is_stream and broken_at not in (None, BreakPoint.HEAD):
            # With a normal end, the broken body would be a complete one.
            return Ending.RESET
        if (is_unframed or broken_at is not None) and self._script.ending is Ending.KEPT:
            return Ending.CLOSED
        return self._script.ending

    def pieces(self) -> list[bytes]:
        """Return what is sent, in the portions in which it is sent."""
        contents = self._contents()
        head = self._head(self._id, self._framing, sum(len(item) for item in contents))
        broken_at = self._script.broken_at
        if broken_at is BreakPoint.HEAD:
            return [head[: len(head) // 2]]
        if broken_at is not None:
            return [head, *_frame(self._break_off(contents, broken_at), self._framing)]
        pieces = [head, *_frame(contents, self._framing)]
        if self._framing is Framing.CHUNKS:
            pieces[-1] += b"0\r\n\r\n"
        return pieces

    def extra(self, extra: Extra) -> bytes:
        """Return the complete extra answer."""
        by_id = {ExtraId.SAME: self._id, ExtraId.OTHER: FOREIGN_ID, ExtraId.NONE: b""}
        request_id = by_id[extra.request_id]
        framing = extra.framing or self._framing
        contents = self._contents(FOREIGN_ID if extra.request_id is ExtraId.OTHER else self._id)
        length = sum(len(item) for item in contents)
        head = self._head(request_id, framing, length, extra.status)
        end = b"0\r\n\r\n" if framing is Framing.CHUNKS else b""
        return head + b"".join(_frame(contents, framing)) + end

    def refusal(self) -> bytes:
        """Return an answer that says that the request was not executed."""
        body = b"refused <" + self._id + b">\n"
        head = self._head(self._id, Framing.LENGTH, len(body), wire.STATUS_REJECTED)
        return head[:-2] + wire.NOT_EXECUTED + b": 1\r\n\r\n" + body

    def endless(self, endless: Endless) -> EndlessBytes:
        """Return the bytes of an endless answer."""
        chunked = self._head(self._id, Framing.CHUNKS, 0)
        unframed = self._head(self._id, Framing.CONNECTION_END, 0)
        long = self._head(self._id, Framing.LENGTH, LONG_BODY_BYTES)
        # Without the empty line that ends it.
        open_head = unframed[:-2]
        text = b"<" + self._id + b"> and more "
        chunk = _chunk(text * TEXTS_PER_CHUNK)
        event = b"id: 1\ndata: "
        complete = _chunk(b"".join(self._contents()))
        return {
            Endless.HEAD: EndlessBytes(open_head, b"x-more: " + text + b"\r\n"),
            Endless.HEADER_LINE: EndlessBytes(open_head + b"x-more: ", text),
            Endless.INFORMATIONAL_HEADS: EndlessBytes(b"", INFORMATIONAL_HEAD),
            Endless.CHUNKED_BODY: EndlessBytes(chunked, chunk),
            Endless.LONG_BODY: EndlessBytes(long, text),
            Endless.UNFRAMED_BODY: EndlessBytes(unframed, text),
            Endless.EVENT: EndlessBytes(chunked + _chunk(event), chunk),
            Endless.UNFRAMED_EVENT: EndlessBytes(unframed + event, text),
            Endless.COMMENTS: EndlessBytes(chunked, _chunk(b": keep-alive\n" * TEXTS_PER_CHUNK)),
            Endless.CHUNK_EXTENSION: EndlessBytes(chunked + complete + b"1;x=", b"more"),
            Endless.TRAILERS: EndlessBytes(
                chunked + complete + b"0\r\n", b"x-more: " + text + b"\r\n"
            ),
            Endless.GARBAGE: EndlessBytes(GARBAGE, GARBAGE),
        }[endless]

    def _contents(self, request_id: bytes | None = None) -> list[bytes]:
        """Return the body in the portions in which it is sent; each event is one."""
        request_id = self._id if request_id is None else request_id
        if self._script.status != SUCCESS_STATUS or not self._is_stream:
            body = plain_body(request_id)
            return [body[: len(body) // 2], body[len(body) // 2 :]]
        first = int(self._request.header(wire.LAST_EVENT_ID) or b"0") + 1
        return [event_of(request_id, number) for number in range(first, EVENTS + 1)] or [b""]

    def _break_off(self, contents: list[bytes], broken_at: BreakPoint) -> list[bytes]:
        if not self._is_stream or not contents[0]:
            return contents[:1]
        if broken_at in (BreakPoint.FIRST_EVENT, BreakPoint.FIRST_ID_LINE):
            complete = 0
        else:
            first = EVENTS + 1 - len(contents)
            complete = max(0, LATER_EVENT - first)
        event = contents[min(complete, len(contents) - 1)]
        if broken_at is BreakPoint.BETWEEN_EVENTS:
            return contents[:complete] or [b""]
        if broken_at in (BreakPoint.FIRST_ID_LINE, BreakPoint.LATER_ID_LINE):
            return [*contents[:complete], event[: len(b"id: 1")]]
        return [*contents[:complete], event[: event.index(b"event")]]

    def _head(
        self, request_id: bytes, framing: Framing, length: int, status: int | None = None
    ) -> bytes:
        status = self._script.status if status is None else status
        is_stream = self._is_stream and status == SUCCESS_STATUS
        content_type = b"text/event-stream" if is_stream else b"text/plain"
        lines = [b"HTTP/1.1 %d OK" % status, wire.SIGNATURE + b": signed"]
        name, value = self._script.header or USUAL_LOAD
        lines.append(name + b": " + value)
        if name != wire.LOAD:
            lines.append(b": ".join(USUAL_LOAD))
        lines.append(b"content-type: " + content_type)
        if request_id:
            lines.append(wire.REQUEST_ID + b": " + request_id)
        if framing is Framing.LENGTH:
            lines.append(b"content-length: %d" % length)
        if framing is Framing.CHUNKS:
            lines.append(b"transfer-encoding: chunked")
        return b"\r\n".join([*lines, b"", b""])


def _frame(contents: list[bytes], framing: Framing) -> list[bytes]:
    if framing is not Framing.CHUNKS:
        return list(contents)
    return [_chunk(item) for item in contents]


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""
