"""One shard's records: read from the platform, and appended with conditional updates."""

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

_LOAD_TRIES = 3

_Result = TypeVar("_Result")


class Entry(NamedTuple):
    """What the shard says of a key; ``segment`` is None while the record is in the head."""

    fingerprint: bytes
    state: ClaimState
    incarnation: int
    answer: StoredAnswer | None
    segment: str | None


class ShardLog:
    """The shard as last read or written by this process."""

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
        self._doubtful_version: int | None = None
        self._head = EMPTY_HEAD
        self._head_bytes = 0
        self._recent: dict[bytes, Record] = {}
        self._sealed: dict[str, SealedIndex] = {}
        self._change: SegmentChange | None = None
        self._loaded = False

    @property
    def segments(self) -> SegmentStore:
        """The stored segments."""
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
        """Size of the head as last written."""
        return self._head_bytes

    @property
    def loaded(self) -> bool:
        """Whether the shard has been read since its last doubt or conflict."""
        return self._loaded

    @property
    def in_doubt(self) -> bool:
        """Whether an earlier update may still take effect on the version last seen."""
        return self._doubtful_version == self._version

    def now_s(self) -> int:
        """Time for a new record, in whole seconds of the writer's clock."""
        return int(self._clock())

    def lookup(self, digest: bytes) -> Entry | None:
        """Find what the shard, as last seen, says of a key."""
        record = self._recent.get(digest)
        if record is not None:
            return _as_entry(record, None)
        for name, records in reversed(self._sealed.items()):
            record = records.get(digest)
            if record is not None:
                return _as_entry(record, name)
        return None

    async def read_answer(self, digest: bytes, entry: Entry) -> StoredAnswer | StoreError | None:
        """Fetch the stored answer of a finished key; None when it was too large to keep."""
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
        """Read the head and the segments that this process has not read yet."""
        error: StoreError | None = None
        for _ in range(_LOAD_TRIES):
            error = await self._load_once()
            if error is None or error.kind is not StoreErrorKind.NOT_FOUND:
                return error
        return error

    async def append(self, records: tuple[Record, ...]) -> StoreError | None:
        """Write records after the shard's own, if the shard is still as last seen.

        Returns
        -------
        StoreError or None
            ``CONFLICT`` when another writer came first. After ``CONFLICT`` and
            ``OUTCOME_UNKNOWN`` the shard must be loaded again.
        """
        change = self._change
        head = self._next_head(records)
        data = encode(head)
        seen = self._version
        version = await self._store.put(HEAD_KIND, self._name, data, seen)
        if isinstance(version, StoreError):
            self._note_failure(version, seen)
            return version
        fetched = {} if change is None else {change.added.name: change.records}
        self._head_bytes = len(data)
        self._adopt(version, head, fetched)
        return None

    def offer(self, change: SegmentChange) -> None:
        """Put a stored segment in place with the next append."""
        self._change = change

    def forget_garbage(self, names: frozenset[str]) -> None:
        """Leave deleted segments out of the head from the next append on."""
        garbage = tuple(name for name in self._head.garbage if name not in names)
        self._head = self._head._replace(garbage=garbage)

    async def _load_once(self) -> StoreError | None:
        stored = await self._store.get(HEAD_KIND, self._name)
        if isinstance(stored, StoreError):
            if stored.kind is not StoreErrorKind.NOT_FOUND:
                return stored
            self._adopt(ABSENT_VERSION, EMPTY_HEAD, {})
            return None
        head = decode_head(stored.value)
        if head is None:
            return StoreError(StoreErrorKind.INVALID, f"{self._name} cannot be decoded")
        fetched = await self._fetch_missing(head)
        if isinstance(fetched, StoreError):
            return fetched
        self._head_bytes = len(stored.value)
        self._adopt(stored.version, head, fetched)
        return None

    async def _fetch_missing(self, head: Head) -> dict[str, tuple[Record, ...]] | StoreError:
        missing = [part.name for part in head.segments if part.name not in self._sealed]
        results: dict[str, Segment | StoreError] = {}

        async def fetch(name: str) -> None:
            results[name] = await self.segments.read(name)

        async with anyio.create_task_group() as tasks:
            for name in missing:
                tasks.start_soon(fetch, name)
        fetched = {}
        for name, result in results.items():
            if isinstance(result, StoreError):
                return result
            fetched[name] = result.records
        return fetched

    def _next_head(self, records: tuple[Record, ...]) -> Head:
        head = apply_change(self._head, self._change)
        self._change = None
        head = expire_segments(head, self.now_s() - self._retention_s)
        return head._replace(records=head.records + records)

    def _adopt(self, version: int, head: Head, fetched: dict[str, tuple[Record, ...]]) -> None:
        sealed = {}
        for part in head.segments:
            known = self._sealed.get(part.name)
            sealed[part.name] = known if known is not None else SealedIndex(fetched[part.name])
        self._sealed = sealed
        self._recent = {record.digest: record for record in head.records}
        self._version = version
        self._head = head
        self._loaded = True

    def _note_failure(self, error: StoreError, seen: int) -> None:
        if error.kind is StoreErrorKind.OUTCOME_UNKNOWN:
            self._doubtful_version = seen
            self._loaded = False
        if error.kind is StoreErrorKind.CONFLICT:
            self._loaded = False


def _as_entry(record: Record, segment: str | None) -> Entry:
    return Entry(record.fingerprint, record.state, record.incarnation, record.answer, segment)
