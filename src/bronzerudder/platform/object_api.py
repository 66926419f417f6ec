"""The platform's metadata store as an object store."""

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
from bronzerudder.platform.errors import StoreError, StoreErrorKind

CALL_TIMEOUT_S = 1.0
"""The store answers in milliseconds; a slower call is treated as an outage."""
WATCH_MARGIN_S = 1.0
"""Time past the end of a watch after which its connection counts as dead."""
MS_PER_S = 1000.0
HISTORY_GONE = "history is gone"

_Document = TypeVar("_Document")

_STATUS_KINDS = {
    404: StoreErrorKind.NOT_FOUND,
    409: StoreErrorKind.CONFLICT,
    # The call was over the rate; nothing was done.
    429: StoreErrorKind.UNAVAILABLE,
    503: StoreErrorKind.UNAVAILABLE,
}


class _Metadata(msgspec.Struct):
    name: str = ""
    revision: int = 0


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Listing(msgspec.Struct):
    items: list[_Object]
    at: int
    has_more: bool = False


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class _Events(msgspec.Struct):
    events: list[_Event]
    at: int


class RemoteObjectStore(ObjectStore):
    """Object store of the platform at an address.

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
        """Use the store at another address from the next call on."""
        self._address = address
        self._host = [(b"host", address.encode())]

    @property
    def calls(self) -> int:
        """Calls made so far, watches included."""
        return self._calls

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""
        answer = await self._call("GET", _path(kind, name))
        if isinstance(answer, StoreError):
            return answer
        decoded = _decode(answer, _Object)
        if isinstance(decoded, StoreError):
            return decoded
        return _stored(kind, decoded)

    async def put(self, kind: str, name: str, value: bytes, if_version: int) -> int | StoreError:
        """Write an object if its version is still ``if_version``."""
        if len(value) > MAX_VALUE_BYTES:
            reason = f"{kind} {name}: {len(value)} bytes exceed {MAX_VALUE_BYTES}"
            return StoreError(StoreErrorKind.TOO_LARGE, reason)
        metadata: dict[str, str | int] = {"name": name}
        method, path = "POST", _path(kind)
        if if_version != ABSENT_VERSION:
            metadata["revision"] = if_version
            method, path = "PUT", _path(kind, name)
        body = msgspec.json.encode({"metadata": metadata, "spec": msgspec.Raw(value)})
        return await self._write(method, path, body)

    async def delete(self, kind: str, name: str, if_version: int) -> int | StoreError:
        """Delete an object if its version is still ``if_version``."""
        return await self._write("DELETE", f"{_path(kind, name)}?revision={if_version}", b"")

    async def list(self, kind: str, stale: bool = False) -> Listing | StoreError:
        """Read all objects of a kind; a stale read is cheaper and may be seconds old."""
        objects: list[StoredObject] = []
        version: int | None = None
        after = ""
        while True:
            query = {"after": after} if after else {}
            if stale:
                query["stale_ok"] = "1"
            suffix = f"?{urllib.parse.urlencode(query)}" if query else ""
            answer = await self._call("GET", _path(kind) + suffix)
            if isinstance(answer, StoreError):
                return answer
            page = _decode(answer, _Listing)
            if isinstance(page, StoreError):
                return page
            # Later pages are newer; a watch from the first one's version misses nothing.
            version = page.at if version is None else version
            objects.extend(_stored(kind, item) for item in page.items)
            if not page.has_more or not page.items:
                return Listing(tuple(objects), version)
            after = page.items[-1].metadata.name

    async def watch(
        self, kind: str, after_version: int, timeout_s: float
    ) -> ChangeBatch | StoreError:
        """Wait for changes of a kind after a version."""
        query = {"watch": after_version, "wait_ms": int(timeout_s * MS_PER_S)}
        path = f"{_path(kind)}?{urllib.parse.urlencode(query)}"
        answer = await self._call("GET", path, b"", timeout_s + WATCH_MARGIN_S)
        if isinstance(answer, StoreError):
            if answer.kind is StoreErrorKind.NOT_FOUND and answer.reason == HISTORY_GONE:
                return ChangeBatch((), after_version, truncated=True)
            return answer
        batch = _decode(answer, _Events)
        if isinstance(batch, StoreError):
            return batch
        changes = []
        for event in batch.events:
            metadata = event.object.metadata
            value = None if event.deleted else bytes(event.object.spec)
            changes.append(Change(kind, metadata.name, metadata.revision, value))
        return ChangeBatch(tuple(changes), batch.at)

    async def _write(self, method: str, path: str, body: bytes) -> int | StoreError:
        answer = await self._call(method, path, body)
        if isinstance(answer, StoreError):
            return answer
        decoded = _decode(answer or b'{"metadata":{}}', _Object)
        if isinstance(decoded, StoreError):
            return decoded
        return decoded.metadata.revision

    async def _call(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = CALL_TIMEOUT_S
    ) -> bytes | StoreError:
        self._calls += 1
        writes = method != "GET"
        with anyio.move_on_after(timeout_s):
            return await self._exchange(method, path, body)
        kind = StoreErrorKind.OUTCOME_UNKNOWN if writes else StoreErrorKind.UNAVAILABLE
        return StoreError(kind, f"{method} {path}: no answer in {timeout_s} s")

    async def _exchange(self, method: str, path: str, body: bytes) -> bytes | StoreError:
        headers = list(self._host)
        if body:
            headers.append((b"content-type", b"application/json"))
        answer = await self._pool.call(self._address, method.encode(), path.encode(), headers, body)
        if isinstance(answer, HttpError):
            return _lost(method, answer)
        status, content = answer
        if status in (200, 201, 202, 204):
            return content
        if status == 410:
            return StoreError(StoreErrorKind.NOT_FOUND, HISTORY_GONE)
        kind = _STATUS_KINDS.get(status, StoreErrorKind.INVALID)
        return StoreError(kind, f"status {status}")


def _decode(answer: bytes, expected: type[_Document]) -> _Document | StoreError:
    try:
        return msgspec.json.decode(answer, type=expected)
    except msgspec.DecodeError as error:
        return StoreError(StoreErrorKind.UNAVAILABLE, f"answer not understood: {error}")


def _lost(method: str, error: HttpError) -> StoreError:
    if method != "GET" and error.kind is not HttpErrorKind.NOT_SENT:
        return StoreError(StoreErrorKind.OUTCOME_UNKNOWN, error.reason)
    return StoreError(StoreErrorKind.UNAVAILABLE, error.reason)


def _stored(kind: str, item: _Object) -> StoredObject:
    return StoredObject(kind, item.metadata.name, item.metadata.revision, bytes(item.spec))


def _path(kind: str, name: str = "") -> str:
    path = wire.OBJECTS_PATH + urllib.parse.quote(kind, safe="")
    return f"{path}/{urllib.parse.quote(name, safe='')}" if name else path
