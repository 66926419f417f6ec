"""Tests of orders that agents relay to ranks."""

from __future__ import annotations

import asyncio
import unittest

import anyio
import msgspec

from bronzerudder.expert_maps.api import OrderResult, RankCalls, RankState
from bronzerudder.expert_maps.messages import (
    ORDER_PATH,
    SPREAD_PATH,
    RankOrder,
    SpreadOrder,
    decode_body,
    encode_body,
)
from bronzerudder.expert_maps.relay import RelayedOrders, execute_order
from bronzerudder.http1 import HttpServer, ServerLimits, listen
from tests.http1.test_client import EndlessPeer

LAYOUT = [[[0, 1], [2], [3], [0]]]
RANKS = 4
TIMEOUT_S = 5.0


class RecordingRank(RankCalls):
    """Accepts all orders, and records preparations and armings."""

    def __init__(self):
        self.prepared = []
        self.armed = []

    async def prepare(self, rank, version, layout):
        self.prepared.append((rank.rank, version, layout))
        return OrderResult.ACCEPTED

    async def arm(self, rank, version, step):
        self.armed.append(rank.rank)
        return OrderResult.ACCEPTED

    async def disarm(self, rank, version):
        return OrderResult.ACCEPTED

    async def hold(self, rank, step):
        return OrderResult.ACCEPTED

    async def release(self, rank, step):
        return OrderResult.ACCEPTED

    async def state(self, address):
        raise NotImplementedError

    async def counts(self, address):
        raise NotImplementedError

    async def experts(self, address):
        raise NotImplementedError


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        hosts = [f"127.0.2.{rank + 1}" for rank in range(RANKS)]
        first = listen(f"{hosts[0]}:0")
        self.port = str(first.getsockname()[1])
        listeners = [first, *(listen(f"{host}:{self.port}") for host in hosts[1:])]
        self.calls = [RecordingRank() for _ in hosts]
        self.spread = []
        self.servers = []
        for rank, listener in enumerate(listeners):
            self.addCleanup(listener.close)
            server = HttpServer(self.agent(rank), ServerLimits)
            self.servers.append(asyncio.create_task(server.serve(listener)))
            self.addCleanup(self.servers[-1].cancel)
        self.ranks = [
            RankState(f"{host}:1", "g", 1, rank, RANKS, True, 1, 5, 0, None, None, None, 0)
            for rank, host in enumerate(hosts)
        ]
        self.leader = RelayedOrders(RecordingRank(), self.port)

    def agent(self, rank):
        relay = RelayedOrders(self.calls[rank], self.port)

        async def handle(request, writer):
            if request.target == SPREAD_PATH:
                self.spread.append(rank)
                results = await relay.forward(decode_body(request.body, SpreadOrder))
                await writer.respond(200, [], encode_body(results))
                return
            assert request.target == ORDER_PATH
            status = await execute_order(self.calls[rank], decode_body(request.body, RankOrder))
            await writer.respond(status, [], b"")

        return handle

    async def test_a_map_goes_to_all_ranks_through_a_few_agents(self):
        found = await self.leader.prepare_many(self.ranks, 7, LAYOUT)
        self.assertEqual(found, {rank.address: OrderResult.ACCEPTED for rank in self.ranks})
        self.assertEqual(sorted(self.spread), [0, 2])
        for number, calls in enumerate(self.calls):
            self.assertEqual(calls.prepared, [(number, 7, LAYOUT)])

    async def test_ranks_whose_agent_is_silent_have_no_result(self):
        self.servers[2].cancel()
        await asyncio.sleep(0)
        found = await self.leader.prepare_many(self.ranks, 7, LAYOUT)
        self.assertEqual(set(found), {rank.address for rank in self.ranks[:2]})

    async def test_other_orders_go_through_another_rank_and_then_the_next_one(self):
        self.leader.set_ranks(self.ranks, "")
        self.assertIs(await self.leader.arm(self.ranks[1], 7, 9), OrderResult.ACCEPTED)
        self.assertEqual([calls.armed for calls in self.calls], [[], [], [1], []])
        self.servers[2].cancel()
        await asyncio.sleep(0)
        self.leader = RelayedOrders(RecordingRank(), self.port)
        self.leader.set_ranks(self.ranks, "")
        self.assertIs(await self.leader.arm(self.ranks[1], 7, 9), OrderResult.UNKNOWN)
        self.assertIs(await self.leader.arm(self.ranks[1], 7, 9), OrderResult.ACCEPTED)
        self.assertEqual([calls.armed for calls in self.calls], [[], [], [1], [1]])

    async def test_no_order_goes_through_the_leaders_own_agent(self):
        self.leader.set_ranks(self.ranks, self.ranks[0].address)
        for rank in self.ranks:
            self.assertIs(await self.leader.arm(rank, 7, 9), OrderResult.ACCEPTED)
        self.assertEqual(self.calls[0].armed, [])

    async def test_answers_without_end_of_an_agent_leave_orders_unknown(self):
        ok = b"HTTP/1.1 200 OK\r\n"
        cases = (
            (b"", b"x", 0.005),
            (ok + b"\r\n", b"x", 0.005),
            (ok + b"\r\n", b"x" * 65_536, 0.0),
        )
        for head, repeated, pause_s in cases:
            with self.subTest(head=head, pause_s=pause_s):
                async with EndlessPeer(head, repeated, pause_s) as peer:
                    host, _, port = peer.address.rpartition(":")
                    ranks = [
                        msgspec.structs.replace(rank, address=f"{host}:{rank.rank}")
                        for rank in self.ranks
                    ]
                    leader = RelayedOrders(RecordingRank(), port)
                    with anyio.fail_after(TIMEOUT_S):
                        self.assertIs(await leader.arm(ranks[1], 7, 9), OrderResult.UNKNOWN)
                        self.assertEqual(await leader.prepare_many(ranks, 7, LAYOUT), {})

    async def test_a_small_group_is_given_its_orders_one_by_one(self):
        self.assertEqual(await self.leader.prepare_many(self.ranks[:3], 7, LAYOUT), {})


if __name__ == "__main__":
    unittest.main()
