"""Versioned objects in memory."""

from __future__ import annotations

import collections

import anyio

from bronzerudder.platform import (
    ABSENT_VERSION,
    MAX_VALUE_BYTES,
    Change,
    ChangeBatch,
    Listing,
    StoredObject,
    StoreError,
    StoreErrorKind,
)

DEFAULT_KEPT_CHANGES = 10_000


class ObjectTable:
    """Objects, and the latest changes that watches read.

    Parameters
    ----------
    kept_changes : int
        Number of latest changes kept; a watch after an older version is truncated.
    """

    def __init__(self, kept_changes: int = DEFAULT_KEPT_CHANGES) -> None:
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._changes: collections.deque[Change] = collections.deque(maxlen=kept_changes)
        self._version = ABSENT_VERSION
        self._dropped_version = ABSENT_VERSION
        self._changed = anyio.Event()

    @property
    def version(self) -> int:
        """Version of the last write to any object."""
        return self._version

    def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""
        stored = self._objects.get((kind, name))
        if stored is None:
            return StoreError(StoreErrorKind.NOT_FOUND, f"no {kind} {name}")
        return stored

    def put(self, kind: str, name: str, value: bytes, if_version: int) -> int | StoreError:
        """Write an object if its version is still ``if_version``."""
        if len(value) > MAX_VALUE_BYTES:
            return StoreError(StoreErrorKind.TOO_LARGE, f"{len(value)} bytes")
        conflict = self._find_conflict(kind, name, if_version)
        if conflict is not None:
            return conflict
        self._record(kind, name, value)
        self._objects[kind, name] = StoredObject(kind, name, self._version, value)
        return self._version

    def delete(self, kind: str, name: str, if_version: int) -> int | StoreError:
        """Delete an object if its version is still ``if_version``."""
        if (kind, name) not in self._objects:
            return StoreError(StoreErrorKind.NOT_FOUND, f"no {kind} {name}")
        conflict = self._find_conflict(kind, name, if_version)
        if conflict is not None:
            return conflict
        self._record(kind, name, None)
        del self._objects[kind, name]
        return self._version

    def list(self, kind: str) -> Listing:
        """Read all objects of a kind."""
        objects = tuple(stored for key, stored in self._objects.items() if key[0] == kind)
        return Listing(objects, self._version)

    async def watch(
        self, kinds: frozenset[str], after_version: int, timeout_s: float
    ) -> ChangeBatch:
        """Wait for changes of the given kinds after a version."""
        with anyio.move_on_after(timeout_s):
            while True:
                changed = self._changed
                batch = self._collect(kinds, after_version)
                if batch.changes or batch.truncated:
                    return batch
                await changed.wait()
        return self._collect(kinds, after_version)

    def _find_conflict(self, kind: str, name: str, if_version: int) -> StoreError | None:
        stored = self._objects.get((kind, name))
        version = ABSENT_VERSION if stored is None else stored.version
        if version == if_version:
            return None
        reason = f"{kind} {name} is at version {version}, not {if_version}"
        return StoreError(StoreErrorKind.CONFLICT, reason)

    def _record(self, kind: str, name: str, value: bytes | None) -> None:
        self._version += 1
        if len(self._changes) == self._changes.maxlen:
            self._dropped_version = self._changes[0].version
        self._changes.append(Change(kind, name, self._version, value))
        self._changed.set()
        self._changed = anyio.Event()

    def _collect(self, kinds: frozenset[str], after_version: int) -> ChangeBatch:
        if after_version < self._dropped_version:
            return ChangeBatch((), self._version, truncated=True)
        found: list[Change] = []
        for change in reversed(self._changes):
            if change.version <= after_version:
                break
            if change.kind in kinds:
                found.append(change)
        found.reverse()
        return ChangeBatch(tuple(found), self._version)
