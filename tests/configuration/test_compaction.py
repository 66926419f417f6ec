"""Tests of compaction, and of compactions that race with each other or with recorders."""

from __future__ import annotations

import unittest

from bronzerudder.configuration import EMPTY_SNAPSHOT, SharedConfiguration, apply_decisions
from bronzerudder.configuration.compaction import compact
from bronzerudder.configuration.compiler import compile_edits
from bronzerudder.configuration.documents import LOG_KIND, MANIFEST_KIND, PART_KIND
from bronzerudder.configuration.errors import ConfigurationErrorKind
from bronzerudder.configuration.history import read_decisions
from bronzerudder.configuration.repository import ConfigurationRepository
from tests.configuration.rows import pool, pool_edit
from tests.platform.serving import serve_platform


class CompactionTest(unittest.IsolatedAsyncioTestCase):
    async def record(self, repository, root, snapshot, *edits):
        decisions = compile_edits(snapshot, edits)
        recorded = await repository.record(root, decisions, edits[-1].version)
        return recorded, apply_decisions(
            snapshot, decisions, snapshot.revision + 1, edits[-1].version
        )

    async def start(self, platform):
        repository = ConfigurationRepository(platform.store, "one")
        root = await repository.read_root()
        root, snapshot = await self.record(
            repository, root, EMPTY_SNAPSHOT, pool_edit("p", 1, pool())
        )
        return repository, root, snapshot

    async def test_a_revision_recorded_meanwhile_stays_in_the_root(self):
        async with serve_platform() as platform:
            repository, root, snapshot = await self.start(platform)
            later = await self.record(repository, root, snapshot, pool_edit("q", 2, pool("a")))
            compacted = await compact(repository, root, snapshot)
            self.assertEqual(compacted.document["base_revision"], 1)
            shared = SharedConfiguration()
            self.assertIsNone(await repository.load(compacted, shared))
            self.assertEqual(dict(shared.snapshot.rows.items()), dict(later[1].rows.items()))
            decisions = await read_decisions(
                repository, compacted.document, pool_edit("p", 1, None).key
            )
            self.assertEqual([decision.revision for decision in decisions], [1])

    async def test_the_loser_of_two_compactions_leaves_nothing_behind(self):
        async with serve_platform() as platform:
            repository, root, snapshot = await self.start(platform)
            later_root, later = await self.record(
                repository, root, snapshot, pool_edit("q", 2, pool("a"))
            )
            winner = await compact(repository, later_root, later)
            loser = await compact(repository, root, snapshot)
            self.assertEqual(loser.kind, ConfigurationErrorKind.SUPERSEDED)
            manifest = await repository.read_manifest(winner.document)
            for kind, references in (
                (PART_KIND, manifest["parts"]),
                (LOG_KIND, manifest["logs"]),
                (MANIFEST_KIND, [winner.document["manifest"]]),
            ):
                stored = platform.app.objects.list(kind).objects
                self.assertEqual({one.name for one in stored}, {one["name"] for one in references})

    async def test_a_second_compaction_replaces_the_pieces_of_the_first(self):
        async with serve_platform() as platform:
            repository, root, snapshot = await self.start(platform)
            root = await compact(repository, root, snapshot)
            root, snapshot = await self.record(
                repository, root, snapshot, pool_edit("q", 2, pool("a"))
            )
            root = await compact(repository, root, snapshot)
            self.assertEqual(len(platform.app.objects.list(PART_KIND).objects), 1)
            self.assertEqual(len(platform.app.objects.list(LOG_KIND).objects), 2)
            shared = SharedConfiguration()
            self.assertIsNone(await repository.load(root, shared))
            self.assertEqual(dict(shared.snapshot.rows.items()), dict(snapshot.rows.items()))

    async def test_a_lost_answer_to_the_new_root_is_settled(self):
        async with serve_platform() as platform:
            repository, root, snapshot = await self.start(platform)
            platform.app.faults.set("test", {"lost_share": 1.0})
            compacted = await compact(repository, root, snapshot)
            self.assertEqual(compacted.document["base_revision"], 1)


if __name__ == "__main__":
    unittest.main()
