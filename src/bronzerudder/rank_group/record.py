"""Stores the last committed map in the platform's store, from which a group is formed again."""

from __future__ import annotations

from typing import NamedTuple, TypedDict

import msgspec

from bronzerudder.platform.api import ABSENT_VERSION, ObjectStore, StoredObject
from bronzerudder.platform.errors import StoreError, StoreErrorKind
from bronzerudder.settings import SettingsError, decode_document

MAP_KIND = "expert-map"


class MapDocument(TypedDict):
    """JSON form of the record; ``expert_map`` is base64."""

    version: int
    expert_map: bytes


class CommittedMap(NamedTuple):
    """A committed map and its version."""

    version: int
    expert_map: bytes


class MapRecord:
    """Reads and writes the record of one group.

    Parameters
    ----------
    objects : ObjectStore
        The platform's object store.
    group : str
        Name of the group.
    """

    def __init__(self, objects: ObjectStore, group: str) -> None:
        self._objects = objects
        self._group = group

    async def load(self) -> CommittedMap | StoreError:
        """Return the stored map; ``NOT_FOUND`` when there is none."""
        found = await self._objects.get(MAP_KIND, self._group)
        if isinstance(found, StoreError):
            return found
        return _decode(found)

    async def save(self, committed: CommittedMap) -> StoreError | None:
        """Store a map unless the same or a later version is stored.

        An error may mean that a concurrent save came first or that the response was lost; the
        caller repeats the call until it returns None.
        """
        found = await self._objects.get(MAP_KIND, self._group)
        stored_version = ABSENT_VERSION
        if isinstance(found, StoreError):
            if found.kind is not StoreErrorKind.NOT_FOUND:
                return found
        else:
            stored_version = found.version
            recorded = _decode(found)
            if isinstance(recorded, CommittedMap) and recorded.version >= committed.version:
                return None
        value = msgspec.json.encode(committed._asdict())
        result = await self._objects.put(MAP_KIND, self._group, value, stored_version)
        return result if isinstance(result, StoreError) else None


def _decode(stored: StoredObject) -> CommittedMap | StoreError:
    document = decode_document(stored.value, MapDocument)
    if isinstance(document, SettingsError):
        return StoreError(StoreErrorKind.INVALID, str(document))
    return CommittedMap(document["version"], document["expert_map"])
