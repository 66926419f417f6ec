"""Tests of the rank agents of a group after the store was restored from an older copy."""

from __future__ import annotations

import pathlib
import random
import tempfile
import unittest

import anyio

from bench.harness.fleet import Fleet, FleetShape
from bronzerudder.expert_maps.leadership import LEADER_KIND

TIMEOUT_S = 25.0
RANKS = 4
GROUP = "g"
POLL_INTERVAL_S = 0.005


class RestoredStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        directory = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.fleet = Fleet(directory, FleetShape(gateways=0, ranks=RANKS), random.Random(1))
        self.addAsyncCleanup(self.fleet.close)
        self.fleet.serve_stand_ins()
        self.before_claims = self.fleet.store.take_copy()
        self.agents = []
        for number in range(RANKS):
            settings = self.fleet.agent_settings(number, self.fleet.store_address)
            self.agents.append(self.fleet.start_process("rank-agent", f"agent-{number}", settings))

    async def wait_until(self, condition):
        with anyio.fail_after(TIMEOUT_S):
            while not condition():
                await anyio.sleep(POLL_INTERVAL_S)

    def recorded(self):
        return self.fleet.store.find(LEADER_KIND, GROUP)

    def record_was_read(self):
        return any(LEADER_KIND in call for call in self.fleet.store.calls)

    def leading_agent(self):
        host = self.recorded()["address"].rpartition(":")[0]
        addresses = [rank.address.rpartition(":")[0] for rank in self.fleet.group.ranks]
        return addresses.index(host)

    async def wait_for_map_above(self, version):
        group = self.fleet.group
        await self.wait_until(
            lambda: group.mixed_steps or min(rank.map.version for rank in group.ranks) > version
        )
        self.assertEqual(group.mixed_steps, [])

    async def assert_changes_after_shift(self):
        """Check that a change is completed after demand has shifted."""
        before = max(rank.map.version for rank in self.fleet.group.ranks)
        for rank in self.fleet.ranks:
            rank.shift_demand(5)
        await self.wait_for_map_above(before)

    async def test_the_group_changes_its_map_after_another_agent_claimed_it(self):
        await self.wait_until(self.recorded)
        leader = self.leading_agent()
        absent = (leader + 1) % RANKS
        # The first change can't be completed: the suspended agent relays no order to its rank.
        self.agents[absent].pause()
        others = [rank for rank in self.fleet.group.ranks if rank.number != absent]
        await self.wait_until(lambda: all(rank.prepared is not None for rank in others))
        self.agents[leader].pause()
        self.fleet.store.restore(self.before_claims)
        for rank in self.fleet.ranks:
            rank.shift_demand(3)
        self.agents[absent].resume()
        await self.wait_until(self.recorded)
        self.assertNotEqual(self.leading_agent(), leader)
        await anyio.sleep(1.0)
        self.agents[leader].resume()
        await self.wait_for_map_above(0)
        await self.assert_changes_after_shift()

    async def test_the_group_changes_its_map_after_the_same_agent_claimed_it_again(self):
        await self.wait_for_map_above(0)
        leader = self.leading_agent()
        others = [agent for number, agent in enumerate(self.agents) if number != leader]
        self.fleet.store.restore(self.before_claims)
        del self.fleet.store.calls[:]
        for rank in self.fleet.ranks:
            rank.shift_demand(3)
        # The leader stops when it reads the record; the others must not learn of it.
        await self.wait_until(self.record_was_read)
        for agent in others:
            agent.pause()
        await self.wait_until(self.recorded)
        self.assertEqual(self.leading_agent(), leader)
        for agent in others:
            agent.resume()
        await self.assert_changes_after_shift()


if __name__ == "__main__":
    unittest.main()
