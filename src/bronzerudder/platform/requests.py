"""Translates the headers of requests and answers."""

from __future__ import annotations

from typing import NamedTuple

from bronzerudder.http1 import Request, ResponseHead
from bronzerudder.platform import wire

MS_PER_S = 1000.0


class CallerRequest(NamedTuple):
    """What a caller's headers say.

    Parameters
    ----------
    request_id : str
        Names one attempt of the caller.
    host : str
        In lower case, without a port.
    path : str
        Without the query.
    key : str
        Empty when none was sent.
    deadline_s : float or None
        Time that the caller will wait.
    last_event_id : str
        Where a stream is to go on; empty for a whole one.
    prompt_tokens, answer_tokens : int
        Size of the prompt, and the expected or largest size of the answer; 0 when not told.
    """

    request_id: str
    host: str
    path: str
    key: str
    deadline_s: float | None
    last_event_id: str
    prompt_tokens: int
    answer_tokens: int


class ServerLoad(NamedTuple):
    """Load that a backend server adds to its answers."""

    running: int
    waiting: int
    slots: int


class BackendAnswer(NamedTuple):
    """What the head of a backend server's answer says.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list
        Headers to pass on to the caller.
    request_id : str
        Request that it answers; empty when it does not say.
    signed : bool
        Whether it carries a signature.
    not_executed : bool
        Whether the request certainly has not run.
    encoded : bool
        Whether the body was encoded on the way, and so is not the backend server's.
    load : ServerLoad or None
        Load when it answered.
    faulty_address : str
        Address of the backend server that a failed answer blames; empty when none.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    request_id: str
    signed: bool
    not_executed: bool
    encoded: bool
    load: ServerLoad | None
    faulty_address: str


def decode_request(request: Request) -> CallerRequest:
    """Read a caller's headers."""
    headers = dict(reversed(request.headers))
    deadline_ms = _number(headers.get(wire.DEADLINE_MS))
    prompt, _, answer = _text(headers.get(wire.TOKENS)).partition(",")
    hint = _count(_text(headers.get(wire.LENGTH_HINT)))
    return CallerRequest(
        _text(headers.get(wire.REQUEST_ID)),
        _text(headers.get(b"host")).partition(":")[0].lower(),
        request.target.partition(b"?")[0].decode("latin-1"),
        _text(headers.get(wire.API_KEY)),
        None if deadline_ms is None else deadline_ms / MS_PER_S,
        _text(headers.get(wire.LAST_EVENT_ID)),
        _count(prompt),
        hint or _count(answer),
    )


def encode_request(
    request: Request,
    instance_id: str,
    time_left_s: float,
    workspace: str,
    priority: int | None,
    last_event_id: str,
) -> list[tuple[bytes, bytes]]:
    """Write the headers with which a request goes to a backend server.

    Parameters
    ----------
    instance_id : str
        The only instance that may run it.
    time_left_s : float
        Time after which the answer is of no use.
    workspace : str
        Whose key the caller sent; empty when none was needed.
    priority : int or None
        0 is the most urgent; None leaves the default.
    last_event_id : str
        Where a stream goes on; empty keeps what the caller sent.
    """
    dropped = wire.CONNECTION_HEADERS | wire.SYSTEM_HEADERS | _named_by_connection(request)
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


def decode_answer(head: ResponseHead) -> BackendAnswer:
    """Read the head of a backend server's answer."""
    found = dict(reversed(head.headers))
    passed = [item for item in head.headers if item[0] not in wire.CONNECTION_HEADERS]
    not_executed = wire.NOT_EXECUTED in found or head.status == wire.STATUS_NOT_THIS_INSTANCE
    return BackendAnswer(
        head.status,
        passed,
        _text(found.get(wire.REQUEST_ID)),
        wire.SIGNATURE in found,
        not_executed,
        b"content-encoding" in found,
        _decode_load(_text(found.get(wire.LOAD))),
        _text(found.get(wire.FAULTY_ADDRESS)),
    )


def own_answer_headers(request_id: str) -> list[tuple[bytes, bytes]]:
    """Headers of an answer that the gateway gives itself."""
    headers = [(b"content-type", b"text/plain")]
    if request_id:
        headers.append((wire.REQUEST_ID, request_id.encode("latin-1", "replace")))
    return headers


def _named_by_connection(request: Request) -> frozenset[bytes]:
    value = request.header(b"connection")
    if value is None:
        return frozenset()
    return frozenset(name.strip().lower() for name in value.split(b","))


def _decode_load(value: str) -> ServerLoad | None:
    parts = value.split(",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return ServerLoad(running, waiting, slots)


def _text(value: bytes | None) -> str:
    return "" if value is None else value.decode("latin-1").strip()


def _number(value: bytes | None) -> float | None:
    text = _text(value)
    return float(text) if text.isdigit() else None


def _count(text: str) -> int:
    text = text.strip()
    return int(text) if text.isdigit() else 0
