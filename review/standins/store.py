"""A stand-in for the platform's store: objects, conditional writes, watches and drills."""

from __future__ import annotations

import asyncio
import copy
import json
import time
import urllib.parse
from typing import NamedTuple

from standins.http import Connection, Request, Server

SERVERS = "servers"
HEARTBEAT_S = 1.2
LAPSE_S = 3 * HEARTBEAT_S


class _Stored(NamedTuple):
    name: str
    revision: int
    # JSON text, kept as its writer sent it.
    spec: str

    def text(self) -> str:
        metadata = json.dumps({"name": self.name, "revision": self.revision, "finalizers": []})
        return f'{{"metadata":{metadata},"spec":{self.spec},"status":null}}'


class _Event(NamedTuple):
    kind: str
    stored: _Stored
    revision: int
    deleted: bool


class Copy(NamedTuple):
    """A copy of the store, from which a drill brings it back."""

    at_s: float
    revision: int
    objects: dict[str, dict[str, _Stored]]
    events: list[_Event]


class Store:
    """Keeps objects in memory and serves them over HTTP."""

    def __init__(self) -> None:
        self.server = Server(self._handle)
        self.era = 1
        self._revision = 1
        self._objects: dict[str, dict[str, _Stored]] = {}
        self._events: list[_Event] = []
        self._first_revision = 1
        self._written_at_s: dict[str, float] = {}
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: str) -> int:
        """Write an object as the operator or a worker does; an equal one makes no event."""
        self._written_at_s[name] = time.monotonic()
        found = self._objects.get(kind, {}).get(name)
        if found is not None and found.spec == spec:
            return found.revision
        self._revision += 1
        stored = _Stored(name, self._revision, spec)
        self._objects.setdefault(kind, {})[name] = stored
        self._record(_Event(kind, stored, self._revision, False))
        return self._revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self._objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self._revision += 1
            self._record(_Event(kind, stored, self._revision, True))

    def get(self, kind: str, name: str) -> str | None:
        """Return the JSON text of an object."""
        stored = self._objects.get(kind, {}).get(name)
        return None if stored is None else stored.spec

    def copy(self) -> Copy:
        """Take a copy."""
        objects = {kind: dict(held) for kind, held in self._objects.items()}
        return Copy(time.monotonic(), self._revision, objects, list(self._events))

    async def drill(self, taken: Copy, away_s: float) -> None:
        """Be away for a moment, and come back from a copy."""
        self.server.stop()
        await asyncio.sleep(away_s)
        self._objects = copy.deepcopy(taken.objects)
        self._events = list(taken.events)
        self._revision = taken.revision
        self.era += 1
        now_s = time.monotonic()
        for name in self._objects.get(SERVERS, {}):
            self._written_at_s[name] = now_s
        self._wake()
        await self.server.start()

    async def run_lapses(self) -> None:
        """Remove the entries of workers that are silent for three heartbeats."""
        while True:
            await asyncio.sleep(0.1)
            now_s = time.monotonic()
            for name in list(self._objects.get(SERVERS, {})):
                if now_s - self._written_at_s.get(name, now_s) > LAPSE_S:
                    self.remove(SERVERS, name)

    def _record(self, event: _Event) -> None:
        self._events.append(event)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request, connection: Connection) -> None:
        path, _, query = request.target.partition("?")
        options = dict(urllib.parse.parse_qsl(query))
        kind, _, name = path.removeprefix("/-/objects/").partition("/")
        kind, name = urllib.parse.unquote(kind), urllib.parse.unquote(name)
        if request.method == "GET" and "watch" in options:
            status, text = await self._watch(kind, options)
        elif request.method == "GET":
            status, text = self._read(kind, name)
        else:
            status, text = self._write(request, kind, name, options)
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        # Text that is not valid Unicode can only come from an escape, which stays as it was.
        await connection.respond(status, headers, text.encode())

    def _read(self, kind: str, name: str) -> tuple[int, str]:
        held = self._objects.get(kind, {})
        if name:
            return (200, held[name].text()) if name in held else (404, "{}")
        items = ",".join(held[item].text() for item in sorted(held))
        return 200, f'{{"items":[{items}],"has_more":false,"at":{self._revision}}}'

    async def _watch(self, kind: str, options: dict[str, str]) -> tuple[int, str]:
        after = int(options["watch"])
        until_s = time.monotonic() + int(options.get("wait_ms", "0")) / 1000.0
        while True:
            if after > self._revision:
                return 410, "{}"
            events = [item for item in self._events if item.kind == kind and item.revision > after]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
        texts = [
            f'{{"object":{item.stored.text()},"deleted":{json.dumps(item.deleted)}}}'
            for item in events
        ]
        return 200, f'{{"events":[{",".join(texts)}],"at":{self._revision}}}'

    def _write(
        self, request: Request, kind: str, name: str, options: dict[str, str]
    ) -> tuple[int, str]:
        held = self._objects.setdefault(kind, {})
        if request.method == "DELETE":
            if name not in held:
                return 404, "{}"
            if "revision" in options and int(options["revision"]) != held[name].revision:
                return 409, held[name].text()
            stored = held[name]
            self.remove(kind, name)
            return 200, stored.text()
        document = json.loads(request.body)
        metadata = document["metadata"]
        name = metadata["name"]
        if request.method == "POST" and name in held:
            return 409, held[name].text()
        if request.method == "PUT":
            if name not in held:
                return 404, "{}"
            if "revision" in metadata and metadata["revision"] != held[name].revision:
                return 409, held[name].text()
        self.put(kind, name, json.dumps(document["spec"]))
        return 200, held[name].text()
