"""Tests of the rank agents of a group as processes."""

from __future__ import annotations

import pathlib
import random
import tempfile
import unittest

import anyio

from bench.harness.fleet import Fleet, FleetShape, read_text

TIMEOUT_S = 25.0
RANKS = 4
"""Enough ranks for maps to be relayed through other agents."""


class RankAgentProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        directory = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.fleet = Fleet(directory, FleetShape(gateways=0, ranks=RANKS), random.Random(1))
        self.addAsyncCleanup(self.fleet.close)
        self.fleet.serve_stand_ins()
        self.settings = [
            self.fleet.agent_settings(number, self.fleet.store_address)
            for number in range(len(self.fleet.ranks))
        ]
        self.agents = [self.start(number) for number in range(len(self.fleet.ranks))]

    def start(self, number):
        return self.fleet.start_process("rank-agent", f"agent-{number}", self.settings[number])

    def versions(self):
        return {rank.map.version for rank in self.fleet.group.ranks}

    async def wait_for_map_above(self, version):
        with anyio.fail_after(TIMEOUT_S):
            while min(self.versions()) <= version:
                await anyio.sleep(0.05)

    async def metrics(self, number):
        return await read_text(self.settings[number]["metrics_address"], b"/metrics")

    async def test_the_map_changes_and_every_agent_serves_its_metrics(self):
        await self.wait_for_map_above(0)
        await anyio.sleep(1.0)
        pages = [await self.metrics(number) for number in range(len(self.agents))]
        self.assertEqual([status for status, _ in pages], [200] * RANKS)
        leading = [page for _, page in pages if "bronzerudder_group_leading 1.0" in page]
        self.assertEqual(len(leading), 1)
        self.assertIn('bronzerudder_map_changes_total{result="changed"}', leading[0])
        for _, page in pages:
            self.assertIn('bronzerudder_posts_total{result="delivered"}', page)
            self.assertNotIn("bronzerudder_map_version 0.0", page)
        self.assertEqual(self.fleet.group.mixed_steps, [])

    async def test_another_agent_leads_once_the_leader_is_killed(self):
        await self.wait_for_map_above(0)
        before = max(self.versions())
        pages = [await self.metrics(number) for number in range(len(self.agents))]
        leader = next(
            number
            for number, (_, page) in enumerate(pages)
            if "bronzerudder_group_leading 1.0" in page
        )
        self.agents[leader].kill()
        with anyio.fail_after(TIMEOUT_S):
            while True:
                others = [number for number in range(len(self.agents)) if number != leader]
                found = [(await self.metrics(number))[1] for number in others]
                if any("bronzerudder_group_leading 1.0" in page for page in found):
                    break
                await anyio.sleep(0.1)
        self.start(leader)
        for rank in self.fleet.ranks:
            rank.shift_demand(5)
        await self.wait_for_map_above(before)
        self.assertEqual(self.fleet.group.mixed_steps, [])


if __name__ == "__main__":
    unittest.main()
