"""Translates the platform's headers of requests and answers to and from typed values.

The names of the headers are in `bronzerudder.platform.wire`. A malformed value counts as missing.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from bronzerudder.http1 import Request, ResponseHead
from bronzerudder.platform import wire

MS_PER_S = 1000.0
MAX_DIGITS = 15
"""Digits of a number in a header; more would be no size, time or load."""
MAX_SHARED_PARTS = 16
"""Prompt parts of a request that are read; prompts of the platform have fewer."""
MAX_PART_ID_LENGTH = 64
"""The platform's ids are 64-bit numbers in hexadecimal; longer ones count as malformed."""
MAX_QUOTED_LENGTH = 64
"""Characters of a malformed value that are kept for the log."""
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
"""A decimal number below 10^9, which no rate per second and no pause in seconds reaches."""
MAX_PAUSE_S = 60.0
"""A server that wants a longer pause is asked again after this time, in seconds, so that a wrong
value does not keep it idle for good."""


class RequestHead(NamedTuple):
    """Decoded head of a caller's request.

    Parameters
    ----------
    request_id : str
        Identifies one attempt of the caller.
    host : str
        In lower case, without a port.
    path : str
        Without the query.
    key : str
        API key; empty if none was sent.
    deadline_s : float or None
        Time that the caller will wait.
    last_event_id : str
        Event after which a stream is to be resumed; empty for a complete one.
    prompt_tokens, answer_tokens : int
        Size of the prompt, and the expected or maximum size of the answer; 0 if unknown.
    model : str
        Model that is to answer; empty if none is named.
    shared_parts : tuple of str
        Ids of the parts of the prompt that other requests may have too: all but the last, at most
        `MAX_SHARED_PARTS`.
    """

    request_id: str
    host: str
    path: str
    key: str
    deadline_s: float | None
    last_event_id: str
    prompt_tokens: int
    answer_tokens: int
    model: str = ""
    shared_parts: tuple[str, ...] = ()


class ServerLoad(NamedTuple):
    """Load that a backend server reports in the headers of its answers."""

    running: int
    waiting: int
    slots: int


class RateLimit(NamedTuple):
    """Rate at which a backend server accepts requests, as one of its answers states it.

    Parameters
    ----------
    rate_rps : float or None
        Requests per second of all gateways together; None if the answer states no valid rate.
    malformed : str
        Start of a value that is no valid rate, or of several that differ; empty if there is none.
    """

    rate_rps: float | None = None
    malformed: str = ""


class RequestedPause(NamedTuple):
    """Time for which a backend server wants no further requests from this gateway.

    Parameters
    ----------
    pause_s : float
        In seconds, at most `MAX_PAUSE_S`; 0 for none.
    malformed : str
        Start of the values if any is no valid time, is too long or differs from another one; empty
        otherwise. The longest valid one counts.
    """

    pause_s: float = 0.0
    malformed: str = ""


class AnswerHead(NamedTuple):
    """Content of the head of a backend server's answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list
        Headers to forward to the caller.
    request_id : str
        Request that it answers; empty if the header is missing.
    signed : bool
        Whether it has a signature header.
    not_executed : bool
        Whether the request certainly has not run.
    encoded : bool
        Whether it has a content encoding; backend servers add none, so the body was changed on the
        way.
    load : ServerLoad or None
        Load at the time of the answer.
    faulty_address : str
        Address of the backend server to which an error answer attributes the fault; empty if none.
    delimited : bool
        Whether the body has a length or chunks; otherwise it ends with its connection.
    limit : RateLimit
        Rate at which the server accepts requests.
    leaving : bool
        Whether the server announces that it will end soon.
    pause : RequestedPause
        Time for which the server wants no further requests.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    request_id: str
    signed: bool
    not_executed: bool
    encoded: bool
    load: ServerLoad | None
    faulty_address: str
    delimited: bool
    limit: RateLimit = RateLimit()
    leaving: bool = False
    pause: RequestedPause = RequestedPause()


def decode_request(request: Request) -> RequestHead:
    """Read a caller's headers; of a repeated header the first counts."""
    headers = dict(reversed(request.headers))
    deadline_ms = _whole_number(_text(headers.get(wire.DEADLINE_MS)))
    prompt, _, answer = _text(headers.get(wire.TOKENS)).partition(",")
    hint = _count(_text(headers.get(wire.LENGTH_HINT)))
    return RequestHead(
        _text(headers.get(wire.REQUEST_ID)),
        _text(headers.get(b"host")).partition(":")[0].lower(),
        request.target.partition(b"?")[0].decode("latin-1"),
        _text(headers.get(wire.API_KEY)),
        None if deadline_ms is None else deadline_ms / MS_PER_S,
        _text(headers.get(wire.LAST_EVENT_ID)),
        _count(prompt),
        hint or _count(answer),
        _text(headers.get(wire.MODEL)),
        _decode_shared_parts(_text(headers.get(wire.PROMPT_PARTS))),
    )


def encode_request(
    request: Request,
    instance_id: str,
    time_left_s: float,
    workspace: str,
    priority: int | None,
    last_event_id: str,
) -> list[tuple[bytes, bytes]]:
    """Build the headers with which a request is sent to a backend server.

    The caller's headers are copied, except for those of its connection and those that only the
    gateway may set.

    Parameters
    ----------
    instance_id : str
        The only instance that may run the request; any other answers 421.
    time_left_s : float
        Time left until the request's deadline.
    workspace : str
        Workspace of the caller's key; empty if the route needs no key.
    priority : int or None
        0 is the most urgent; None leaves the default.
    last_event_id : str
        Event after which a stream is resumed; empty keeps the caller's header.
    """
    dropped = wire.CONNECTION_HEADERS | wire.SYSTEM_HEADERS | _hop_by_hop_names(request)
    if last_event_id:
        dropped |= {wire.LAST_EVENT_ID}
    headers = [item for item in request.headers if item[0] not in dropped]
    headers.append((wire.DEADLINE_MS, str(max(1, int(time_left_s * MS_PER_S))).encode()))
    headers.append((wire.EXPECTED_INSTANCE, instance_id.encode("latin-1", "replace")))
    if workspace:
        headers.append((wire.WORKSPACE, workspace.encode("latin-1", "replace")))
    if priority is not None:
        headers.append((wire.PRIORITY, str(min(wire.MAX_PRIORITY, priority)).encode()))
    if last_event_id:
        headers.append((wire.LAST_EVENT_ID, last_event_id.encode("latin-1", "replace")))
    return headers


def decode_answer(head: ResponseHead) -> AnswerHead:
    """Read the head of a backend server's answer; of a repeated header the first counts."""
    found = dict(reversed(head.headers))
    forwarded = [item for item in head.headers if item[0] not in wire.CONNECTION_HEADERS]
    not_executed = wire.NOT_EXECUTED in found or head.status == wire.STATUS_NOT_THIS_INSTANCE
    return AnswerHead(
        head.status,
        forwarded,
        _text(found.get(wire.REQUEST_ID)),
        wire.SIGNATURE in found,
        not_executed,
        b"content-encoding" in found,
        _decode_load(_text(found.get(wire.LOAD))),
        _text(found.get(wire.FAULTY_ADDRESS)),
        head.is_delimited,
        _decode_limit(_values(head, wire.LIMIT)),
        b"1" in _values(head, wire.LEAVING),
        _decode_pause(head),
    )


def own_answer_headers(request_id: str) -> list[tuple[bytes, bytes]]:
    """Headers of an answer that the gateway generates itself."""
    headers = [(b"content-type", b"text/plain")]
    if request_id:
        headers.append((wire.REQUEST_ID, request_id.encode("latin-1", "replace")))
    return headers


def _hop_by_hop_names(request: Request) -> frozenset[bytes]:
    """Names of the headers that the Connection header lists as valid for one hop only."""
    value = request.header(b"connection")
    if value is None:
        return frozenset()
    return frozenset(name.strip().lower() for name in value.split(b","))


def _values(head: ResponseHead, name: bytes) -> list[bytes]:
    """Return all values of a header that may be repeated."""
    return [value.strip() for found, value in head.headers if found == name]


def _decode_load(value: str) -> ServerLoad | None:
    numbers = [_whole_number(part) for part in value.split(",")]
    if len(numbers) != 3 or None in numbers:
        return None
    return ServerLoad(*numbers)


def _decode_limit(values: list[bytes]) -> RateLimit:
    if not values:
        return RateLimit()
    texts = {_text(value) for value in values}
    text = texts.pop()
    if texts or _DECIMAL.fullmatch(text) is None:
        quoted = _text(b", ".join(values))[:MAX_QUOTED_LENGTH]
        return RateLimit(malformed=quoted or "empty")
    return RateLimit(float(text))


def _decode_pause(head: ResponseHead) -> RequestedPause:
    values = _values(head, wire.RETRY_AFTER)
    if head.status != wire.STATUS_REJECTED or not values:
        return RequestedPause()
    texts = {_text(value) for value in values}
    pauses_s = [float(text) for text in texts if _DECIMAL.fullmatch(text) is not None]
    longest_s = max(pauses_s, default=0.0)
    pause_s = min(longest_s, MAX_PAUSE_S)
    if len(texts) == len(pauses_s) == 1 and longest_s <= MAX_PAUSE_S:
        return RequestedPause(pause_s)
    quoted = _text(b", ".join(values))[:MAX_QUOTED_LENGTH]
    return RequestedPause(pause_s, quoted or "empty")


def _decode_shared_parts(value: str) -> tuple[str, ...]:
    entries = value.split(",", MAX_SHARED_PARTS + 1)[:-1]
    ids = (entry.partition(":")[0].strip().lower() for entry in entries[:MAX_SHARED_PARTS])
    return tuple(part_id for part_id in ids if 0 < len(part_id) <= MAX_PART_ID_LENGTH)


def _text(value: bytes | None) -> str:
    return "" if value is None else value.decode("latin-1").strip()


def _whole_number(text: str) -> int | None:
    """Return a number written in ASCII digits; None if it is none, or too long to be one."""
    text = text.strip()
    if len(text) > MAX_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    return int(text)


def _count(text: str) -> int:
    return _whole_number(text) or 0
