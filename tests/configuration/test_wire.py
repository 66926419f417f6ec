"""Tests of the messages that carry updates between peers."""

from __future__ import annotations

import unittest

from bronzerudder.configuration import (
    EMPTY_SNAPSHOT,
    SharedConfiguration,
    apply_decisions,
)
from bronzerudder.configuration.compiler import compile_edits
from bronzerudder.configuration.wire import receive_update, split_update
from tests.configuration.rows import pool, pool_edit, route, route_edit


class UpdateTest(unittest.IsolatedAsyncioTestCase):
    def advance(self, shared, *edits):
        decisions = compile_edits(shared.snapshot, edits)
        revision, version = shared.revision + 1, edits[-1].version
        snapshot = apply_decisions(shared.snapshot, decisions, revision, version)
        shared.advance(snapshot, decisions)

    def make(self, changes):
        """Build a configuration at revision ``changes``."""
        shared = SharedConfiguration()
        self.advance(shared, pool_edit("p", 1, pool()))
        for number in range(changes - 1):
            self.advance(shared, route_edit(f"r{number}", number + 2, route(weight=number % 9 + 1)))
        return shared

    async def send(self, source, target, since):
        async def parts():
            for part in split_update(source.update_since(since)):
                yield part

        return await receive_update(target, parts())

    async def test_an_update_carries_only_what_differs(self):
        source, target = self.make(5), self.make(4)
        update = source.update_since(target.revision)
        self.assertEqual([decision.revision for decision in update.decisions], [5])
        self.assertTrue(await self.send(source, target, target.revision))
        self.assertEqual(dict(target.snapshot.rows.items()), dict(source.snapshot.rows.items()))
        self.assertIsNone(source.update_since(target.revision))

    async def test_a_revision_older_than_what_is_remembered_gets_everything(self):
        source, target = self.make(600), self.make(2)
        self.assertEqual(source.update_since(target.revision).base_revision, 0)
        self.assertTrue(await self.send(source, target, target.revision))
        self.assertEqual(dict(target.snapshot.rows.items()), dict(source.snapshot.rows.items()))

    async def test_an_older_configuration_is_never_put_in_force(self):
        source, target = self.make(3), self.make(4)
        for since in (0, 2):
            self.assertFalse(await self.send(source, target, since))
            self.assertEqual(target.revision, 4)

    async def test_an_update_that_starts_above_the_revision_in_force_changes_nothing(self):
        source, target = self.make(5), self.make(2)
        self.assertFalse(await self.send(source, target, 4))
        self.assertEqual(target.revision, 2)

    async def test_an_update_that_breaks_off_changes_nothing(self):
        source, target = self.make(5), SharedConfiguration()

        async def parts():
            for part in split_update(source.update_since(0)):
                part.last = False
                yield part

        self.assertFalse(await receive_update(target, parts()))
        self.assertIs(target.snapshot, EMPTY_SNAPSHOT)


if __name__ == "__main__":
    unittest.main()
