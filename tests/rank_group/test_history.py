"""Tests on real processes that every step runs on one map while agents are killed or paused.

The platform is unreachable throughout and the engines do not check terms, so only the agreement
between agents prevents mixed steps; under random faults, every agent proposes.
"""

from __future__ import annotations

import random
import tempfile
import unittest

from tests.rank_group.processes import RANKS, Group

FORMATION_TIMEOUT_S = 15
RECOVERY_TIMEOUT_S = 15
FAULTS = 3
STEPS_BEYOND_ARMED = 25
MAX_WAIT_S = 2.0
KILL_POINTS = (("PROMISE", 1), ("STAGE", 0), ("ARM", 0), ("ARM", 1), ("COMMIT", 0), ("COMMIT", 1))


class HistoryTest(unittest.TestCase):
    def test_every_step_runs_on_one_map_under_kills_and_freezes(self):
        choices = random.Random(6)
        with (
            tempfile.TemporaryDirectory() as folder,
            Group(folder, proposers=[0, 1, 2], propose_interval_s=0.5) as group,
        ):
            group.wait_until(group.advanced(10), FORMATION_TIMEOUT_S, "formation")
            for _ in range(FAULTS):
                self._fail_and_recover(group, choices)
            self.assertEqual(group.find_mixed_steps(), [])

    def _fail_and_recover(self, group: Group, choices: random.Random) -> None:
        rank = choices.randrange(RANKS)
        before = choices.randrange(5, 60)
        group.wait_until(group.advanced(before), RECOVERY_TIMEOUT_S, "steps before a fault")
        if choices.random() < 0.5:
            group.kill_member(rank)
            group.start_member(rank)
        else:
            group.pause_member(rank)
            attempted = self._further_attempt(group)
            group.wait_until(attempted, RECOVERY_TIMEOUT_S, "an attempt while an agent is paused")
            group.resume_member(rank)
        group.wait_until(self._newer_map(group), RECOVERY_TIMEOUT_S, "a change after a fault")

    def _newer_map(self, group: Group):
        version = group.steps(0)[-1]["version"]
        return lambda: all(group.steps(rank)[-1]["version"] > version for rank in range(RANKS))

    def _further_attempt(self, group: Group):
        count = sum(len(group.reports(rank, "attempt")) for rank in range(RANKS))
        return lambda: sum(len(group.reports(rank, "attempt")) for rank in range(RANKS)) > count

    def test_the_group_goes_on_wherever_its_proposer_dies(self):
        with tempfile.TemporaryDirectory() as folder, Group(folder) as group:
            group.wait_until(group.advanced(10), FORMATION_TIMEOUT_S, "formation")
            restart_s = 0.0
            for phase, sent in KILL_POINTS:
                group.kill_member(0)
                with self.subTest(phase=phase, sent=sent):
                    proposing = {"proposers": [0], "propose_interval_s": 0.1}
                    group.start_member(0, kill_in_phase=phase, kill_after=sent, **proposing)
                    group.wait_member_exit(0, RECOVERY_TIMEOUT_S)
                    restart_s = max(restart_s, self._restart_member(group))
                    beyond = group.advanced(STEPS_BEYOND_ARMED)
                    group.wait_until(beyond, RECOVERY_TIMEOUT_S, "steps after a kill")
            self.assertEqual(group.find_mixed_steps(), [])
            self.assertLess(group.longest_wait_s() - restart_s, MAX_WAIT_S)

    def _restart_member(self, group: Group) -> float:
        """Restart rank 0's member; return the seconds until it listens."""
        starts = len(group.reports(0, "listening"))
        group.start_member(0)
        listening = lambda: len(group.reports(0, "listening")) > starts  # noqa: E731
        return group.wait_until(listening, RECOVERY_TIMEOUT_S, "a restarted member")

    def test_the_group_forms_again_after_an_engine_restarts(self):
        with tempfile.TemporaryDirectory() as folder, Group(folder) as group:
            group.wait_until(group.advanced(10), FORMATION_TIMEOUT_S, "formation")
            first = {line["version"] for line in group.steps(1)}
            group.kill_engine(1)
            group.start_engine(1)
            group.wait_until(group.advanced(10), RECOVERY_TIMEOUT_S, "second formation")
            second = {line["version"] for line in group.steps(1)} - first
            self.assertEqual((len(first), len(second)), (1, 1))
            self.assertEqual(group.find_mixed_steps(), [])
