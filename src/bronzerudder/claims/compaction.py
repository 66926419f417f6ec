"""Keeps the rewritten head small: seals its records, merges segments, deletes old ones."""

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
MERGED_BYTES = 800_000


class Compactor:
    """Stores segments beside the appends and offers them to the log."""

    def __init__(self, log: ShardLog, settings: ClaimSettings) -> None:
        self._log = log
        self._seal_bytes = settings.get("seal_bytes", DEFAULT_SEAL_BYTES)

    @property
    def due(self) -> bool:
        """Whether there is something to do."""
        if not self._log.loaded:
            return False
        if self._log.head_bytes >= self._seal_bytes or self._log.head.garbage:
            return True
        return len(self._mergeable()) >= MERGE_COUNT

    async def run_once(self) -> None:
        """Do what is due; what fails is tried again after a later append."""
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
        reference = _refer(name, stored)
        change = SegmentChange(head.base, stored.count, (), reference, stored.records)
        self._log.offer(change)

    async def _merge(self, parts: tuple[SegmentReference, ...]) -> None:
        records: list[Record] = []
        count = 0
        for part in parts:
            segment = await self._log.segments.read(part.name)
            if isinstance(segment, StoreError):
                return
            records.extend(segment.records)
            count += segment.count
        base = parts[0].name.removeprefix(f"{self._log.name}.").partition(".")[0]
        name = f"{self._log.name}.{base}.m{count}"
        merged = Segment(count, compact(tuple(records)))
        stored = await self._log.segments.write(name, merged)
        if isinstance(stored, StoreError):
            return
        replaced = tuple(part.name for part in parts)
        self._log.offer(SegmentChange(0, 0, replaced, _refer(name, stored), stored.records))

    async def _delete_garbage(self) -> None:
        deleted = set()
        for name in self._log.head.garbage:
            if await self._log.segments.delete(name):
                deleted.add(name)
        self._log.forget_garbage(frozenset(deleted))

    def _mergeable(self) -> tuple[SegmentReference, ...]:
        """Newest run of adjacent segments that together stay within the size of one."""
        run: list[SegmentReference] = []
        size = 0
        for part in reversed(self._log.head.segments):
            size += part.size
            if size > MERGED_BYTES or part.size >= MERGED_BYTES // MERGE_COUNT:
                break
            run.append(part)
        return tuple(reversed(run))


def _refer(name: str, segment: Segment) -> SegmentReference:
    newest_s = max(record.time_s for record in segment.records)
    return SegmentReference(name, newest_s, len(encode(segment)))
