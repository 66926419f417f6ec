"""Tests of slot layouts, rank loads and skew."""

from __future__ import annotations

import unittest

import numpy as np
from hypothesis import given
from hypothesis import strategies as st

from bronzerudder.policy.placement import PlacementErrorKind, build_map, initial_map
from bronzerudder.policy.placement.layout import (
    build_next_map,
    count_replicas,
    keep_slots,
    layout_of_map,
    rank_loads,
    slots_to_load,
    step_skew,
)


def random_experts(seed, layers=2, ranks=3, width=3, experts=4):
    return np.random.default_rng(seed).integers(0, experts, (layers, ranks, width))


class LayoutTest(unittest.TestCase):
    def test_replicas_share_the_load_and_the_largest_rank_sets_the_step(self):
        experts = np.array([[[0, 1], [0, 2]]])
        loads = rank_loads(experts, np.array([[4.0, 1.0, 3.0]]))
        np.testing.assert_allclose(loads, [[3.0, 5.0]])
        self.assertAlmostEqual(step_skew(loads), 5 / 4)

    def test_layers_do_not_make_up_for_each_other(self):
        self.assertAlmostEqual(step_skew(np.array([[3.0, 1.0], [1.0, 3.0]])), 1.5)

    def test_the_initial_map_repeats_no_expert_on_a_rank(self):
        for shape in ((16, 5, 64), (256, 1, 64), (256, 2, 64), (256, 4, 64), (15, 5, 64)):
            with self.subTest(shape=shape):
                ranks, width, experts = shape
                layout = layout_of_map(initial_map(ranks, width, experts, 2))
                for held in layout.experts.reshape(-1, width):
                    self.assertEqual(len(set(held)), width)

    def test_too_few_slots_are_refused(self):
        self.assertEqual(initial_map(4, 2, 9, 1).kind, PlacementErrorKind.INCOMPLETE)

    def test_uneven_ranks_are_refused(self):
        uneven = build_map(0, 2, np.array([[0, 1, 0]]), np.array([0, 0, 1]))
        self.assertEqual(layout_of_map(uneven).kind, PlacementErrorKind.SHAPE)

    def test_a_layout_goes_back_into_a_map_with_mixed_slots(self):
        active = build_map(6, 3, np.array([[0, 1, 2, 0]]), np.array([1, 0, 1, 0]))
        layout = layout_of_map(active)
        np.testing.assert_array_equal(layout.experts, [[[1, 0], [0, 2]]])
        following = build_next_map(active, layout, layout.experts)
        np.testing.assert_array_equal(following.experts, active.experts)
        self.assertEqual(following.version, 7)

    def test_an_expert_held_anywhere_on_the_rank_is_not_loaded(self):
        active = np.array([[[0, 1], [2, 3]]])
        proposed = np.array([[[1, 0], [1, 1]]])
        expected = [[[False, False], [True, False]]]
        np.testing.assert_array_equal(slots_to_load(active, proposed), expected)

    @given(st.integers(0, 10_000))
    def test_keeping_slots_changes_no_rank(self, seed):
        active, proposed = random_experts(seed), random_experts(seed + 1)
        kept = keep_slots(active, proposed)
        np.testing.assert_array_equal(np.sort(kept, axis=2), np.sort(proposed, axis=2))
        for layer, rank in np.ndindex(2, 3):
            before, after = active[layer, rank], kept[layer, rank]
            for expert in range(4):
                common = min((before == expert).sum(), (after == expert).sum())
                stayed = ((before == expert) & (after == expert)).sum()
                self.assertEqual(stayed, common)

    @given(st.integers(0, 10_000))
    def test_every_slot_is_counted(self, seed):
        experts = random_experts(seed)
        counts = count_replicas(experts, 4)
        for layer in range(2):
            np.testing.assert_array_equal(
                counts[layer], np.bincount(experts[layer].ravel(), None, 4)
            )


if __name__ == "__main__":
    unittest.main()
