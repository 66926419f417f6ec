"""Stored form of claims: a head that is rewritten and segments that are not."""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec

from bronzerudder.claims.api import StoredAnswer

HEAD_KIND = "claims"
SEGMENT_KIND = "claims-segment"


class ClaimState(enum.IntEnum):
    """State of a key after a record."""

    CLAIMED = 1
    FINISHED = 2
    RELEASED = 3
    ABANDONED = 4


class Record(NamedTuple):
    """One change of a key's state; a later record of a key replaces an earlier one.

    ``time_s`` is the writer's clock, used for retention alone.
    """

    digest: bytes
    fingerprint: bytes
    state: ClaimState
    incarnation: int
    time_s: int
    answer: StoredAnswer | None = None


class SegmentReference(NamedTuple):
    """A sealed run of records; ``newest_s`` is the greatest time among them."""

    name: str
    newest_s: int
    size: int


class Head(NamedTuple):
    """The shard's only rewritten object.

    Parameters
    ----------
    base : int
        How many records have been sealed into segments.
    segments : tuple of SegmentReference
        Sealed records, oldest first.
    garbage : tuple of str
        Segments that are no longer part of the shard and wait for deletion.
    records : tuple of Record
        Records after the sealed ones, oldest first.
    """

    base: int
    segments: tuple[SegmentReference, ...]
    garbage: tuple[str, ...]
    records: tuple[Record, ...]


class Segment(NamedTuple):
    """Sealed records, the last one of each key; ``count`` is how many records they stand for."""

    count: int
    records: tuple[Record, ...]


EMPTY_HEAD = Head(0, (), (), ())


def compact(records: tuple[Record, ...]) -> tuple[Record, ...]:
    """Keep the last record of each key."""
    last: dict[bytes, Record] = {}
    for record in records:
        last.pop(record.digest, None)
        last[record.digest] = record
    return tuple(last.values())


def encode(value: Head | Segment) -> bytes:
    """Encode for the platform's store."""
    return msgspec.msgpack.encode(value)


def decode_head(data: bytes) -> Head | None:
    """Decode a head; None when the object is not one."""
    try:
        return msgspec.msgpack.decode(data, type=Head)
    except (msgspec.DecodeError, ValueError):
        return None


def decode_segment(data: bytes) -> Segment | None:
    """Decode a segment; None when the object is not one."""
    try:
        return msgspec.msgpack.decode(data, type=Segment)
    except (msgspec.DecodeError, ValueError):
        return None
