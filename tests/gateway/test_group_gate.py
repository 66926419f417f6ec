"""Tests of the gate that holds back requests from a group that is not running."""

from __future__ import annotations

import unittest

from bronzerudder.gateway.group_gate import GroupGate


class GroupGateTest(unittest.TestCase):
    def test_a_rejection_closes_it_and_one_probe_goes_at_a_time(self):
        gate = GroupGate()
        self.assertTrue(gate.admits(0.0))
        self.assertTrue(gate.record_rejection(0.0))
        self.assertFalse(gate.admits(0.1))
        self.assertTrue(gate.admits(0.2))
        gate.record_sent(0.2)
        self.assertFalse(gate.admits(0.3))

    def test_a_probe_without_a_result_does_not_close_it_for_good(self):
        gate = GroupGate()
        gate.record_rejection(0.0)
        gate.record_sent(0.2)
        self.assertTrue(gate.admits(1.3))

    def test_progress_opens_it(self):
        gate = GroupGate()
        gate.record_rejection(0.0)
        self.assertTrue(gate.record_progress())
        self.assertTrue(gate.admits(0.01))
        self.assertFalse(gate.record_progress())

    def test_probes_of_a_second_are_few(self):
        gate = GroupGate()
        gate.record_rejection(0.0)
        probes = 0
        for tick in range(100):
            now_s = tick / 100
            if gate.admits(now_s):
                gate.record_sent(now_s)
                gate.record_rejection(now_s)
                probes += 1
        self.assertLessEqual(probes, 4)

    def test_what_agents_tell_closes_and_opens_it(self):
        gate = GroupGate()
        self.assertFalse(gate.on_agent_report(False, 0.0))
        self.assertFalse(gate.admits(0.5))
        self.assertTrue(gate.on_agent_report(True, 0.5))
        self.assertTrue(gate.admits(0.5))

    def test_news_of_a_stopped_group_grows_old(self):
        gate = GroupGate()
        gate.on_agent_report(False, 0.0)
        self.assertTrue(gate.admits(0.7))

    def test_a_probe_that_was_not_sent_does_not_keep_others_from_probing(self):
        gate = GroupGate()
        gate.record_rejection(0.0)
        gate.record_sent(1.0)
        self.assertFalse(gate.admits(1.1))
        gate.record_not_sent()
        self.assertTrue(gate.admits(1.1))


if __name__ == "__main__":
    unittest.main()
