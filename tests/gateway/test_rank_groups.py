"""Tests of several groups of ranks behind one service."""

from __future__ import annotations

import asyncio
import time
import unittest

from bronzerudder.gateway.rank_groups import AGENT_GRACE_S, RankGroups
from bronzerudder.peers.messages import RankLoad
from bronzerudder.standin.fleet import Behaviour, CrashPlan
from tests.gateway.harness import GatewayHarness
from tests.gateway.test_handler import ALL_EVENTS

REQUESTS = 16
RANKS = 2


class RankGroupsTest(unittest.TestCase):
    def setUp(self):
        self.groups = RankGroups()
        self.groups.set_in_lockstep(True)

    def add(self, *named):
        for instance_id, name in named:
            self.groups.add(instance_id)
            self.groups.set_group(instance_id, name)

    def test_a_closed_group_does_not_close_another_one(self):
        for count in (1, 2, 4):
            groups = RankGroups()
            groups.set_in_lockstep(True)
            for number in range(count):
                groups.on_agent_report(f"i-{number}", f"g-{number}", True)
            groups.on_agent_report("i-0", "g-0", False)
            now_s = time.monotonic()
            admitted = [groups.admits(f"i-{number}", now_s) for number in range(count)]
            self.assertEqual(admitted, [False] + [True] * (count - 1))

    def test_an_open_group_does_not_open_another_one(self):
        self.groups.on_agent_report("i-0", "g-0", False)
        self.groups.on_agent_report("i-1", "g-1", True)
        self.assertFalse(self.groups.admits("i-0", time.monotonic()))

    def test_all_ranks_of_a_group_share_its_state(self):
        self.add(("i-0", "g"), ("i-1", "g"))
        self.groups.group_of("i-0").gate.record_rejection(time.monotonic())
        self.assertFalse(self.groups.admits("i-1", time.monotonic()))

    def test_ranks_count_as_one_group_until_an_agent_names_one(self):
        self.groups.add("i-0")
        self.groups.add("i-1")
        self.assertIs(self.groups.group_of("i-0"), self.groups.group_of("i-1"))
        self.assertTrue(self.groups.is_rank("i-0"))

    def test_a_server_that_is_gone_leaves_nothing_behind(self):
        self.add(("i-0", "g"), ("i-1", "h"))
        for number in range(100):
            self.groups.add(f"gone-{number}")
            self.groups.drop(f"gone-{number}")
            self.groups.group_of(f"gone-{number}").gate.record_progress()
        self.groups.drop("i-1")
        self.assertEqual((len(self.groups._groups), len(self.groups._single)), (0, 0))
        self.groups.group_of("i-0")
        self.assertEqual(len(self.groups._groups), 1)

    def test_a_server_in_no_group_stands_alone(self):
        self.add(("i-0", "g"))
        self.groups.add("i-2")
        self.assertFalse(self.groups.is_rank("i-2"))
        self.groups.group_of("i-2").gate.record_rejection(time.monotonic())
        self.assertTrue(self.groups.admits("i-0", time.monotonic()))
        self.groups.on_agent_report("i-0", "g", False)
        self.assertIsNot(self.groups.group_of("i-2"), self.groups.group_of("i-3"))

    def test_a_server_whose_agent_has_not_spoken_yet_waits_for_a_moment(self):
        self.add(("i-0", "g"))
        self.groups.add("i-2")
        now_s = time.monotonic()
        self.assertFalse(self.groups.admits("i-2", now_s))
        self.assertTrue(self.groups.admits("i-2", now_s + AGENT_GRACE_S))

    def test_a_rank_may_join_another_group(self):
        self.add(("i-0", "g"), ("i-1", "h"))
        self.groups.on_agent_report("i-0", "g", False)
        self.groups.set_group("i-0", "h")
        self.assertTrue(self.groups.admits("i-0", time.monotonic()))
        self.groups.drop("i-0")
        self.assertEqual(self.groups.name_of("i-0"), "")

    def test_servers_that_are_no_ranks_are_always_admitted(self):
        self.groups.set_in_lockstep(False)
        self.groups.group_of("i-0").gate.record_rejection(time.monotonic())
        self.assertTrue(self.groups.admits("i-0", time.monotonic()))


class TwoGroupsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.gateway = GatewayHarness(2 * RANKS)
        await self.gateway.start()
        self.addAsyncCleanup(self.gateway.stop)
        self.gateway.services.pool("s").groups.set_in_lockstep(True)
        self.first = self.gateway.backend_servers[:RANKS]
        self.second = self.gateway.backend_servers[RANKS:]
        self.report("first", self.first)
        self.report("second", self.second)

    def report(self, group, servers, is_open=True):
        for server in servers:
            address = self.gateway.addresses[server.instance_id]
            load = RankLoad(address, server.running, is_open, 1.0, group)
            self.gateway.services.on_rank_load(load)

    async def send_many(self, path="/read/x"):
        sent = []
        for number in range(REQUESTS):
            sent.append(self.gateway.send_request(path, f"r{number}"))
        return await asyncio.gather(*sent)

    def arrivals(self, servers):
        return sum(len(server.limit.arrivals) for server in servers)

    async def test_a_group_that_is_down_takes_nothing_from_the_other_one(self):
        self.report("first", self.first, is_open=False)
        answers = await self.send_many()
        self.assertEqual({status for status, _, _ in answers}, {200})
        self.assertEqual(self.arrivals(self.first), 0)
        self.assertEqual(self.arrivals(self.second), REQUESTS)

    async def test_an_open_group_does_not_let_requests_into_the_one_that_is_down(self):
        self.report("first", self.first, is_open=False)
        self.report("second", self.second)
        await self.send_many()
        self.assertEqual(self.arrivals(self.first), 0)

    async def test_a_rejecting_group_gets_probes_only(self):
        for server in self.first:
            server.usual = Behaviour.SHED
        for _ in range(3):
            answers = await self.send_many()
            self.assertEqual({status for status, _, _ in answers}, {200})
        self.assertLessEqual(self.arrivals(self.first), REQUESTS)
        self.assertGreaterEqual(self.arrivals(self.second), 2 * REQUESTS)

    async def test_streams_of_a_stalled_group_are_not_given_up_as_the_other_one_advances(self):
        """A stall of all its ranks is no fault of the server that a stream runs on."""
        for server in self.first:
            server.event_gap_s = 0.3
        self.report("second", self.second, is_open=False)
        stalled = asyncio.create_task(self.gateway.send_request("/stream/x", "stalled"))
        while not any(server.running for server in self.first):
            await asyncio.sleep(0.005)
        self.report("second", self.second)
        for server in self.first:
            server.event_gap_s = 1.2
        deadline_s = time.monotonic() + 1.4
        while time.monotonic() < deadline_s:
            self.report("first", self.first, is_open=False)
            await self.gateway.send_request("/stream/x", f"other-{time.monotonic()}")
        runs = sum(len(server.runs) for server in self.first)
        stalled.cancel()
        self.assertEqual(runs, 1)
        self.assertTrue(all(server.cancelled == 0 for server in self.first))

    async def test_a_crash_in_one_group_excludes_none_of_the_other(self):
        for server in self.first:
            server.crash_plan = CrashPlan(frozenset({"bad"}), down_s=0.5)
        self.report("second", self.second, is_open=False)
        await self.gateway.send_request("/stream/x", "crash", prompt_prefix="bad:4,own:1")
        self.report("second", self.second)
        _, _, body = await self.gateway.send_request("/stream/y", "sound")
        self.assertEqual(body, ALL_EVENTS)
