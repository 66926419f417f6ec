"""Tests of the leader election of a group."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

import msgspec

from bronzerudder.expert_maps import leadership
from bronzerudder.expert_maps.leadership import LEADER_KIND, NO_LEADER, LeaderRecord
from bronzerudder.http1 import listen
from bronzerudder.platform import StoreError
from bronzerudder.platform.object_api import RemoteObjectStore
from bronzerudder.standin.fleet import StandinStore
from tests.gateway.harness import quiet_log
from tests.http1.test_client import Peer
from tests.platform.unreadable import UNREADABLE_VALUES


def make_answer(status: int, body: bytes) -> bytes:
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class LeaderRecordTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin = StandinStore()
        listener = listen("127.0.0.1:0")
        self.store = RemoteObjectStore(f"127.0.0.1:{listener.getsockname()[1]}")
        self.addCleanup(asyncio.create_task(self.standin.server.serve(listener)).cancel)
        self.addCleanup(listener.close)
        self.record = LeaderRecord(self.store, "g", quiet_log())

    async def test_only_one_of_two_claims_wins(self):
        self.assertEqual(await self.record.read(), NO_LEADER)
        first = await self.record.claim(NO_LEADER, "a:1", "r:1")
        second = await self.record.claim(NO_LEADER, "b:1", "r:2")
        self.assertEqual(first.address, "a:1")
        self.assertGreater(first.term, NO_LEADER.term)
        self.assertIsInstance(second, StoreError)
        self.assertEqual(await self.record.read(), first)

    async def test_terms_rise(self):
        first = await self.record.claim(NO_LEADER, "a:1", "r:1")
        second = await self.record.claim(first, "b:1", "r:2")
        self.assertEqual(second.rank_address, "r:2")
        self.assertGreaterEqual(second.versions.start, first.versions.stop)
        self.assertIsInstance(await self.record.claim(first, "a:1", "r:1"), StoreError)

    async def test_a_claim_whose_answer_was_lost_is_settled_by_reading(self):
        self.standin.lose_answers = True
        claimed = await self.record.claim(NO_LEADER, "a:1", "r:1")
        self.assertEqual(claimed, await self.record.read())

    @mock.patch.object(leadership.random, "randint", lambda first, last: first)
    async def test_a_claim_whose_answer_cannot_be_decoded_is_settled_by_reading(self):
        recorded = b'{"metadata":{"name":"g","revision":4},"spec":{"address":"a:1","term":1}}'
        for status, body in ((200, b"{"), (500, b"failed")):
            with self.subTest(status=status):
                async with Peer(make_answer(status, body), make_answer(200, recorded)) as peer:
                    record = LeaderRecord(RemoteObjectStore(peer.address), "g", quiet_log())
                    claimed = await record.claim(NO_LEADER, "a:1", "r:1")
                    self.assertEqual((claimed.address, claimed.term), ("a:1", 1))

    async def test_a_claim_that_another_one_overtook_is_lost(self):
        self.standin.put(LEADER_KIND, "g", {"address": "b:1", "term": 1})
        self.standin.lose_answers = True
        self.assertIsInstance(await self.record.claim(NO_LEADER, "a:1", "r:1"), StoreError)

    async def test_an_earlier_claim_restored_with_the_store_is_not_taken_for_a_lost_one(self):
        before = self.standin.take_copy()
        first = await self.record.claim(NO_LEADER, "a:1", "r:1")
        self.standin.restore(before)
        self.standin.put(LEADER_KIND, "g", {"address": "a:1", "term": first.term})
        self.standin.lose_answers = True
        self.assertIsInstance(await self.record.claim(NO_LEADER, "a:1", "r:1"), StoreError)

    async def test_claims_that_a_restored_store_has_forgotten_share_no_map_version(self):
        before = self.standin.take_copy()
        claims = []
        for number in range(50):
            claims.append(await self.record.claim(NO_LEADER, f"a-{number}:1", "r:1"))
            self.standin.restore(before)
        self.assertEqual(len({claim.term for claim in claims}), len(claims))
        versions = sorted((claim.versions for claim in claims), key=lambda held: held.start)
        for lower, higher in zip(versions, versions[1:], strict=False):
            self.assertLessEqual(lower.stop, higher.start)

    async def test_a_claim_exceeds_the_versions_that_ranks_have_had(self):
        newest = (1 << 40) + 5
        claimed = await self.record.claim(NO_LEADER, "a:1", "r:1", newest)
        self.assertGreater(claimed.versions.start, newest)

    async def test_a_claim_without_a_term_left_fails(self):
        claimed = await self.record.claim(NO_LEADER, "a:1", "r:1", leadership.MAX_VERSION)
        self.assertIsInstance(claimed, StoreError)
        self.assertEqual(await self.record.read(), NO_LEADER)

    async def test_settlement_is_noted_by_the_present_leader_only(self):
        first = await self.record.claim(NO_LEADER, "a:1", "r:1")
        self.assertFalse(first.settled, "the store may have forgotten an earlier leader")
        second = await self.record.claim(first, "b:1", "r:2")
        self.assertFalse((await self.record.read()).settled)
        self.assertIsInstance(await self.record.mark_settled(first), StoreError)
        marked = await self.record.mark_settled(second)
        self.assertEqual(await self.record.read(), marked)
        self.assertTrue(marked.settled)
        self.assertFalse((await self.record.claim(marked, "c:1", "r:3")).settled)

    async def test_a_record_that_is_not_understood_can_be_claimed(self):
        term = 2**60
        for value in (b'{"address":5}', b'{"address":"b:1","term":%d}' % term, *UNREADABLE_VALUES):
            with self.subTest(value=value[:40]):
                self.standin.put(LEADER_KIND, "g", msgspec.Raw(value))
                recorded = await self.record.read()
                self.assertEqual((recorded.address, recorded.term), ("", 0))
                claimed = await self.record.claim(recorded, "a:1", "r:1")
                self.assertEqual(await self.record.read(), claimed)
                self.assertFalse(claimed.settled)


if __name__ == "__main__":
    unittest.main()
