"""The stand-in platform's HTTP interface."""

from __future__ import annotations

import collections
import urllib.parse
from collections.abc import Callable
from typing import Any, NamedTuple

import anyio

from bronzerudder.platform import StoreError, StoreErrorKind
from bronzerudder.platform.documents import ErrorDocument, InstanceDocument, ValueDocument
from bronzerudder.platform.http_client import CALLER_HEADER
from bronzerudder.settings import SettingsError, decode_document
from bronzerudder.standin.platform.faults import FaultDocument, Faults
from bronzerudder.standin.platform.instances import LaggingInstances
from bronzerudder.standin.platform.objects import ObjectTable
from bronzerudder.web import read_body, read_headers, send_json

MAX_BODY_BYTES = 2_000_000
DEFAULT_WATCH_S = 30.0
STATUS_BY_KIND = {
    StoreErrorKind.NOT_FOUND: 404,
    StoreErrorKind.CONFLICT: 409,
    StoreErrorKind.UNAVAILABLE: 503,
    StoreErrorKind.OUTCOME_UNKNOWN: 504,
    StoreErrorKind.TOO_LARGE: 413,
    StoreErrorKind.INVALID: 400,
}
WRITE_METHODS = frozenset({"PUT", "DELETE"})


class _Request(NamedTuple):
    method: str
    segments: tuple[str, ...]
    parameters: dict[str, str]
    caller: str
    body: bytes


class PlatformApp:
    """ASGI application with the object API under ``/v1`` and fault injection under ``/control``.

    Parameters
    ----------
    objects : ObjectTable
        Objects of the store.
    instances : LaggingInstances
        Instance list that the platform serves.
    """

    def __init__(self, objects: ObjectTable, instances: LaggingInstances) -> None:
        self.objects = objects
        self.instances = instances
        self.faults = Faults()
        self.calls: collections.Counter[tuple[str, str]] = collections.Counter()

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Serve one request."""
        body = await read_body(receive, MAX_BODY_BYTES)
        if not isinstance(body, bytes):
            return
        request = _parse(scope, body)
        if request.segments[:1] == ("control",):
            await self._answer(send, self._control(request))
            return
        self.calls[request.caller, _call_kind(request)] += 1
        fault = self.faults.for_caller(request.caller)
        if fault.get("stalled", False):
            await anyio.sleep_forever()
        await anyio.sleep(fault.get("delay_s", 0.0))
        if fault.get("down", False):
            await self._answer(send, StoreError(StoreErrorKind.UNAVAILABLE, "the store is down"))
            return
        result = await self._serve(request)
        if request.method in WRITE_METHODS and self.faults.count_lost_write(request.caller):
            await self._truncate_answer(send)
            return
        await self._answer(send, result)

    async def _answer(self, send: Any, result: Any) -> None:
        if isinstance(result, StoreError):
            document = ErrorDocument(kind=result.kind.value, reason=result.reason)
            await send_json(send, STATUS_BY_KIND[result.kind], document)
            return
        await send_json(send, 200, result)

    async def _truncate_answer(self, send: Any) -> None:
        headers = [(b"content-length", b"1000000")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"{", "more_body": True})

    async def _serve(self, request: _Request) -> Any:
        match request.method, *request.segments:
            case "GET", "v1", "instances":
                return self.instances.visible()
            case "GET", "v1", "watch", kinds:
                return await self._watch(request, kinds)
            case "GET", "v1", "objects", kind:
                listing = self.objects.list(kind)
                objects = [stored._asdict() for stored in listing.objects]
                return {"objects": objects, "version": listing.version}
            case "GET", "v1", "objects", kind, name:
                stored = self.objects.get(kind, name)
                return stored if isinstance(stored, StoreError) else stored._asdict()
            case "PUT" | "DELETE", "v1", "objects", kind, name:
                return self._write(request, kind, name)
        return StoreError(StoreErrorKind.INVALID, "no such call")

    async def _watch(self, request: _Request, kinds: str) -> dict[str, Any]:
        after_version = int(request.parameters.get("after_version", "0"))
        timeout_s = float(request.parameters.get("timeout_s", DEFAULT_WATCH_S))
        batch = await self.objects.watch(frozenset(kinds.split(",")), after_version, timeout_s)
        changes = [change._asdict() for change in batch.changes]
        return {"changes": changes, "version": batch.version, "truncated": batch.truncated}

    def _write(self, request: _Request, kind: str, name: str) -> Any:
        if_version = int(request.parameters.get("if_version", "0"))
        if request.method == "DELETE":
            result = self.objects.delete(kind, name, if_version)
        else:
            document = decode_document(request.body, ValueDocument)
            if isinstance(document, SettingsError):
                return StoreError(StoreErrorKind.INVALID, str(document))
            result = self.objects.put(kind, name, document["value"], if_version)
        return result if isinstance(result, StoreError) else {"version": result}

    def _control(self, request: _Request) -> Any:
        match request.method, *request.segments:
            case "GET", "control", "calls":
                return [
                    {"caller": caller, "call": call, "count": count}
                    for (caller, call), count in sorted(self.calls.items())
                ]
            case "PUT", "control", "faults", caller:
                return self._apply_document(
                    request.body, FaultDocument, lambda fault: self.faults.set(caller, fault)
                )
            case "PUT", "control", "instances":
                return self._apply_document(request.body, InstanceDocument, self.instances.set)
            case "DELETE", "control", "instances", name:
                self.instances.remove(name)
                return {}
            case "PUT", "control", "lag", seconds:
                self.instances.lag_s = float(seconds)
                return {}
        return StoreError(StoreErrorKind.INVALID, "no such control")

    def _apply_document(self, body: bytes, expected: type, apply: Callable[[Any], None]) -> Any:
        document = decode_document(body, expected)
        if isinstance(document, SettingsError):
            return StoreError(StoreErrorKind.INVALID, str(document))
        apply(document)
        return {}


def _parse(scope: dict[str, Any], body: bytes) -> _Request:
    path = scope["raw_path"].decode("ascii").partition("?")[0]
    segments = tuple(urllib.parse.unquote(segment) for segment in path.strip("/").split("/"))
    parameters = dict(urllib.parse.parse_qsl(scope["query_string"].decode("ascii")))
    caller = read_headers(scope).get(CALLER_HEADER, "")
    return _Request(scope["method"], segments, parameters, caller, body)


def _call_kind(request: _Request) -> str:
    if request.method in WRITE_METHODS:
        return request.method.lower()
    if request.segments[1:2] != ("objects",):
        return request.segments[1] if len(request.segments) > 1 else "unknown"
    return "list" if len(request.segments) == 3 else "get"
