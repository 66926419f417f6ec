"""Tests that crashes outlast the gateways that saw them."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

import anyio
import msgspec

from bronzerudder.http1 import listen
from bronzerudder.peers import crash_archive
from bronzerudder.peers.crash_archive import CRASH_KIND, CrashArchive
from bronzerudder.peers.messages import CrashSeen
from bronzerudder.platform.object_api import RemoteObjectStore
from bronzerudder.standin.fleet import StandinStore
from tests.gateway.harness import quiet_log
from tests.platform.unreadable import UNREADABLE_VALUES

TIMEOUT_S = 5.0


class CrashArchiveTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = StandinStore()
        listener = listen("127.0.0.1:0")
        self.addCleanup(listener.close)
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        self.tasks = [asyncio.create_task(self.store.server.serve(listener))]
        self.addAsyncCleanup(self.stop)
        for name, value in (("READ_INTERVAL_S", 0.1), ("WRITE_INTERVAL_S", 0.02)):
            patched = mock.patch.object(crash_archive, name, value)
            patched.start()
            self.addCleanup(patched.stop)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def start(self, kept):
        """Start an archive; return the list that the crashes it reads are added to."""
        read = []
        archive = CrashArchive(
            RemoteObjectStore(self.address),
            lambda: kept,
            read.append,
            quiet_log(),
        )
        self.tasks.append(asyncio.create_task(archive.run()))
        return read

    async def wait_until(self, condition):
        with anyio.fail_after(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)

    def names(self):
        return sorted(self.store._objects.get(CRASH_KIND, {}))

    async def test_a_gateway_that_starts_after_the_loss_of_all_reads_their_crashes(self):
        crashes = [CrashSeen("i-1@5", ["pkiller", "f1"], 4.5), CrashSeen("i-2", ["pkiller"])]
        self.start({crash.crash_id: crash for crash in crashes})
        await self.wait_until(lambda: len(self.names()) == 2)
        self.tasks[-1].cancel()
        read = self.start({})
        await self.wait_until(lambda: len(read) == 2)
        self.assertEqual(sorted(read, key=lambda crash: crash.crash_id), crashes)
        await asyncio.sleep(0.3)
        self.assertEqual(len(read), 2)

    async def test_unreadable_entries_do_not_hide_the_crashes_beside_them(self):
        for number, value in enumerate(UNREADABLE_VALUES):
            self.store.put(CRASH_KIND, f"a-{number}", msgspec.Raw(value))
        self.store.put(CRASH_KIND, "b", {"subjects": ["p"], "age_s": -1})
        self.store.put(CRASH_KIND, "i-1", {"subjects": ["pkiller"]})
        read = self.start({})
        await self.wait_until(lambda: read)
        self.assertEqual(read, [CrashSeen("i-1", ["pkiller"])])

    async def test_a_crash_is_written_once_and_deleted_when_it_is_cleared(self):
        kept = {"i-1": CrashSeen("i-1", ["pkiller"])}
        self.start(kept)
        self.start(kept)
        await self.wait_until(lambda: self.names() == ["i-1"])
        await asyncio.sleep(0.3)
        writes = [call for call in self.store.calls if call.startswith("POST")]
        self.assertLessEqual(len(writes), 2)
        kept.clear()
        await self.wait_until(lambda: self.names() == [])

    async def test_a_crash_is_written_once_the_store_is_back(self):
        self.store.refuse_with = 503
        self.start({"i-1": CrashSeen("i-1", ["pkiller"])})
        await asyncio.sleep(0.2)
        self.store.refuse_with = 0
        await self.wait_until(lambda: self.names() == ["i-1"])

    async def test_an_entry_whose_gateway_is_gone_is_deleted_at_the_end_of_its_time(self):
        self.store.put(CRASH_KIND, "i-1", {"subjects": ["pkiller"]})
        self.store.put(CRASH_KIND, "garbled", {"subjects": 3})
        with mock.patch.object(crash_archive, "QUARANTINE_S", 0.5):
            read = self.start({})
            await self.wait_until(lambda: read)
            await self.wait_until(lambda: self.names() == [])
        self.assertEqual(read, [CrashSeen("i-1", ["pkiller"])])


if __name__ == "__main__":
    unittest.main()
