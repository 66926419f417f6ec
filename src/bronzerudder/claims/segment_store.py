"""Stores sealed segments as immutable objects in the platform's store."""

from __future__ import annotations

from bronzerudder.claims.bounded_store import BoundedStore
from bronzerudder.claims.records import SEGMENT_KIND, Segment, decode_segment, encode
from bronzerudder.platform import ABSENT_VERSION, StoreError, StoreErrorKind


class SegmentStore:
    """Writes, reads and deletes segments by name."""

    def __init__(self, store: BoundedStore) -> None:
        self._store = store

    async def write(self, name: str, segment: Segment) -> Segment | StoreError:
        """Write a segment, or read the one that is already stored by that name.

        Processes that seal the same head use the same name, but one may have read more records.
        The caller must use the returned segment, whose ``count`` says how many it replaces.
        """
        result = await self._store.put(SEGMENT_KIND, name, encode(segment), ABSENT_VERSION)
        if not isinstance(result, StoreError):
            return segment
        if result.kind in (StoreErrorKind.CONFLICT, StoreErrorKind.OUTCOME_UNKNOWN):
            return await self.read(name)
        return result

    async def read(self, name: str) -> Segment | StoreError:
        """Read a segment."""
        stored = await self._store.get(SEGMENT_KIND, name)
        if isinstance(stored, StoreError):
            return stored
        segment = decode_segment(stored.value)
        if segment is None:
            return StoreError(StoreErrorKind.INVALID, f"segment {name} cannot be decoded")
        return segment

    async def delete(self, name: str) -> bool:
        """Delete a segment; return whether it is certain to no longer exist."""
        stored = await self._store.get(SEGMENT_KIND, name)
        if isinstance(stored, StoreError):
            return stored.kind is StoreErrorKind.NOT_FOUND
        result = await self._store.delete(SEGMENT_KIND, name, stored.version)
        return not isinstance(result, StoreError)
