"""Tests of the expert map's validation and encoding."""

from __future__ import annotations

import unittest

import msgspec
import numpy as np
from hypothesis import given
from hypothesis import strategies as st

from bronzerudder.policy.placement import (
    ExpertMap,
    PlacementError,
    PlacementErrorKind,
    build_map,
    decode_map,
    digest_map,
    encode_map,
    same_placement,
)


def small_map(version=3):
    experts = np.array([[0, 1, 2, 0], [2, 1, 0, 1]])
    return build_map(version, 3, experts, np.array([0, 0, 1, 1]))


class ExpertMapTest(unittest.TestCase):
    def test_a_map_survives_its_encoding(self):
        decoded = decode_map(encode_map(small_map()))
        self.assertTrue(same_placement(decoded, small_map()))
        self.assertEqual((decoded.version, decoded.layer_count, decoded.rank_count), (3, 2, 2))

    def test_the_digest_covers_the_version(self):
        self.assertNotEqual(digest_map(small_map(3)), digest_map(small_map(4)))
        self.assertTrue(same_placement(small_map(3), small_map(4)))

    def test_a_decoded_map_is_read_only(self):
        with self.assertRaises(ValueError):
            decode_map(encode_map(small_map())).experts[0, 0] = 1

    def test_an_expert_without_a_slot_is_refused(self):
        error = build_map(0, 4, np.array([[0, 1, 2, 0]]), np.array([0, 0, 1, 1]))
        self.assertEqual(error.kind, PlacementErrorKind.INCOMPLETE)
        self.assertIn("expert 3 of layer 0", error.reason)

    def test_many_experts_in_few_slots_are_refused_without_a_large_table(self):
        error = build_map(0, 65_535, np.zeros((1, 2), dtype=int), np.array([0, 1]))
        self.assertEqual(error.kind, PlacementErrorKind.INCOMPLETE)
        self.assertIn("2 slots", error.reason)

    def test_arrays_that_do_not_belong_together_are_refused(self):
        error = build_map(0, 2, np.array([[0, 1, 1]]), np.array([0, 1]))
        self.assertEqual(error.kind, PlacementErrorKind.SHAPE)

    @given(st.binary(max_size=80))
    def test_any_bytes_give_a_map_or_an_error(self, data):
        self.assertIsInstance(decode_map(data), ExpertMap | PlacementError)

    @given(
        st.tuples(
            st.integers(-2, 2**63),
            st.integers(-2, 2**63),
            st.integers(-2, 2**63),
            st.binary(max_size=12),
            st.binary(max_size=12),
        )
    )
    def test_any_fields_give_a_map_or_an_error(self, fields):
        self.assertIsInstance(
            decode_map(msgspec.msgpack.encode(fields)), ExpertMap | PlacementError
        )


if __name__ == "__main__":
    unittest.main()
