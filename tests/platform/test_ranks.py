"""Tests of the client of a group's ranks against a rank with scripted answers."""

from __future__ import annotations

import unittest

import anyio
import msgspec

from bronzerudder.expert_maps.api import OrderResult, RankFailure, RankState
from bronzerudder.http1 import Connection
from bronzerudder.platform.ranks import RankClient
from tests.http1.test_client import EndlessPeer, Peer
from tests.platform.unreadable import UNREADABLE_VALUES

TIMEOUT_S = 5.0
GROUP = {"name": "g", "epoch": 1, "rank": 0, "state": "open"}
REPORT = msgspec.json.encode({"group": GROUP, "size": 4, "step": 9, "map": 0})


def make_answer(status: int, body: bytes = b"{}") -> bytes:
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class RepeatingRank(Peer):
    """Reports its state, refuses all orders, and answers each call twice.

    The second answer comes late, when the next call on the connection arrives.
    """

    async def _answer(self, connection: Connection):
        late = b""
        while True:
            request = await connection.receive()
            if not isinstance(request, bytes) or not request:
                return
            is_order = request.startswith(b"POST")
            answer = make_answer(409) if is_order else make_answer(200, REPORT)
            await connection.send(late + answer)
            late = answer


class ScriptedRank(Peer):
    """Answers each call with the same document."""

    def __init__(self, document: bytes) -> None:
        super().__init__()
        self._document = document

    async def _answer(self, connection: Connection):
        while True:
            request = await connection.receive()
            if not isinstance(request, bytes) or not request:
                return
            await connection.send(make_answer(200, self._document))


HUGE = 10**399
OUT_OF_RANGE = (-1, 2**64, HUGE)


class RankClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_late_answer_is_not_taken_for_that_of_an_order(self):
        orders = (
            lambda client, rank: client.prepare(rank, 3, [[[0]]]),
            lambda client, rank: client.hold(rank, 12),
            lambda client, rank: client.arm(rank, 3, 12),
            lambda client, rank: client.disarm(rank, 3),
        )
        for order in orders:
            async with RepeatingRank() as peer:
                client = RankClient()
                rank = await client.state(peer.address)
                self.assertIsInstance(rank, RankState)
                self.assertIs(await order(client, rank), OrderResult.REFUSED)

    async def test_a_late_answer_of_another_kind_is_a_failure(self):
        async with RepeatingRank() as peer:
            client = RankClient()
            self.assertIsInstance(await client.state(peer.address), RankState)
            self.assertIsInstance(await client.counts(peer.address), RankFailure)

    async def test_an_unreadable_report_is_a_failure(self):
        for value in UNREADABLE_VALUES:
            report = b'{"stage":' + value + b"," + REPORT[1:]
            with self.subTest(value=value[:40]):
                async with Peer(make_answer(200, report)) as peer:
                    state = await RankClient().state(peer.address)
                    if not isinstance(state, RankFailure):
                        # A member that is not used is skipped, if it has an end that can be found.
                        self.assertEqual((state.step, state.size), (9, 4))

    async def assert_failures(self, documents, call):
        for document in documents:
            with self.subTest(document=str(document)[:80]):
                content = document if isinstance(document, bytes) else str(document).encode()
                async with ScriptedRank(content.replace(b"'", b'"')) as peer:
                    self.assertIsInstance(await call(RankClient(), peer.address), RankFailure)

    async def test_a_number_out_of_range_ends_the_agent_that_reads_it(self):
        report = {"group": GROUP, "size": 4, "step": 9, "map": 0}
        documents = []
        for value in OUT_OF_RANGE:
            for name in ("size", "step", "map", "prepared", "held", "born", "waiting", "running"):
                documents.append({**report, name: value})
            for name in ("epoch", "rank"):
                documents.append({**report, "group": {**GROUP, name: value}})
            for name in ("version", "step"):
                documents.append({**report, "armed": {"version": 1, "step": 2, name: value}})
        documents += [{**report, "size": 10**9}, {**report, "pace": -1.0}]
        await self.assert_failures(documents, RankClient.state)

    async def test_counts_out_of_range_end_the_agent_that_packs_them(self):
        documents = [{"epoch": 1, "counts": [value, 1]} for value in OUT_OF_RANGE]
        nested = b'{"epoch": 1, "counts": ' + b"[" * 50_000 + b"]" * 50_000 + b"}"
        await self.assert_failures([*documents, nested], RankClient.counts)

    async def test_experts_out_of_range_end_the_leader_that_plans_with_them(self):
        documents = [{"map": {"version": 1, "experts": [[value]]}} for value in OUT_OF_RANGE]
        await self.assert_failures(documents, RankClient.experts)

    async def test_a_timed_out_order_leaves_no_connection_for_its_late_answer(self):
        async with Peer(make_answer(200, REPORT), b"", make_answer(409)) as peer:
            client = RankClient()
            rank = await client.state(peer.address)
            self.assertIs(await client.release(rank, 12), OrderResult.UNKNOWN)
            self.assertIs(await client.release(rank, 12), OrderResult.REFUSED)
            self.assertEqual(peer.accepted, 2)

    async def test_an_answer_without_end_fails_the_call(self):
        for head in (b"", b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 200 OK\r\n\r\n"):
            for repeated, pause_s in ((b"header: x\r\n" * 5_000, 0.0), (b"x", 0.005)):
                async with EndlessPeer(head, repeated, pause_s) as peer:
                    client = RankClient()
                    rank = RankState(peer.address, "g", 1, 0, 4, True, 1, 9, 0, None, None, None, 0)
                    with anyio.fail_after(TIMEOUT_S):
                        self.assertIsInstance(await client.state(peer.address), RankFailure)
                        self.assertIs(await client.arm(rank, 3, 12), OrderResult.UNKNOWN)


if __name__ == "__main__":
    unittest.main()
