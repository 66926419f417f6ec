"""Tests of following a kind on the store during its failures."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

import anyio

from bronzerudder.gateway import follower
from bronzerudder.gateway.follower import BATCH_PAUSE_S, KindFollower, KindListener
from bronzerudder.http1 import listen
from bronzerudder.platform.object_api import RemoteObjectStore
from bronzerudder.standin.fleet import StandinStore
from tests.gateway.harness import quiet_log

TIMEOUT_S = 6.0


class Names(KindListener):
    def __init__(self):
        self.names = {}
        self.outages = 0

    def apply_listing(self, listing, after_outage):
        self.outages += after_outage
        self.names = {stored.name: stored.value for stored in listing.objects}

    def apply_change(self, change, after_outage):
        self.outages += after_outage
        if change.value is None:
            self.names.pop(change.name, None)
            return
        self.names[change.name] = change.value


class KindFollowerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin = StandinStore()
        listener = listen("127.0.0.1:0")
        store = RemoteObjectStore(f"127.0.0.1:{listener.getsockname()[1]}")
        self.names = Names()
        self.follower = KindFollower(store, "kind", self.names, quiet_log())
        for work in (self.standin.server.serve(listener), self.follower.run()):
            self.addCleanup(asyncio.create_task(work).cancel)
        self.addCleanup(listener.close)

    async def wait_for(self, names):
        with anyio.fail_after(TIMEOUT_S):
            while self.names.names != names:
                await anyio.sleep(0.01)

    async def test_changes_are_followed(self):
        self.standin.put("kind", "a", 1)
        await self.wait_for({"a": b"1"})
        self.standin.put("kind", "a", 2)
        self.standin.put("kind", "b", 3)
        await self.wait_for({"a": b"2", "b": b"3"})
        self.standin.remove("kind", "a")
        await self.wait_for({"b": b"3"})

    async def test_a_burst_of_changes_takes_few_calls(self):
        self.standin.put("kind", "first", 0)
        await self.wait_for({"first": b"0"})
        before = len(self.standin.calls)
        for number in range(30):
            self.standin.put("kind", f"n{number}", number)
            await anyio.sleep(0.02)
        with anyio.fail_after(2 * BATCH_PAUSE_S + 0.3):
            while len(self.names.names) < 31:
                await anyio.sleep(0.01)
        # 0.6 s with a change every 0.02 s: one call for each pause, and one that is waiting.
        self.assertLessEqual(len(self.standin.calls) - before, 6)

    async def test_an_outage_is_ridden_out_and_told(self):
        self.standin.put("kind", "a", 1)
        await self.wait_for({"a": b"1"})
        self.standin.refuse_with = 503
        self.standin.compact_history()
        with anyio.fail_after(TIMEOUT_S):
            while not self.follower.store_lost:
                await anyio.sleep(0.01)
        self.standin.put("kind", "b", 2)
        self.assertEqual(self.names.names, {"a": b"1"})
        self.standin.refuse_with = 0
        await self.wait_for({"a": b"1", "b": b"2"})
        self.assertEqual(self.names.outages, 1)

    async def test_a_change_that_watches_did_not_hear_of_is_found_once_they_are_cut(self):
        # The store stops notifying watches of changes, then drops its history. Found by
        # fleetbench hunt on inanga-hq: scale-1 --seed 19490480289 (CONFIG).
        self.standin.put("kind", "a", 1)
        await self.wait_for({"a": b"1"})
        with mock.patch.object(follower, "WATCH_S", 0.1):
            self.standin.put("kind", "a", 2)
            await self.wait_for({"a": b"2"})
            await anyio.sleep(BATCH_PAUSE_S + 0.05)
            self.standin.drops_events = True
            self.standin.put("kind", "a", 3)
            await anyio.sleep(0.3)
            self.assertEqual(self.names.names, {"a": b"2"})
            self.standin.drops_events = False
            self.standin.compact_history()
            await self.wait_for({"a": b"3"})

    async def test_a_watch_that_the_store_silently_dropped_is_made_up_for_in_time(self):
        # The store silently drops a watch. Found in the logs of the recorded incident inc-faac, at
        # front-kgl-b-1 from 8.5 s on.
        self.standin.put("kind", "a", 1)
        await self.wait_for({"a": b"1"})
        await anyio.sleep(BATCH_PAUSE_S + 0.1)
        self.standin.drop_watches()
        await anyio.sleep(0.1)
        self.standin.is_unresponsive = False
        self.standin.put("kind", "a", 2)
        with anyio.fail_after(5.0):
            await self.wait_for({"a": b"2"})

    async def test_after_lost_history_the_whole_kind_is_read_again(self):
        self.standin.put("kind", "a", 1)
        await self.wait_for({"a": b"1"})
        self.standin._objects["kind"].pop("a")
        self.standin.put("kind", "b", 2)
        self.standin.compact_history()
        await self.wait_for({"b": b"2"})


if __name__ == "__main__":
    unittest.main()
