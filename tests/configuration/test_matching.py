"""Tests of selecting the route of a request."""

from __future__ import annotations

import unittest

from bronzerudder.configuration import EMPTY_SNAPSHOT, apply_decisions
from bronzerudder.configuration.compiler import compile_edits
from tests.configuration.rows import pool, pool_edit, route, route_edit


def snapshot_of(**routes):
    edits = [pool_edit("p", 1, pool())]
    for version, (name, value) in enumerate(routes.items(), start=2):
        edits.append(route_edit(name, version, value))
    return apply_decisions(EMPTY_SNAPSHOT, compile_edits(EMPTY_SNAPSHOT, edits), 1, 9)


class MatchTest(unittest.TestCase):
    def found(self, snapshot, *request):
        match = snapshot.match(*request)
        return match and match.route_name

    def test_the_workspace_goes_before_the_path_and_the_path_before_the_model(self):
        snapshot = snapshot_of(
            everyone=route(paths=["/v1/chat"]),
            short=route(workspaces=["w"], paths=["/"], models=["m"]),
            long=route(workspaces=["w"], paths=["/v1"]),
            named=route(workspaces=["w"], paths=["/v1"], models=["m", "n"]),
        )
        self.assertEqual(self.found(snapshot, "w", "/v1/chat", "m"), "named")
        self.assertEqual(self.found(snapshot, "w", "/v1/chat", "x"), "long")
        self.assertEqual(self.found(snapshot, "w", "/other", "m"), "short")
        self.assertEqual(self.found(snapshot, "v", "/v1/chat", "x"), "everyone")
        self.assertIsNone(self.found(snapshot, "v", "/other", "x"))

    def test_a_workspace_falls_back_to_everyone_where_its_own_routes_do_not_fit(self):
        snapshot = snapshot_of(
            everyone=route(), own=route(workspaces=["w"], paths=["/only"], models=["m"])
        )
        self.assertEqual(self.found(snapshot, "w", "/x", "m"), "everyone")

    def test_an_edit_moves_a_route_from_one_workspace_to_another(self):
        snapshot = snapshot_of(r=route(workspaces=["w", "v"]))
        edit = route_edit("r", 20, route(workspaces=["u", "v"]))
        snapshot = apply_decisions(snapshot, compile_edits(snapshot, [edit]), 2, 20)
        found = [self.found(snapshot, name, "/", "m") for name in ("w", "v", "u")]
        self.assertEqual(found, [None, "r", "r"])


if __name__ == "__main__":
    unittest.main()
