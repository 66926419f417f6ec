"""Client of the object store of entries, agents and operator commands, with JSON over HTTP."""

from __future__ import annotations

import urllib.parse

import msgspec

from bronzerudder.platform.api import (
    MAX_VALUE_BYTES,
    Change,
    ChangeBatch,
    Listing,
    ObjectStore,
    StoredObject,
)
from bronzerudder.platform.documents import (
    ChangeBatchDocument,
    ListingDocument,
    ObjectDocument,
    ValueDocument,
    VersionDocument,
)
from bronzerudder.platform.errors import StoreError, StoreErrorKind
from bronzerudder.platform.http_client import CALL_TIMEOUT_S, Call, PlatformClient

OBJECTS_PATH = "/v1/objects"
WATCH_PATH = "/v1/watch"


class HttpObjectStore(ObjectStore):
    """Object store reached through a `PlatformClient`.

    A write whose answer was lost returns ``OUTCOME_UNKNOWN``, as it may have taken effect; a
    refused connection and status 503 return ``UNAVAILABLE``.
    """

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""
        document = await self._client.call(Call("GET", _path(kind, name), {}), ObjectDocument)
        if isinstance(document, StoreError):
            return document
        return StoredObject(**document)

    async def put(self, kind: str, name: str, value: bytes, if_version: int) -> int | StoreError:
        """Write an object if its version is still ``if_version``."""
        if len(value) > MAX_VALUE_BYTES:
            reason = f"{kind} {name}: {len(value)} bytes exceed {MAX_VALUE_BYTES}"
            return StoreError(StoreErrorKind.TOO_LARGE, reason)
        body = msgspec.json.encode(ValueDocument(value=value))
        return await self._write("PUT", _path(kind, name), body, if_version)

    async def delete(self, kind: str, name: str, if_version: int) -> int | StoreError:
        """Delete an object if its version is still ``if_version``; return the store version."""
        return await self._write("DELETE", _path(kind, name), b"", if_version)

    async def list(self, kind: str, stale: bool = False) -> Listing | StoreError:
        """Read all objects of a kind."""
        path = f"{OBJECTS_PATH}/{_quote(kind)}"
        document = await self._client.call(Call("GET", path, {}), ListingDocument)
        if isinstance(document, StoreError):
            return document
        objects = tuple(StoredObject(**item) for item in document["objects"])
        return Listing(objects, document["version"])

    async def watch(
        self, kind: str, after_version: int, timeout_s: float
    ) -> ChangeBatch | StoreError:
        """Wait for changes of a kind after a version."""
        return await self.watch_any((kind,), after_version, timeout_s)

    async def watch_any(
        self, kinds: tuple[str, ...], after_version: int, timeout_s: float
    ) -> ChangeBatch | StoreError:
        """Wait for changes of any of several kinds after a version, with a single call."""
        path = f"{WATCH_PATH}/{','.join(_quote(kind) for kind in kinds)}"
        parameters = {"after_version": str(after_version), "timeout_s": str(timeout_s)}
        call = Call("GET", path, parameters, timeout_s=timeout_s + CALL_TIMEOUT_S)
        document = await self._client.call(call, ChangeBatchDocument)
        if isinstance(document, StoreError):
            return document
        changes = tuple(Change(**item) for item in document["changes"])
        return ChangeBatch(changes, document["version"], document["truncated"])

    async def _write(
        self, method: str, path: str, body: bytes, if_version: int
    ) -> int | StoreError:
        parameters = {"if_version": str(if_version)}
        call = Call(method, path, parameters, body, writes=True)
        document = await self._client.call(call, VersionDocument)
        if isinstance(document, StoreError):
            return document
        return document["version"]


def _path(kind: str, name: str) -> str:
    return f"{OBJECTS_PATH}/{_quote(kind)}/{_quote(name)}"


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe="")
