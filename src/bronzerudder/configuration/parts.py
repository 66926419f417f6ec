"""Encodes a snapshot as parts, each below the platform's limit on the size of an object."""

from __future__ import annotations

import collections

import xxhash

from bronzerudder.configuration.documents import encode_decisions
from bronzerudder.configuration.rows import Decision, Edit, RowKey, hash_row
from bronzerudder.configuration.snapshot import Snapshot

PART_TARGET_BYTES = 64_000
PART_MAX_BYTES = 900_000


def encode_parts(snapshot: Snapshot) -> list[bytes]:
    """Encode the rows and refusals of a snapshot as parts; the result is deterministic.

    A row's part depends on its key and the number of parts only, so that an edit changes one part
    as long as that number stays the same.
    """
    size = sum(len(row.value) + len(key.name) for key, row in snapshot.rows.items())
    count = 1
    while count * PART_TARGET_BYTES < size:
        count *= 2
    while True:
        parts = _encode_buckets(snapshot, count)
        if all(len(part) <= PART_MAX_BYTES for part in parts):
            return parts
        count *= 2


def content_address(data: bytes) -> str:
    """Return the content address of a part."""
    return xxhash.xxh3_128_hexdigest(data)


def _encode_buckets(snapshot: Snapshot, count: int) -> list[bytes]:
    buckets: dict[int, list[Decision]] = collections.defaultdict(list)
    for key, row in snapshot.rows.items():
        decision = Decision(row.revision, Edit(key, row.version, row.value))
        buckets[hash_row(key) % count].append(decision)
    for key, decision in snapshot.refused.items():
        buckets[hash_row(key) % count].append(decision)
    parts = []
    for number in range(count):
        parts.append(encode_decisions(sorted(buckets.pop(number, ()), key=_sort_key)))
    return parts


def _sort_key(decision: Decision) -> tuple[RowKey, bool]:
    return decision.edit.key, bool(decision.reason)
