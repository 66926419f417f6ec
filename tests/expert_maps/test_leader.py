"""Tests of leaders of several groups of ranks that serve one service."""

from __future__ import annotations

import asyncio
import tracemalloc
import unittest
from unittest import mock

import anyio
import msgspec

from bronzerudder.expert_maps import change, leader
from bronzerudder.expert_maps.api import RankCalls, RankExperts, RankFailure
from bronzerudder.expert_maps.counts import AgentCounts, CounterName
from bronzerudder.expert_maps.leader import GroupLeader
from bronzerudder.expert_maps.leadership import NO_LEADER, Leader
from bronzerudder.expert_maps.messages import RankReport
from bronzerudder.expert_maps.scenarios import Scenario, pack_levels
from bronzerudder.expert_maps.shape import ExpertShape, MapBounds
from bronzerudder.standin.fleet.group import LoadedMap
from tests.expert_maps.simulated_group import (
    STEP_S,
    SimulatedGroup,
    SimulatedOrders,
    VirtualTime,
    run_virtual,
    seeded,
)

RANKS = 4
EXPERTS = 8
SHAPE = ExpertShape(1, EXPERTS, MapBounds(4, 2), 0.01)
INITIAL = [[[rank, rank + RANKS]] for rank in range(RANKS)]
REPORT_INTERVAL_S = 0.4
DURATION_S = 20.0
ODD_REPORTS_S = 4.0
MAX_MEMORY_BYTES = 64 * 1024 * 1024
DEMAND = [900, 10, 10, 10, 700, 10, 10, 10]
"""Choices of each expert; the hot ones are both on the first rank."""


class GroupCalls(RankCalls):
    """Calls to the ranks of several simulated groups, by the start of their addresses."""

    def __init__(self, orders):
        self._orders = orders
        self.polled = []
        self.layouts = {}

    def _of(self, address):
        return self._orders[address.partition("-")[0]]

    async def prepare(self, rank, version, layout):
        self.layouts[rank.group, version] = layout
        return await self._of(rank.address).prepare(rank, version, layout)

    async def arm(self, rank, version, step):
        return await self._of(rank.address).arm(rank, version, step)

    async def disarm(self, rank, version):
        return await self._of(rank.address).disarm(rank, version)

    async def hold(self, rank, step):
        return await self._of(rank.address).hold(rank, step)

    async def release(self, rank, step):
        return await self._of(rank.address).release(rank, step)

    async def state(self, address):
        self.polled.append(address)
        return await self._of(address).state(address)

    async def counts(self, address):
        return RankFailure("not used by leaders")

    async def experts(self, address):
        return RankFailure("not known")


class StandingRecord:
    """A record that names the same leader for good."""

    def __init__(self, recorded):
        self._recorded = recorded

    async def read(self):
        return self._recorded

    async def mark_settled(self, recorded):
        return recorded


class VirtualLeaderTest(unittest.TestCase):
    def setUp(self):
        for module in (leader, change):
            patcher = mock.patch.object(module, "time", VirtualTime)
            patcher.start()
            self.addCleanup(patcher.stop)
        # Virtual time would pass while a thread plans.
        patcher = mock.patch("anyio.to_thread.run_sync", run_directly)
        patcher.start()
        self.addCleanup(patcher.stop)


class SeveralGroupsTest(VirtualLeaderTest):
    def lead(self, names, misdirected=False, log=None):
        """Lead each group for some time; return the groups, counters and calls by name."""
        groups = {name: SimulatedGroup(RANKS, seeded(3), name=name) for name in names}
        counts = {name: AgentCounts() for name in names}
        calls = {}
        addresses = tuple(rank.address for group in groups.values() for rank in group.ranks)

        async def list_ranks():
            return addresses

        async def simulate():
            async with anyio.create_task_group() as tasks:
                leaders = {}
                for name, group in groups.items():
                    tasks.start_soon(group.run)
                    own = f"{name}-0"
                    orders = {
                        other: SimulatedOrders(groups[other], tasks, own=own) for other in names
                    }
                    calls[name] = GroupCalls(orders)
                    recorded = Leader("a:1", 1, 1, own, True)
                    leaders[name] = GroupLeader(
                        name,
                        calls[name],
                        own,
                        list_ranks,
                        SHAPE,
                        StandingRecord(recorded),
                        recorded,
                        NO_LEADER,
                        log or mock.Mock(),
                        counts[name],
                    )
                    tasks.start_soon(leaders[name].run)
                receivers = {name: [item] for name, item in leaders.items()}
                if misdirected:
                    receivers = {name: list(leaders.values()) for name in names}
                for name, group in groups.items():
                    tasks.start_soon(report, group, receivers[name], calls)
                await anyio.sleep(DURATION_S)
                tasks.cancel_scope.cancel()

        run_virtual(simulate)
        return groups, counts, calls

    def assert_changed(self, groups, counts):
        for name, group in groups.items():
            self.assertEqual(group.mixed_steps, [])
            results = counts[name].by_result(CounterName.MAP_CHANGES)
            self.assertGreater(results.get("changed", 0), 0, results)
            self.assertEqual(set(results), {"changed"})
            self.assertEqual({rank.map.version > 0 for rank in group.ranks}, {True})

    def test_each_of_two_groups_changes_its_own_map(self):
        groups, counts, calls = self.lead(("first", "second"))
        self.assert_changed(groups, counts)
        for name in groups:
            self.assertEqual({group for group, _ in calls[name].layouts}, {name})

    def test_the_effect_of_each_change_is_logged(self):
        log = mock.Mock()
        _, counts, _ = self.lead(("only",), log=log)
        lines = [call for call in log.state.call_args_list if call.args == ("map measured",)]
        changes = counts["only"].by_result(CounterName.MAP_CHANGES)["changed"]
        self.assertEqual(len(lines), changes)
        for line in lines:
            self.assertLess(line.kwargs["newest_counts_age_s"], 2.0)

    def test_a_change_is_planned_again_from_the_map_that_it_replaces(self):
        """The reports after a change, each 0.4 s, show the old map for longer than the pause."""
        _, counts, _ = self.lead(("only",))
        self.assertEqual(counts["only"].by_result(CounterName.MAP_CHANGES), {"changed": 1})

    def test_reports_of_another_group_are_not_taken_for_those_of_its_ranks(self):
        self.assert_changed(*self.lead(("first", "second"), misdirected=True)[:2])

    def test_one_and_four_groups_change_their_maps(self):
        for names in (("only",), ("first", "second", "third", "fourth")):
            with self.subTest(groups=len(names)):
                self.assert_changed(*self.lead(names)[:2])

    def test_the_ranks_of_another_group_are_polled_once_at_most(self):
        _, _, calls = self.lead(("first", "second"))
        for name, other in (("first", "second"), ("second", "first")):
            polled = [address for address in calls[name].polled if address.startswith(other)]
            self.assertLessEqual(len(polled), RANKS)


class OddReportTest(VirtualLeaderTest):
    def lead_with(self, change_report):
        """Lead a group one of whose ranks is reported with odd values at first."""
        group = SimulatedGroup(RANKS, seeded(3), name="only")
        counts = AgentCounts()

        async def list_ranks():
            return tuple(rank.address for rank in group.ranks)

        async def simulate():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(group.run)
                calls = {group.name: GroupCalls({group.name: SimulatedOrders(group, tasks)})}
                recorded = Leader("a:1", 1, 1, f"{group.name}-0", True)
                group_leader = GroupLeader(
                    group.name,
                    calls[group.name],
                    f"{group.name}-0",
                    list_ranks,
                    SHAPE,
                    StandingRecord(recorded),
                    recorded,
                    NO_LEADER,
                    mock.Mock(),
                    counts,
                )
                tasks.start_soon(group_leader.run)
                tasks.start_soon(report, group, [group_leader], calls)
                for _ in range(round(ODD_REPORTS_S / STEP_S)):
                    state = group.state(group.ranks[0])
                    group_leader.handle_report(change_report(RankReport(state)))
                    await anyio.sleep(STEP_S)
                await anyio.sleep(DURATION_S)
                tasks.cancel_scope.cancel()

        run_virtual(simulate)
        self.assertGreater(counts.by_result(CounterName.MAP_CHANGES).get("changed", 0), 0)

    def test_a_huge_group_size_fills_the_memory(self):
        def change_report(sound):
            return RankReport(msgspec.structs.replace(sound.state, size=2**22))

        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.lead_with(change_report)
        self.assertLess(tracemalloc.get_traced_memory()[1], MAX_MEMORY_BYTES)

    def test_experts_that_do_not_exist_end_the_leader(self):
        for experts in ([[EXPERTS, 0]], [[-1]], [[0] * 50], [[0], [1]], []):
            with self.subTest(experts=experts):
                self.lead_with(
                    lambda sound, held=experts: RankReport(sound.state, None, RankExperts(0, held))
                )


class OutdatedLeaderTest(VirtualLeaderTest):
    def lead_until_it_stops(self, group, leader_versions=None):
        """Lead a group for some time; return the leader, and whether it has stopped."""
        stopped = []

        async def list_ranks():
            return tuple(rank.address for rank in group.ranks)

        async def simulate():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(group.run)
                calls = {group.name: GroupCalls({group.name: SimulatedOrders(group, tasks)})}
                recorded = Leader("a:1", 1, 1, f"{group.name}-0", True)
                group_leader = GroupLeader(
                    group.name,
                    calls[group.name],
                    f"{group.name}-0",
                    list_ranks,
                    SHAPE,
                    StandingRecord(recorded),
                    recorded,
                    NO_LEADER,
                    mock.Mock(),
                    AgentCounts(),
                )
                if leader_versions is not None:
                    group_leader._unused_versions = iter(leader_versions)

                async def lead():
                    await group_leader.run()
                    stopped.append(True)

                tasks.start_soon(lead)
                tasks.start_soon(report, group, [group_leader], calls)
                await anyio.sleep(DURATION_S)
                tasks.cancel_scope.cancel()
            return group_leader

        return run_virtual(simulate), bool(stopped)

    def test_a_leader_stops_if_a_rank_shows_a_higher_version(self):
        group = SimulatedGroup(RANKS, seeded(3), name="only")
        rank = group.ranks[2]
        rank.highest_version = 10**9
        rank.prepared = LoadedMap(rank.highest_version, "of another leader")
        group_leader, stopped = self.lead_until_it_stops(group)
        self.assertTrue(stopped)
        self.assertEqual(group_leader.newest_version, rank.highest_version)

    def test_a_leader_stops_if_a_rank_refuses_its_version_without_showing_a_higher_one(self):
        group = SimulatedGroup(RANKS, seeded(3), name="only")
        group.ranks[2].highest_version = 10**9
        self.assertTrue(self.lead_until_it_stops(group)[1])

    def test_a_leader_stops_before_its_versions_run_out(self):
        group = SimulatedGroup(RANKS, seeded(3), name="only")
        last = Leader("a:1", 1, 1).versions.stop
        group_leader, stopped = self.lead_until_it_stops(group, range(last - 19, last))
        self.assertTrue(stopped)
        self.assertLess(group_leader.newest_version, last)
        self.assertEqual({rank.map.version > 0 for rank in group.ranks}, {True})


async def run_directly(function):
    return function()


async def report(group, leaders, calls):
    """Report all ranks of a group to leaders until cancelled."""
    total = sum(DEMAND)
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        for rank in group.ranks:
            state = group.state(rank)
            experts = RankExperts(state.map_version, experts_of(group, rank, calls))
            scenario = Scenario(total, pack_levels(DEMAND))
            for item in leaders:
                item.handle_report(RankReport(state, scenario, experts))


def experts_of(group, rank, calls):
    version = rank.map.version
    if not version:
        return INITIAL[rank.number]
    layout = calls[group.name].layouts[group.name, version]
    return [held[rank.number] for held in layout]
