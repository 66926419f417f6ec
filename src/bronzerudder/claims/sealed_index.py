"""Keys of one sealed segment, packed, as most of an agent's memory of claims is here."""

from __future__ import annotations

import struct

from bronzerudder.claims.keys import DIGEST_BYTES, FINGERPRINT_BYTES
from bronzerudder.claims.records import ClaimState, Record

_PACKED = struct.Struct(f">{FINGERPRINT_BYTES}sBQ")


class SealedIndex:
    """Finds the record of a key without its answer and time.

    The records stand one after the other in the order of their digests, so that a key costs its
    own bytes and no objects.

    Parameters
    ----------
    records : tuple of Record
        Content of the segment; each key occurs once.
    """

    def __init__(self, records: tuple[Record, ...]) -> None:
        ordered = sorted(records, key=lambda record: record.digest)
        self._digests = b"".join(record.digest for record in ordered)
        self._packed = b"".join(
            _PACKED.pack(record.fingerprint, record.state, record.incarnation) for record in ordered
        )

    def get(self, digest: bytes) -> Record | None:
        """Find a key."""
        low, high = 0, len(self._digests) // DIGEST_BYTES
        while low < high:
            middle = (low + high) // 2
            found = self._digests[middle * DIGEST_BYTES : (middle + 1) * DIGEST_BYTES]
            if found == digest:
                return self._unpack(digest, middle)
            if found < digest:
                low = middle + 1
            else:
                high = middle
        return None

    def _unpack(self, digest: bytes, place: int) -> Record:
        fingerprint, state, incarnation = _PACKED.unpack_from(self._packed, place * _PACKED.size)
        return Record(digest, fingerprint, ClaimState(state), incarnation, 0)
