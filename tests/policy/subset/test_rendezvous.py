"""Tests of subsets: spread over failure domains, balance, and stability when members change."""

from __future__ import annotations

import collections
import unittest

from hypothesis import given
from hypothesis import strategies as st

from bronzerudder.policy.subset import Member, RendezvousSubset, SampleSubset

ENTRIES = 430


def make_members(count: int) -> list[Member]:
    return [Member(f"b-{index}", f"d-{index % 6}") for index in range(count)]


class TestRendezvousSubset(unittest.TestCase):
    def test_small_pool_is_used_whole(self):
        members = make_members(12)
        self.assertEqual(tuple(sorted(members)), RendezvousSubset(15).select("e", members))

    @given(st.integers(1, 40), st.permutations(make_members(40)))
    def test_order_of_members_does_not_matter(self, size, members):
        subset = RendezvousSubset(size)
        chosen = subset.select("e", members)
        self.assertEqual(subset.select("e", sorted(members)), chosen)
        self.assertEqual(size, len(set(chosen)))

    def test_failure_domains_are_spread(self):
        chosen = RendezvousSubset(15).select("e", make_members(90))
        counts = collections.Counter(member.failure_domain for member in chosen)
        self.assertEqual(6, len(counts))
        self.assertLessEqual(max(counts.values()) - min(counts.values()), 1)

    def test_replacing_a_member_changes_at_most_one_choice(self):
        members = make_members(90)
        replaced = [*members[1:], Member("b-new", members[0].failure_domain)]
        changed = {"ours": 0, "sample": 0}
        for index in range(ENTRIES):
            entry = f"e-{index}"
            for name, policy in (("ours", RendezvousSubset(15)), ("sample", SampleSubset(15))):
                before = set(policy.select(entry, members))
                lost = len(before - set(policy.select(entry, replaced)))
                changed[name] += lost
                if name == "ours":
                    self.assertLessEqual(lost, 1)
        self.assertLess(changed["ours"], changed["sample"])

    def test_every_member_is_reached(self):
        members = [Member(f"b-{index}", f"d-{index % 18}") for index in range(90)]
        counts = collections.Counter()
        for index in range(ENTRIES):
            counts.update(RendezvousSubset(15).select(f"e-{index}", members))
        self.assertEqual(set(members), set(counts))
        mean = ENTRIES * 15 / len(members)
        self.assertLess(max(counts.values()), 2 * mean)
        self.assertGreater(min(counts.values()), mean / 2)
