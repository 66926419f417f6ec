"""Compares the packed map with a plain dictionary."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from bronzerudder.configuration.packed import BUCKET_BYTES, PackedMap

KEYS = st.integers(0, 40)
CHANGES = st.dictionaries(KEYS, st.one_of(st.none(), st.binary(max_size=2000)), max_size=30)


def empty_map():
    return PackedMap(tuple[int, bytes], lambda key: key * 7919)


class PackedMapTest(unittest.TestCase):
    @given(st.lists(CHANGES, max_size=6))
    def test_is_equal_to_a_dictionary_after_every_change_and_leaves_earlier_maps_alone(self, steps):
        versions = [(empty_map(), {})]
        for changes in steps:
            packed, plain = versions[-1]
            merged = {**plain, **changes}
            plain = {key: value for key, value in merged.items() if value is not None}
            versions.append((packed.updated(changes), plain))
        for packed, plain in versions:
            self.assertEqual(dict(packed.items()), plain)
            self.assertEqual(len(packed), len(plain))
            for key in range(41):
                self.assertEqual(packed.get(key), plain.get(key))

    def test_a_lookup_unpacks_a_bounded_part_of_a_large_map(self):
        packed = empty_map().updated(dict.fromkeys(range(5000), b"x" * 200))
        self.assertLess(max(packed._sizes), 4 * BUCKET_BYTES)
        with self.assertRaises(KeyError):
            packed[5000]


if __name__ == "__main__":
    unittest.main()
