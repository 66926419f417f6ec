"""The platform's record of the last committed map, for forming the group again."""

from __future__ import annotations

from typing import NamedTuple, TypedDict

import msgspec

from bronzerudder.platform.api import ABSENT_VERSION, ObjectStore, StoredObject
from bronzerudder.platform.errors import StoreError, StoreErrorKind
from bronzerudder.settings import SettingsError, decode_document

MAP_KIND = "expert-map"


class MapDocument(TypedDict):
    """The record as JSON; ``expert_map`` is in base64."""

    version: int
    expert_map: bytes


class CommittedMap(NamedTuple):
    """A map that was committed."""

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
        """Return the recorded map; ``NOT_FOUND`` when there is none."""
        found = await self._objects.get(MAP_KIND, self._group)
        if isinstance(found, StoreError):
            return found
        return _decode(found)

    async def save(self, committed: CommittedMap) -> StoreError | None:
        """Record a map unless a later version is on record; repeat until it returns None."""
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
