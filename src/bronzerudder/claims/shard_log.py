"""Log of one shard's records in the platform's store, appended to by conditional updates.

The head object names the sealed segments and holds the records after them. Each append rewrites the
head on condition that its version is the one last read or written, so concurrent writers cannot
overwrite each other's records. An append whose response was lost may have taken effect or may do so
later, as long as the version it was conditional on is current; the head is then read back.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import NamedTuple, TypeVar

import anyio

from bronzerudder.claims.api import StoredAnswer
from bronzerudder.claims.bounded_store import BoundedStore
from bronzerudder.claims.head_change import SegmentChange, apply_change, expire_segments
from bronzerudder.claims.records import (
    EMPTY_HEAD,
    HEAD_KIND,
    ClaimState,
    Head,
    Record,
    Segment,
    decode_head,
    encode,
)
from bronzerudder.claims.sealed_index import SealedIndex
from bronzerudder.claims.segment_store import SegmentStore
from bronzerudder.claims.settings import (
    DEFAULT_RETENTION_S,
    DEFAULT_STORE_TIMEOUT_S,
    ClaimSettings,
)
from bronzerudder.platform import ABSENT_VERSION, ObjectStore, StoreError, StoreErrorKind

_MAX_LOAD_ATTEMPTS = 3

_Result = TypeVar("_Result")


class Entry(NamedTuple):
    """State of a key in the shard; ``segment`` is None while its record is in the head."""

    fingerprint: bytes
    state: ClaimState
    incarnation: int
    answer: StoredAnswer | None
    segment: str | None


class ShardLog:
    """Cached view of a shard, as last read or written by this process."""

    def __init__(
        self,
        store: ObjectStore,
        name: str,
        settings: ClaimSettings,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = BoundedStore(store, settings.get("store_timeout_s", DEFAULT_STORE_TIMEOUT_S))
        self._name = name
        self._retention_s = settings.get("retention_s", DEFAULT_RETENTION_S)
        self._clock = clock
        self._segments = SegmentStore(self._store)
        self._version = ABSENT_VERSION
        self._indeterminate_version: int | None = None
        self._head = EMPTY_HEAD
        self._head_bytes = 0
        self._head_index: dict[bytes, Record] = {}
        self._sealed_indexes: dict[str, SealedIndex] = {}
        self._change: SegmentChange | None = None
        self._loaded = False

    @property
    def segments(self) -> SegmentStore:
        """Access to the stored segments."""
        return self._segments

    @property
    def name(self) -> str:
        """Name of the shard's head object."""
        return self._name

    @property
    def head(self) -> Head:
        """The head as last read or written."""
        return self._head

    @property
    def head_bytes(self) -> int:
        """Size of the head as last read or written, in bytes."""
        return self._head_bytes

    @property
    def loaded(self) -> bool:
        """Whether the cached view is valid; False at first, after a conflict or lost response."""
        return self._loaded

    @property
    def has_indeterminate_write(self) -> bool:
        """Whether an update whose response was lost may still apply to the current version."""
        return self._indeterminate_version == self._version

    def now_s(self) -> int:
        """Time for a new record, in whole Unix seconds of this process's clock."""
        return int(self._clock())

    def lookup(self, digest: bytes) -> Entry | None:
        """Return the latest state of a key in the cached view, or None."""
        record = self._head_index.get(digest)
        if record is not None:
            return _make_entry(record, None)
        for name, records in reversed(self._sealed_indexes.items()):
            record = records.get(digest)
            if record is not None:
                return _make_entry(record, name)
        return None

    async def read_answer(self, digest: bytes, entry: Entry) -> StoredAnswer | StoreError | None:
        """Fetch the stored answer of a finished key; None when it was too large to store."""
        if entry.segment is None:
            return entry.answer
        segment = await self.segments.read(entry.segment)
        if isinstance(segment, StoreError):
            return segment
        for record in segment.records:
            if record.digest == digest:
                return record.answer
        return None

    async def load(self) -> StoreError | None:
        """Read the head and the segments that this process has not read yet.

        A missing segment is a reason to read the head again: another process may have merged and
        deleted it since the head was read.
        """
        error: StoreError | None = None
        for _ in range(_MAX_LOAD_ATTEMPTS):
            error = await self._load_once()
            if error is None or error.kind is not StoreErrorKind.NOT_FOUND:
                return error
        return error

    async def append(self, records: tuple[Record, ...]) -> StoreError | None:
        """Append records, on condition that the head is still the one in the cached view.

        Returns
        -------
        StoreError or None
            ``CONFLICT`` when another process has updated the head. After ``CONFLICT`` and
            ``OUTCOME_UNKNOWN`` the shard must be loaded again.
        """
        change = self._change
        head = self._build_head(records)
        data = encode(head)
        expected_version = self._version
        version = await self._store.put(HEAD_KIND, self._name, data, expected_version)
        if isinstance(version, StoreError):
            self._handle_write_failure(version, expected_version)
            return version
        segment_records = {} if change is None else {change.added.name: change.records}
        self._head_bytes = len(data)
        self._install(version, head, segment_records)
        return None

    def apply_with_next_append(self, change: SegmentChange) -> None:
        """Apply a segment change to the head with the next append."""
        self._change = change

    def drop_garbage(self, names: frozenset[str]) -> None:
        """Remove deleted segments from the head's garbage with the next append."""
        garbage = tuple(name for name in self._head.garbage if name not in names)
        self._head = self._head._replace(garbage=garbage)

    async def _load_once(self) -> StoreError | None:
        stored = await self._store.get(HEAD_KIND, self._name)
        if isinstance(stored, StoreError):
            if stored.kind is not StoreErrorKind.NOT_FOUND:
                return stored
            self._install(ABSENT_VERSION, EMPTY_HEAD, {})
            return None
        head = decode_head(stored.value)
        if head is None:
            return StoreError(StoreErrorKind.INVALID, f"{self._name} cannot be decoded")
        segment_records = await self._read_new_segments(head)
        if isinstance(segment_records, StoreError):
            return segment_records
        self._head_bytes = len(stored.value)
        self._install(stored.version, head, segment_records)
        return None

    async def _read_new_segments(self, head: Head) -> dict[str, tuple[Record, ...]] | StoreError:
        missing = [
            reference.name
            for reference in head.segments
            if reference.name not in self._sealed_indexes
        ]
        results: dict[str, Segment | StoreError] = {}

        async def fetch(name: str) -> None:
            results[name] = await self.segments.read(name)

        async with anyio.create_task_group() as tasks:
            for name in missing:
                tasks.start_soon(fetch, name)
        segment_records = {}
        for name, result in results.items():
            if isinstance(result, StoreError):
                return result
            segment_records[name] = result.records
        return segment_records

    def _build_head(self, records: tuple[Record, ...]) -> Head:
        head = apply_change(self._head, self._change)
        self._change = None
        head = expire_segments(head, self.now_s() - self._retention_s)
        return head._replace(records=head.records + records)

    def _install(
        self, version: int, head: Head, segment_records: dict[str, tuple[Record, ...]]
    ) -> None:
        sealed = {}
        for reference in head.segments:
            cached = self._sealed_indexes.get(reference.name)
            sealed[reference.name] = (
                cached if cached is not None else SealedIndex(segment_records[reference.name])
            )
        self._sealed_indexes = sealed
        self._head_index = {record.digest: record for record in head.records}
        self._version = version
        self._head = head
        self._loaded = True

    def _handle_write_failure(self, error: StoreError, expected_version: int) -> None:
        if error.kind is StoreErrorKind.OUTCOME_UNKNOWN:
            self._indeterminate_version = expected_version
            self._loaded = False
        if error.kind is StoreErrorKind.CONFLICT:
            self._loaded = False


def _make_entry(record: Record, segment: str | None) -> Entry:
    return Entry(record.fingerprint, record.state, record.incarnation, record.answer, segment)
