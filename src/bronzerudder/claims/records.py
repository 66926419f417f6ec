"""Stored form of claims: one mutable head for each shard, and immutable segments."""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec

from bronzerudder.claims.api import StoredAnswer

HEAD_KIND = "claims"
SEGMENT_KIND = "claims-segment"


class ClaimState(enum.IntEnum):
    """State of a key that a record sets; a record of any but ``CLAIMED`` is a terminal record."""

    CLAIMED = 1
    FINISHED = 2
    RELEASED = 3
    ABANDONED = 4


class Record(NamedTuple):
    """One change of a key's state; a later record of a key replaces an earlier one.

    ``time_s`` is the writer's clock in Unix seconds, used only for retention.
    """

    digest: bytes
    fingerprint: bytes
    state: ClaimState
    incarnation: int
    time_s: int
    answer: StoredAnswer | None = None


class SegmentReference(NamedTuple):
    """Reference to a segment; ``newest_s`` is the latest time among its records."""

    name: str
    newest_s: int
    size: int


class Head(NamedTuple):
    """A shard's mutable object, changed only by conditional updates.

    Parameters
    ----------
    base : int
        Number of records sealed into segments so far.
    segments : tuple of SegmentReference
        Sealed records, oldest first.
    garbage : tuple of str
        Names of segments that are no longer referenced and have yet to be deleted.
    records : tuple of Record
        Records not yet sealed, oldest first.
    """

    base: int
    segments: tuple[SegmentReference, ...]
    garbage: tuple[str, ...]
    records: tuple[Record, ...]


class Segment(NamedTuple):
    """Sealed records, the last of each key; ``count`` is their number before compaction."""

    count: int
    records: tuple[Record, ...]


EMPTY_HEAD = Head(0, (), (), ())


def compact(records: tuple[Record, ...]) -> tuple[Record, ...]:
    """Return the last record of each key."""
    last: dict[bytes, Record] = {}
    for record in records:
        last.pop(record.digest, None)
        last[record.digest] = record
    return tuple(last.values())


def encode(value: Head | Segment) -> bytes:
    """Encode for the platform's store."""
    return msgspec.msgpack.encode(value)


def decode_head(data: bytes) -> Head | None:
    """Decode a head; None when the data is malformed."""
    try:
        return msgspec.msgpack.decode(data, type=Head)
    except (msgspec.DecodeError, ValueError):
        return None


def decode_segment(data: bytes) -> Segment | None:
    """Decode a segment; None when the data is malformed."""
    try:
        return msgspec.msgpack.decode(data, type=Segment)
    except (msgspec.DecodeError, ValueError):
        return None
