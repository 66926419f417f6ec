"""Tests of the search for expert moves that shorten steps."""

from __future__ import annotations

import unittest

import numpy as np

from bronzerudder.expert_maps.planner import relative_slowdowns, slice_loads
from bronzerudder.expert_maps.scenarios import Scenario, pack_levels
from bronzerudder.expert_maps.search import LayoutSearch
from bronzerudder.expert_maps.shape import MapBounds
from bronzerudder.expert_maps.step_loads import layout_skew, rank_loads

RANKS = 16
EXPERTS = 64
BOUNDS = MapBounds(5, 2)
LARGE_RANKS = 72
LARGE_EXPERTS = 144
CHANGES = 4
TARGET_SKEW = 1.3
"""Goal within 4 s of a shift of demand, in which a leader can make about four changes."""
EVEN = np.ones(RANKS)


def first_layout():
    return [
        [expert for expert in range(EXPERTS) if expert % RANKS == rank] for rank in range(RANKS)
    ]


def make_scenarios(seed, topics=9, count=60):
    generator = np.random.default_rng(seed)
    shares = generator.pareto(1.1, (topics, EXPERTS)) + 0.05
    chosen = shares[generator.integers(topics, size=count)]
    return chosen * generator.uniform(100, 1000, (count, 1))


def improve_set(ranks, scenarios, slowdowns, bounds):
    """Improve the placement of a single set, within the loads of one change."""
    search = LayoutSearch([ranks], scenarios[None], slowdowns, bounds.slots_per_rank)
    search.improve(bounds.loads_per_change)
    return search.layout()[0]


def largest(ranks, scenarios, slowdowns):
    """Return the largest rank's load, summed over scenarios."""
    return rank_loads([ranks], scenarios[None], slowdowns).max(axis=2).sum()


class SearchTest(unittest.TestCase):
    def test_steps_become_much_shorter_within_the_bounds(self):
        for seed in range(5):
            scenarios = make_scenarios(seed)
            before = first_layout()
            after = improve_set(before, scenarios, EVEN, BOUNDS)
            gain = largest(after, scenarios, EVEN) / largest(before, scenarios, EVEN)
            self.assertLess(gain, 0.75, seed)
            for held, old in zip(after, before, strict=True):
                self.assertLessEqual(len(held), BOUNDS.slots_per_rank)
                self.assertLessEqual(len(set(held) - set(old)), BOUNDS.loads_per_change)
                self.assertEqual(len(held), len(set(held)))
            self.assertEqual({expert for held in after for expert in held}, set(range(EXPERTS)))

    def test_an_even_set_is_left_alone(self):
        scenarios = np.ones((20, EXPERTS))
        self.assertEqual(improve_set(first_layout(), scenarios, EVEN, BOUNDS), first_layout())

    def test_a_slow_rank_loses_load(self):
        scenarios = make_scenarios(1)
        slowdowns = relative_slowdowns([1.0] * (RANKS - 1) + [8.0])
        after = improve_set(first_layout(), scenarios, slowdowns, BOUNDS)
        plain = improve_set(first_layout(), scenarios, EVEN, BOUNDS)
        slow = largest(after, scenarios, slowdowns)
        self.assertLess(slow, 0.6 * largest(plain, scenarios, slowdowns))

    def test_slices_add_up_and_are_split_by_set(self):
        one = Scenario(30, pack_levels([0, 1, 4, 25]))
        other = Scenario(60, pack_levels([0, 0, 0, 9]))
        table = slice_loads([[one, other], [one]], 2)
        self.assertEqual(table.shape, (2, 2, 2))
        self.assertEqual(table[:, 1].round().tolist(), [[0, 1], [4, 25]])
        self.assertEqual(table[:, 0].round().tolist(), [[0, 1], [4, 85]])

    def test_a_large_group_is_evened_out_by_what_it_chose_in_a_second(self):
        skews = []
        for seed in range(8):
            generator = np.random.default_rng(seed)
            shares = generator.lognormal(0.0, 0.45, LARGE_EXPERTS)
            scenarios = shares * generator.uniform(0.85, 1.15, (6, LARGE_EXPERTS))
            layout = [[rank, rank + LARGE_RANKS] for rank in range(LARGE_RANKS)]
            even = np.ones(LARGE_RANKS)
            for _ in range(CHANGES):
                layout = improve_set(layout, scenarios, even, MapBounds(3, 2))
            skews.append(layout_skew([layout], scenarios[None], even))
        self.assertLess(sum(skews) / len(skews), TARGET_SKEW)

    def test_sets_searched_together_end_as_those_searched_alone(self):
        tables = np.stack([make_scenarios(seed, count=6) for seed in range(4)])
        tables[2] = 1.0
        search = LayoutSearch([first_layout()] * 4, tables, EVEN, BOUNDS.slots_per_rank)
        search.improve(BOUNDS.loads_per_change)
        for scenarios, found in zip(tables, search.layout(), strict=True):
            self.assertEqual(found, improve_set(first_layout(), scenarios, EVEN, BOUNDS))

    def test_a_set_without_demand_is_left_alone(self):
        tables = np.zeros((1, 3, EXPERTS))
        self.assertEqual(improve_set(first_layout(), tables[0], EVEN, BOUNDS), first_layout())

    def test_loads_are_counted_from_the_initial_layout(self):
        search = LayoutSearch([first_layout()], make_scenarios(2)[None], EVEN, 5)
        for loads_per_change in (1, 2):
            search.improve(loads_per_change)
            loads = search.loads()
            self.assertEqual(loads.max(), loads_per_change)
            held = zip(search.layout()[0], first_layout(), strict=True)
            self.assertEqual(loads[0].tolist(), [len(set(new) - set(old)) for new, old in held])

    def test_skew_of_an_even_layout_is_one(self):
        layout = [first_layout()]
        self.assertAlmostEqual(layout_skew(layout, np.ones((1, 3, EXPERTS)), EVEN), 1.0)


if __name__ == "__main__":
    unittest.main()
