"""A stand-in for the platform's metadata store."""

from __future__ import annotations

import copy
import urllib.parse
from typing import Any, NamedTuple

import anyio
import msgspec

from bronzerudder.http1 import HttpServer, Request, ResponseWriter, ServerLimits
from bronzerudder.platform import wire

MS_PER_S = 1000.0
DEFAULT_PAGE_SIZE = 500
CLOSE_CONNECTION = 0
"""In place of a status: closes the connection without an answer."""


class StoreCopy(NamedTuple):
    """State of the store at some time, to which it can be restored."""

    objects: dict[str, dict[str, dict[str, Any]]]
    events: list[tuple[str, int, dict[str, Any], bool]]
    revision: int


class StandinStore:
    """Holds objects in memory.

    Attributes
    ----------
    page : int
        Objects per page of a listing.
    refuse_with : int
        Status with which every call is refused; 0 serves calls.
    lose_answers : bool
        Whether writes are executed but their connection is closed without an answer.
    is_unresponsive : bool
        Whether calls are never answered.
    drops_events : bool
        Whether watches miss all changes, although the revision that they return rises.
    era : int
        Rises each time that the store is restored from a copy; sent with all answers.
    calls : list of str
        Method and path of every call.
    """

    def __init__(self) -> None:
        self.page = DEFAULT_PAGE_SIZE
        self.refuse_with = 0
        self.lose_answers = False
        self.is_unresponsive = False
        self.drops_events = False
        self.era = 1
        self.calls: list[str] = []
        self.server = HttpServer(self._handle, ServerLimits)
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[str, int, dict[str, Any], bool]] = []
        self._revision = 1
        self._compacted_revision = 0
        self._compactions = 0
        self._changed = anyio.Event()

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object, as the operator or a backend server does."""
        self._revision += 1
        item = {"metadata": {"name": name, "revision": self._revision}, "spec": spec}
        self._objects.setdefault(kind, {})[name] = item
        self._record_event(kind, item, deleted=False)
        return self._revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self._revision += 1
            self._record_event(kind, item, deleted=True)

    def names(self, kind: str) -> list[str]:
        """Return the names of the objects of a kind."""
        return sorted(self._objects.get(kind, {}))

    def find(self, kind: str, name: str) -> Any:
        """Return the value of an object; None if there is none."""
        item = self._objects.get(kind, {}).get(name)
        return None if item is None else item["spec"]

    def compact_history(self) -> None:
        """Discard all past changes: cut pending watches, and refuse watches of older revisions."""
        self._compactions += 1
        self._events.clear()
        self._compacted_revision = self._revision
        self._wake_watches()

    def take_copy(self) -> StoreCopy:
        """Copy all objects and the history."""
        return StoreCopy(copy.deepcopy(self._objects), list(self._events), self._revision)

    def restore(self, taken: StoreCopy) -> None:
        """Lose all writes since a copy was taken; their revisions will be used again."""
        self.era += 1
        self._objects = copy.deepcopy(taken.objects)
        self._events = list(taken.events)
        self._revision = taken.revision
        self._wake_watches()

    def _record_event(self, kind: str, item: dict[str, Any], deleted: bool) -> None:
        if self.drops_events:
            return
        self._events.append((kind, self._revision, item, deleted))
        self._wake_watches()

    def drop_watches(self) -> None:
        """Leave pending watches and all further calls without an answer."""
        self.is_unresponsive = True
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _handle(self, request: Request, writer: ResponseWriter) -> None:
        path, _, query = request.target.decode().partition("?")
        self.calls.append(f"{request.method.decode()} {request.target.decode()}")
        if self.is_unresponsive:
            await anyio.sleep_forever()
        if self.refuse_with:
            await writer.respond(self.refuse_with, [], b"")
            return
        options = dict(urllib.parse.parse_qsl(query))
        kind, _, name = path.removeprefix(wire.OBJECTS_PATH).partition("/")
        kind, name = urllib.parse.unquote(kind), urllib.parse.unquote(name)
        if request.method == b"GET":
            status, body = await self._read(kind, name, options)
            if not status:
                return
        else:
            status, body = self._write(request, kind, name, options)
            if self.lose_answers:
                return
        headers = [(wire.STORE_ERA, str(self.era).encode())]
        await writer.respond(status, headers, msgspec.json.encode(body))

    async def _read(self, kind: str, name: str, options: dict[str, str]) -> tuple[int, Any]:
        if name:
            found = self._objects.get(kind, {}).get(name)
            return (200, found) if found is not None else (404, None)
        if "watch" in options:
            return await self._watch(kind, int(options["watch"]), int(options["wait_ms"]))
        after = options.get("after", "")
        names = [item for item in self.names(kind) if item > after]
        items = [self._objects[kind][item] for item in names[: self.page]]
        more = len(names) > self.page
        return 200, {"items": items, "has_more": more, "at": self._revision}

    async def _watch(self, kind: str, after: int, wait_ms: int) -> tuple[int, Any]:
        compactions = self._compactions
        dropped = False
        with anyio.move_on_after(wait_ms / MS_PER_S):
            while True:
                if compactions != self._compactions:
                    return CLOSE_CONNECTION, None
                if after < self._compacted_revision or after > self._revision:
                    return 410, None
                if self.is_unresponsive:
                    dropped = True
                    break
                if any(event[0] == kind and event[1] > after for event in self._events):
                    break
                await self._changed.wait()
        if dropped:
            await anyio.sleep_forever()
        events = [
            {"object": item, "deleted": deleted}
            for event_kind, revision, item, deleted in self._events
            if event_kind == kind and revision > after
        ]
        return 200, {"events": events, "at": self._revision}

    def _write(
        self, request: Request, kind: str, name: str, options: dict[str, str]
    ) -> tuple[int, Any]:
        if request.method == b"DELETE":
            found = self._objects.get(kind, {}).get(name)
            if found is None:
                return 404, None
            if str(found["metadata"]["revision"]) != options.get("revision"):
                return 409, found
            self.remove(kind, name)
            return 200, found
        document = msgspec.json.decode(request.body)
        metadata = document["metadata"]
        found = self._objects.get(kind, {}).get(metadata["name"])
        if request.method == b"POST" and found is not None:
            return 409, found
        if request.method == b"PUT":
            if found is None:
                return 404, None
            if metadata.get("revision", 0) != found["metadata"]["revision"]:
                return 409, found
        self.put(kind, metadata["name"], document["spec"])
        return 200, self._objects[kind][metadata["name"]]
