"""Tests of the assignment of keys to shards and of shards to agents."""

from __future__ import annotations

import collections
import unittest

from hypothesis import given
from hypothesis import strategies as st

from bronzerudder.claims import (
    SHARDS_PER_POOL,
    key_digest,
    make_claim_key,
    preferred_agents,
    shard_of,
)

NAMES = st.sets(st.text(min_size=1, max_size=8), max_size=12)


class ShardsTest(unittest.TestCase):
    @given(NAMES, st.randoms())
    def test_shards_are_spread_evenly_and_independently_of_order(self, names, generator):
        shuffled = list(names)
        generator.shuffle(shuffled)
        chosen = preferred_agents("p", shuffled)
        self.assertEqual(chosen, preferred_agents("p", sorted(names)))
        self.assertEqual(len(chosen), SHARDS_PER_POOL if names else 0)
        if names:
            limit = -(-SHARDS_PER_POOL // len(names))
            self.assertLessEqual(max(collections.Counter(chosen).values()), limit)

    def test_keys_spread_over_all_shards(self):
        counts = collections.Counter(shard_of(key_digest("w", str(n))) for n in range(3000))
        self.assertEqual(sorted(counts), list(range(SHARDS_PER_POOL)))
        self.assertGreater(min(counts.values()), 3000 / SHARDS_PER_POOL * 0.8)

    def test_workspaces_do_not_share_keys_and_fields_do_not_run_together(self):
        self.assertNotEqual(key_digest("ab", "c"), key_digest("a", "bc"))
        first = make_claim_key("w", "k", "POST", "/a", b"b")
        second = make_claim_key("w", "k", "POST", "/", b"ab")
        self.assertEqual(first.digest, second.digest)
        self.assertNotEqual(first.fingerprint, second.fingerprint)


if __name__ == "__main__":
    unittest.main()
