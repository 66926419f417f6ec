"""Tests of the packed index of a sealed segment."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from bronzerudder.claims.keys import DIGEST_BYTES, FINGERPRINT_BYTES
from bronzerudder.claims.records import ClaimState, Record
from bronzerudder.claims.sealed_index import SealedIndex

DIGESTS = st.binary(min_size=DIGEST_BYTES, max_size=DIGEST_BYTES)
RECORDS = st.builds(
    Record,
    DIGESTS,
    st.binary(min_size=FINGERPRINT_BYTES, max_size=FINGERPRINT_BYTES),
    st.sampled_from(ClaimState),
    st.integers(0, 2**64 - 1),
    st.just(0),
    st.none(),
)


class SealedIndexTest(unittest.TestCase):
    @given(st.lists(RECORDS, unique_by=lambda record: record.digest), DIGESTS)
    def test_finds_exactly_the_keys_it_was_made_of(self, records, other):
        index = SealedIndex(tuple(records))
        for record in records:
            self.assertEqual(index.get(record.digest), record)
        if other not in {record.digest for record in records}:
            self.assertIsNone(index.get(other))


if __name__ == "__main__":
    unittest.main()
