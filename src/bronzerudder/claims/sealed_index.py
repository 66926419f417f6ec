"""Packed in-memory index of one sealed segment.

Sealed keys make up most of an agent's memory for claims.
"""

from __future__ import annotations

import struct

from bronzerudder.claims.keys import DIGEST_BYTES, FINGERPRINT_BYTES
from bronzerudder.claims.records import ClaimState, Record

_PACKED = struct.Struct(f">{FINGERPRINT_BYTES}sBQ")


class SealedIndex:
    """Finds the record of a key, without its answer and time, by binary search.

    Records are packed into byte strings, sorted by digest, so that a key costs no Python objects.

    Parameters
    ----------
    records : tuple of Record
        Records of the segment; each key occurs once.
    """

    def __init__(self, records: tuple[Record, ...]) -> None:
        ordered = sorted(records, key=lambda record: record.digest)
        self._digests = b"".join(record.digest for record in ordered)
        self._packed = b"".join(
            _PACKED.pack(record.fingerprint, record.state, record.incarnation) for record in ordered
        )

    def get(self, digest: bytes) -> Record | None:
        """Return the record of a key, or None."""
        low, high = 0, len(self._digests) // DIGEST_BYTES
        while low < high:
            middle = (low + high) // 2
            middle_digest = self._digests[middle * DIGEST_BYTES : (middle + 1) * DIGEST_BYTES]
            if middle_digest == digest:
                return self._unpack(digest, middle)
            if middle_digest < digest:
                low = middle + 1
            else:
                high = middle
        return None

    def _unpack(self, digest: bytes, position: int) -> Record:
        fingerprint, state, incarnation = _PACKED.unpack_from(self._packed, position * _PACKED.size)
        return Record(digest, fingerprint, ClaimState(state), incarnation, 0)
