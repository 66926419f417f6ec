"""Tests that complete agents form a group, survive an agent's kill and report a stalled engine."""

from __future__ import annotations

import tempfile
import unittest

from tests.rank_group.processes import RANKS, AgentGroup

TIMEOUT_S = 15


class AgentsTest(unittest.TestCase):
    def test_agents_form_the_group_outlive_a_kill_and_report_a_stall(self):
        with tempfile.TemporaryDirectory() as folder, AgentGroup(folder) as group:
            group.wait_until(group.advanced(5), TIMEOUT_S, "formation")
            group.kill_member(0)
            group.start_member(0)
            version = group.steps(0)[-1]["version"]
            fine = {"expert_map_version": version, "group_stalled": False}
            group.wait_until(self._all_show(group, fine), TIMEOUT_S, "status of all agents")
            group.pause_engine(1)
            stalled = {"group_stalled": True}
            group.wait_until(self._all_show(group, stalled), TIMEOUT_S, "report of a stall")
            group.resume_engine(1)
            group.wait_until(self._all_show(group, fine), TIMEOUT_S, "end of the stall")
            self.assertEqual(group.find_mixed_steps(), [])

    def _all_show(self, group: AgentGroup, expected: dict):
        return lambda: all(expected.items() <= group.status(rank).items() for rank in range(RANKS))
