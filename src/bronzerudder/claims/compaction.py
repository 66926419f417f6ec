"""Compaction of a shard: seals head records into segments, merges segments, deletes old ones.

The head is rewritten by every commit, so its size bounds the cost of a claim. A segment is stored
first and referenced by a later append; a process that fails in between loses no record.
"""

from __future__ import annotations

from bronzerudder.claims.head_change import SegmentChange
from bronzerudder.claims.records import (
    Record,
    Segment,
    SegmentReference,
    compact,
    encode,
)
from bronzerudder.claims.settings import DEFAULT_SEAL_BYTES, ClaimSettings
from bronzerudder.claims.shard_log import ShardLog
from bronzerudder.platform import StoreError

MERGE_COUNT = 16
"""Number of adjacent small segments from which they are merged."""
MERGED_BYTES = 800_000
"""Limit of the total size of the segments merged into one."""


class Compactor:
    """Stores segments concurrently with appends; the log references them with its next append."""

    def __init__(self, log: ShardLog, settings: ClaimSettings) -> None:
        self._log = log
        self._seal_bytes = settings.get("seal_bytes", DEFAULT_SEAL_BYTES)

    @property
    def due(self) -> bool:
        """Whether segments need deleting, sealing or merging."""
        if not self._log.loaded:
            return False
        if self._log.head_bytes >= self._seal_bytes or self._log.head.garbage:
            return True
        return len(self._mergeable()) >= MERGE_COUNT

    async def run_once(self) -> None:
        """Delete, seal or merge as needed; a failed step is retried after a later append."""
        await self._delete_garbage()
        if self._log.head_bytes >= self._seal_bytes:
            await self._seal()
            return
        mergeable = self._mergeable()
        if len(mergeable) >= MERGE_COUNT:
            await self._merge(mergeable)

    async def _seal(self) -> None:
        head = self._log.head
        if not head.records:
            return
        name = f"{self._log.name}.{head.base}"
        segment = Segment(len(head.records), compact(head.records))
        stored = await self._log.segments.write(name, segment)
        if isinstance(stored, StoreError):
            return
        reference = _make_reference(name, stored)
        change = SegmentChange(head.base, stored.count, (), reference, stored.records)
        self._log.apply_with_next_append(change)

    async def _merge(self, references: tuple[SegmentReference, ...]) -> None:
        records: list[Record] = []
        count = 0
        for reference in references:
            segment = await self._log.segments.read(reference.name)
            if isinstance(segment, StoreError):
                return
            records.extend(segment.records)
            count += segment.count
        base = references[0].name.removeprefix(f"{self._log.name}.").partition(".")[0]
        name = f"{self._log.name}.{base}.m{count}"
        merged = Segment(count, compact(tuple(records)))
        stored = await self._log.segments.write(name, merged)
        if isinstance(stored, StoreError):
            return
        replaced = tuple(reference.name for reference in references)
        self._log.apply_with_next_append(
            SegmentChange(0, 0, replaced, _make_reference(name, stored), stored.records)
        )

    async def _delete_garbage(self) -> None:
        deleted = set()
        for name in self._log.head.garbage:
            if await self._log.segments.delete(name):
                deleted.add(name)
        self._log.drop_garbage(frozenset(deleted))

    def _mergeable(self) -> tuple[SegmentReference, ...]:
        """Newest run of adjacent small segments whose total size fits a merged segment."""
        run: list[SegmentReference] = []
        size = 0
        for reference in reversed(self._log.head.segments):
            size += reference.size
            if size > MERGED_BYTES or reference.size >= MERGED_BYTES // MERGE_COUNT:
                break
            run.append(reference)
        return tuple(reversed(run))


def _make_reference(name: str, segment: Segment) -> SegmentReference:
    newest_s = max(record.time_s for record in segment.records)
    return SegmentReference(name, newest_s, len(encode(segment)))
