"""Tests of accepting and refusing edits."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from bronzerudder.configuration import EMPTY_SNAPSHOT, RowKey, apply_decisions
from bronzerudder.configuration.compiler import compile_edits
from bronzerudder.tables import POOL_KIND, ROUTE_KIND
from tests.configuration.rows import pool, pool_edit, route, route_edit

EDITS = st.lists(
    st.one_of(
        st.tuples(
            st.just(pool_edit), st.sampled_from("pq"), st.sampled_from([pool(), b"{}", None])
        ),
        st.tuples(
            st.just(route_edit),
            st.sampled_from("rs"),
            st.sampled_from([route("p"), route("q"), route("absent"), b"not", None]),
        ),
    ),
    max_size=12,
)


def compiled(snapshot, *edits):
    decisions = compile_edits(snapshot, edits)
    version = max((edit.version for edit in edits), default=snapshot.rows_version)
    return apply_decisions(snapshot, decisions, snapshot.revision + 1, version)


class CompileEditsTest(unittest.TestCase):
    def test_a_route_and_its_pool_may_come_in_either_order(self):
        snapshot = compiled(EMPTY_SNAPSHOT, route_edit("r", 1, route()))
        refusal = snapshot.refused[RowKey(ROUTE_KIND, "r")]
        self.assertEqual(refusal.reason, "$.pool: there is no pool p")
        snapshot = compiled(snapshot, pool_edit("p", 2, pool()))
        self.assertEqual(snapshot.match("any", "/x", "m").route_name, "r")
        self.assertEqual(snapshot.refused, {})

    def test_a_refused_edit_leaves_the_last_accepted_row_and_other_rows_alone(self):
        snapshot = compiled(EMPTY_SNAPSHOT, pool_edit("p", 1, pool()), route_edit("r", 2, route()))
        bad = route_edit("r", 3, route(weight=0))
        snapshot = compiled(snapshot, bad, route_edit("s", 4, route(workspaces=["w"])))
        self.assertEqual(snapshot.rows[RowKey(ROUTE_KIND, "r")].version, 2)
        self.assertIn("$.weight", snapshot.refused[RowKey(ROUTE_KIND, "r")].reason)
        self.assertEqual(snapshot.match("w", "/", "m").route_name, "s")

    def test_a_pool_in_use_is_deleted_only_after_its_routes(self):
        snapshot = compiled(EMPTY_SNAPSHOT, pool_edit("p", 1, pool()), route_edit("r", 2, route()))
        snapshot = compiled(snapshot, pool_edit("p", 3, None))
        self.assertIn(RowKey(POOL_KIND, "p"), snapshot.rows)
        self.assertIn("used by 1 of the routes: r", snapshot.refused[RowKey(POOL_KIND, "p")].reason)
        snapshot = compiled(snapshot, route_edit("r", 4, None))
        self.assertEqual((len(snapshot.rows), snapshot.refused), (0, {}))

    def test_a_rank_outside_its_group_is_refused(self):
        row = pool("a").replace(b'"fd1"', b'"fd1", "rank": 2')
        group = {"ranks": 2, "experts": 4, "layers": 1, "skew_weight": 1, "rebalancing_weight": 0}
        refused = compile_edits(EMPTY_SNAPSHOT, [pool_edit("p", 1, row)])
        self.assertIn("needs the pool to have a group", refused[0].reason)
        row = row[:-1] + b', "group": ' + str(group).replace("'", '"').encode() + b"}"
        refused = compile_edits(EMPTY_SNAPSHOT, [pool_edit("p", 1, row)])
        self.assertIn("only 2 ranks", refused[0].reason)

    @given(EDITS, st.integers(0, 12), st.randoms(use_true_random=False))
    def test_decisions_depend_on_the_edits_only_and_every_route_in_force_has_its_pool(
        self, drawn, split, shuffler
    ):
        edits = [make(name, index + 1, value) for index, (make, name, value) in enumerate(drawn)]
        snapshot = compiled(EMPTY_SNAPSHOT, *edits[:split])
        shuffled = edits[split:]
        shuffler.shuffle(shuffled)
        decisions = compile_edits(snapshot, edits[split:])
        self.assertEqual(compile_edits(snapshot, shuffled), decisions)
        snapshot = compiled(snapshot, *edits[split:])
        for key, _ in snapshot.rows.items():
            if key.kind == ROUTE_KIND:
                self.assertIsNotNone(snapshot.match("w", "/", "m"))
        latest = {edit.key: edit for edit in edits}
        for key, row in snapshot.rows.items():
            if key not in snapshot.refused:
                self.assertEqual((row.version, row.value), latest[key][1:])


if __name__ == "__main__":
    unittest.main()
