"""Client of the metadata store that gateways and rank agents use.

It offers conditional writes, paged listings and watches. Every call has a timeout. A write whose
answer was lost is reported as ``OUTCOME_UNKNOWN``, never as failed, because the store may have
applied it.

Values are returned as they were stored. A value that is not valid JSON is left to the reader of its
kind, and never makes other objects unreadable.
"""

from __future__ import annotations

import urllib.parse
from typing import TypeVar

import anyio
import msgspec

from bronzerudder.http1 import ClientPool, HttpError, HttpErrorKind
from bronzerudder.platform import wire
from bronzerudder.platform.api import (
    ABSENT_VERSION,
    MAX_VALUE_BYTES,
    Change,
    ChangeBatch,
    Listing,
    ObjectStore,
    StoredObject,
)
from bronzerudder.platform.decoding import (
    Unreadable,
    decode_json,
    read_escaped,
    split_array,
    split_object,
)
from bronzerudder.platform.errors import StoreError, StoreErrorKind

CALL_TIMEOUT_S = 1.0
"""The store answers within milliseconds; a call that takes longer is treated as an outage."""
MAX_ANSWER_BYTES = 16 * 1_048_576
"""A page of a listing holds about 1 MB; a watch returns all changes at once, with their values."""
MAX_PAGES = 1_000
"""Pages of a listing; a page holds some hundred objects, and a kind some ten thousand."""
WATCH_MARGIN_S = 1.0
"""Time that a watch may overrun its own timeout before the connection is considered dead."""
MS_PER_S = 1000.0
HISTORY_TRUNCATED = "watch history truncated"
NO_VALUE = b"null"
UNREADABLE_NAME_PREFIX = "unreadable name "
"""Begins the name under which an object is listed whose own name can't be decoded."""

SUCCESS_STATUSES = (200, 201, 202, 204)
CLIENT_ERROR_STATUSES = range(400, 500)
"""The store refused the call as it was made, and did nothing."""

_Document = TypeVar("_Document")

_STATUS_KINDS = {
    404: StoreErrorKind.NOT_FOUND,
    409: StoreErrorKind.CONFLICT,
    # Rate limit exceeded; the store did nothing.
    429: StoreErrorKind.UNAVAILABLE,
    503: StoreErrorKind.UNAVAILABLE,
}


class _Metadata(msgspec.Struct):
    name: str = ""
    # Revision of the whole store at the last write of the object.
    revision: int = 0


class _Object(msgspec.Struct):
    metadata: _Metadata
    # The value, any JSON document.
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Listing(msgspec.Struct):
    items: list[_Object]
    # Store revision that the page reflects.
    at: int
    has_more: bool = False


class _ListingEnd(msgspec.Struct):
    # Members of a page without its items.
    at: int
    has_more: bool = False


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class _Events(msgspec.Struct):
    events: list[_Event]
    # Store revision from which the next watch continues.
    at: int


class RemoteObjectStore(ObjectStore):
    """Object store on the platform, reached over HTTP.

    Parameters
    ----------
    address : str
        ``host:port``.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = ClientPool()
        self._host = [(b"host", address.encode())]
        self._calls = 0

    def set_address(self, address: str) -> None:
        """Send all further calls to another address."""
        self._address = address
        self._host = [(b"host", address.encode())]

    @property
    def calls(self) -> int:
        """Number of calls made, including watches."""
        return self._calls

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""
        answer = await self._call("GET", _path(kind, name))
        if isinstance(answer, StoreError):
            return answer
        decoded = _decode_object(answer)
        if isinstance(decoded, StoreError):
            return decoded
        answered = decoded.metadata.name
        if answered and answered != name:
            return StoreError(StoreErrorKind.UNAVAILABLE, f"answer on {answered!r}")
        return _stored(kind, decoded)

    async def put(self, kind: str, name: str, value: bytes, if_version: int) -> int | StoreError:
        """Write an object if its version is still ``if_version``; create it if `ABSENT_VERSION`."""
        if len(value) > MAX_VALUE_BYTES:
            reason = f"{kind} {name}: {len(value)} bytes exceed {MAX_VALUE_BYTES}"
            return StoreError(StoreErrorKind.TOO_LARGE, reason)
        metadata: dict[str, str | int] = {"name": name}
        method, path = "POST", _path(kind)
        if if_version != ABSENT_VERSION:
            metadata["revision"] = if_version
            method, path = "PUT", _path(kind, name)
        body = msgspec.json.encode({"metadata": metadata, "spec": msgspec.Raw(value)})
        written = await self._write(method, path, body, name)
        if written == ABSENT_VERSION:
            return StoreError(StoreErrorKind.OUTCOME_UNKNOWN, "answer without a version")
        return written

    async def delete(self, kind: str, name: str, if_version: int) -> int | StoreError:
        """Delete an object if its version is still ``if_version``."""
        path = f"{_path(kind, name)}?revision={if_version}"
        return await self._write("DELETE", path, b"", name)

    async def list(self, kind: str, stale: bool = False) -> Listing | StoreError:
        """Read all objects of a kind; a stale read is cheaper but may be seconds out of date."""
        objects: list[StoredObject] = []
        version: int | None = None
        after = ""
        for _ in range(MAX_PAGES):
            query = {"after": after} if after else {}
            if stale:
                query["stale_ok"] = "1"
            suffix = f"?{urllib.parse.urlencode(query)}" if query else ""
            answer = await self._call("GET", _path(kind) + suffix)
            if isinstance(answer, StoreError):
                return answer
            page = _decode_listing(answer)
            if isinstance(page, StoreError):
                return page
            # Later pages may reflect newer versions; watching from the first one misses no change.
            version = page.at if version is None else version
            objects.extend(_stored(kind, item) for item in page.items)
            if not page.has_more or not page.items:
                return Listing(tuple(objects), version)
            last = _last_readable_name(page)
            if last in ("", after):
                reason = f"no name that can be read after {after!r}"
                return StoreError(StoreErrorKind.UNAVAILABLE, reason)
            after = last
        return StoreError(StoreErrorKind.UNAVAILABLE, f"listing exceeds {MAX_PAGES} pages")

    async def watch(
        self, kind: str, after_version: int, timeout_s: float
    ) -> ChangeBatch | StoreError:
        """Wait for changes of a kind after a version."""
        query = {"watch": after_version, "wait_ms": int(timeout_s * MS_PER_S)}
        path = f"{_path(kind)}?{urllib.parse.urlencode(query)}"
        answer = await self._call("GET", path, b"", timeout_s + WATCH_MARGIN_S)
        if isinstance(answer, StoreError):
            if answer.kind is StoreErrorKind.NOT_FOUND and answer.reason == HISTORY_TRUNCATED:
                return ChangeBatch((), after_version, truncated=True)
            return answer
        batch = _decode_events(answer)
        if isinstance(batch, StoreError):
            return batch
        changes = []
        for event in batch.events:
            metadata = event.object.metadata
            value = None if event.deleted else bytes(event.object.spec)
            changes.append(Change(kind, metadata.name, metadata.revision, value))
        return ChangeBatch(tuple(changes), batch.at)

    async def _write(self, method: str, path: str, body: bytes, name: str) -> int | StoreError:
        answer = await self._call(method, path, body)
        if isinstance(answer, StoreError):
            return answer
        decoded = _decode(answer or b'{"metadata":{}}', _Object)
        if isinstance(decoded, StoreError):
            return decoded._replace(kind=StoreErrorKind.OUTCOME_UNKNOWN)
        answered = decoded.metadata.name
        if answered and answered != name:
            return StoreError(StoreErrorKind.OUTCOME_UNKNOWN, f"answer on {answered!r}")
        return decoded.metadata.revision

    async def _call(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = CALL_TIMEOUT_S
    ) -> bytes | StoreError:
        self._calls += 1
        with anyio.move_on_after(timeout_s):
            return await self._exchange(method, path, body)
        reason = f"{method} {path}: no answer within {timeout_s} s"
        return StoreError(_kind_without_proof(method), reason)

    async def _exchange(self, method: str, path: str, body: bytes) -> bytes | StoreError:
        headers = list(self._host)
        if body:
            headers.append((b"content-type", b"application/json"))
        answer = await self._pool.call(
            self._address, method.encode(), path.encode(), headers, body, MAX_ANSWER_BYTES
        )
        if isinstance(answer, HttpError):
            return _connection_error(method, answer)
        status, content = answer
        if status in SUCCESS_STATUSES:
            return content
        if status == 410:
            return StoreError(StoreErrorKind.NOT_FOUND, HISTORY_TRUNCATED)
        kind = _STATUS_KINDS.get(status)
        if kind is None and status in CLIENT_ERROR_STATUSES:
            kind = StoreErrorKind.INVALID
        return StoreError(kind or _kind_without_proof(method), f"status {status}")


def _decode(answer: bytes, expected: type[_Document]) -> _Document | StoreError:
    decoded = decode_json(answer, expected)
    if isinstance(decoded, Unreadable):
        return _undecodable(decoded.reason)
    return decoded


def _decode_object(answer: bytes) -> _Object | StoreError:
    """Decode an object; its value stays as it is if it can't be decoded."""
    decoded = decode_json(answer, _Object)
    if not isinstance(decoded, Unreadable):
        return decoded
    members = split_object(answer)
    if members is None or "metadata" not in members:
        return _undecodable(decoded.reason)
    metadata = decode_json(members["metadata"], _Metadata)
    if isinstance(metadata, Unreadable):
        return _decode_unnamed(members["metadata"])
    return _Object(metadata, msgspec.Raw(members.get("spec", NO_VALUE)))


def _decode_unnamed(metadata: bytes) -> _Object | StoreError:
    """Decode an object whose name can't be read; it has no value, as no call can name it."""
    members = split_object(metadata) or {}
    name = read_escaped(members.get("name", b'""'))
    revision = decode_json(members.get("revision", b"0"), int)
    if isinstance(revision, Unreadable):
        return _undecodable(revision.reason)
    return _Object(_Metadata(UNREADABLE_NAME_PREFIX + name, revision), msgspec.Raw(NO_VALUE))


def _decode_listing(answer: bytes) -> _Listing | StoreError:
    """Decode a page of a listing, object by object if it can't be decoded as a whole."""
    decoded = decode_json(answer, _Listing)
    if not isinstance(decoded, Unreadable):
        return decoded
    page = split_object(answer) or {}
    texts = split_array(page.get("items", b""))
    rest = decode_json(_without(page, "items"), _ListingEnd)
    if texts is None or isinstance(rest, Unreadable):
        return _undecodable(decoded.reason)
    items = []
    for text in texts:
        item = _decode_object(text)
        if isinstance(item, StoreError):
            return item
        items.append(item)
    return _Listing(items, rest.at, rest.has_more)


def _decode_events(answer: bytes) -> _Events | StoreError:
    """Decode the answer to a watch, event by event if it can't be decoded as a whole."""
    decoded = decode_json(answer, _Events)
    if not isinstance(decoded, Unreadable):
        return decoded
    page = split_object(answer) or {}
    texts = split_array(page.get("events", b""))
    rest = decode_json(_without(page, "events"), _ListingEnd)
    if texts is None or isinstance(rest, Unreadable):
        return _undecodable(decoded.reason)
    events = []
    for text in texts:
        event = _decode_event(text)
        if isinstance(event, StoreError):
            return event
        events.append(event)
    return _Events(events, rest.at)


def _decode_event(text: bytes) -> _Event | StoreError:
    members = split_object(text) or {}
    item = _decode_object(members.get("object", b""))
    if isinstance(item, StoreError):
        return item
    deleted = decode_json(members.get("deleted", b"false"), bool)
    if isinstance(deleted, Unreadable):
        return _undecodable(deleted.reason)
    return _Event(item, deleted)


def _without(members: dict[str, bytes], left_out: str) -> bytes:
    """Join the members of an object again, but for one."""
    kept = (
        b'"' + name.encode() + b'":' + text for name, text in members.items() if name != left_out
    )
    return b"{" + b",".join(kept) + b"}"


def _last_readable_name(page: _Listing) -> str:
    names = (item.metadata.name for item in reversed(page.items))
    return next((name for name in names if not name.startswith(UNREADABLE_NAME_PREFIX)), "")


def _undecodable(reason: str) -> StoreError:
    return StoreError(StoreErrorKind.UNAVAILABLE, f"answer cannot be decoded: {reason}")


def _connection_error(method: str, error: HttpError) -> StoreError:
    """Report a write as failed only if none of its bytes were sent."""
    if error.kind is HttpErrorKind.NOT_SENT:
        return StoreError(StoreErrorKind.UNAVAILABLE, error.reason)
    return StoreError(_kind_without_proof(method), error.reason)


def _kind_without_proof(method: str) -> StoreErrorKind:
    """Kind of a failure that does not prove that the store did nothing."""
    return StoreErrorKind.UNAVAILABLE if method == "GET" else StoreErrorKind.OUTCOME_UNKNOWN


def _stored(kind: str, item: _Object) -> StoredObject:
    return StoredObject(kind, item.metadata.name, item.metadata.revision, bytes(item.spec))


def _path(kind: str, name: str = "") -> str:
    path = wire.OBJECTS_PATH + urllib.parse.quote(kind, safe="")
    return f"{path}/{urllib.parse.quote(name, safe='')}" if name else path
