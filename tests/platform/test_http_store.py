"""Tests of the HTTP object store and instance list against the stand-in platform."""

from __future__ import annotations

import unittest

import anyio

from bronzerudder.platform import ABSENT_VERSION, StoreErrorKind
from bronzerudder.platform.api import ObjectStore
from bronzerudder.platform.http_client import PlatformClient
from bronzerudder.platform.http_instances import HttpInstanceList
from bronzerudder.platform.http_store import HttpObjectStore
from bronzerudder.web import bind_listener, format_address
from tests.platform.serving import serve_platform

NAME_TO_QUOTE = "a/b c%?"


class HttpObjectStoreTest(unittest.IsolatedAsyncioTestCase):
    async def test_reads_back_what_it_wrote_and_refuses_an_old_version(self):
        async with serve_platform() as platform:
            version = await platform.store.put("route", NAME_TO_QUOTE, b"\x00one", ABSENT_VERSION)
            stored = await platform.store.get("route", NAME_TO_QUOTE)
            self.assertEqual((stored.version, stored.value), (version, b"\x00one"))
            conflict = await platform.store.put("route", NAME_TO_QUOTE, b"two", ABSENT_VERSION)
            self.assertEqual(conflict.kind, StoreErrorKind.CONFLICT)
            await platform.store.delete("route", NAME_TO_QUOTE, version)
            absent = await platform.store.get("route", NAME_TO_QUOTE)
            self.assertEqual(absent.kind, StoreErrorKind.NOT_FOUND)

    async def test_a_lost_answer_is_unknown_and_the_write_took_effect(self):
        async with serve_platform() as platform:
            platform.app.faults.set("test", {"lost_writes": 1})
            lost = await platform.store.put("route", "r", b"one", ABSENT_VERSION)
            self.assertEqual(lost.kind, StoreErrorKind.OUTCOME_UNKNOWN)
            self.assertEqual((await platform.store.get("route", "r")).value, b"one")

    async def test_a_platform_that_is_down_has_no_effect(self):
        async with serve_platform() as platform:
            platform.app.faults.set("test", {"down": True})
            down = await platform.store.put("route", "r", b"one", ABSENT_VERSION)
            self.assertEqual(down.kind, StoreErrorKind.UNAVAILABLE)
            self.assertEqual(platform.app.objects.version, ABSENT_VERSION)

    async def test_a_refused_connection_is_unavailable(self):
        listener = bind_listener("127.0.0.1", 0)
        address = format_address(listener)
        listener.close()
        client = PlatformClient(address, "test")
        refused = await HttpObjectStore(client).put("route", "r", b"", ABSENT_VERSION)
        await client.close()
        self.assertEqual(refused.kind, StoreErrorKind.UNAVAILABLE)

    async def test_a_watch_of_several_kinds_is_one_call_in_order_of_versions(self):
        async with serve_platform() as platform:
            for kind in ("route", "pool", "claim", "route"):
                await platform.store.put(kind, str(platform.app.objects.version), b"", 0)
            batch = await platform.store.watch_any(("route", "pool"), 1, 5.0)
            self.assertEqual([change.kind for change in batch.changes], ["pool", "route"])
            self.assertEqual(platform.app.calls["test", "watch"], 1)
            single = await ObjectStore.watch_any(platform.store, ("route", "pool"), 1, 5.0)
            self.assertEqual([change.kind for change in single.changes], ["pool", "route"])

    async def test_a_watch_wakes_for_a_later_write(self):
        async with serve_platform() as platform:
            batches = []

            async def watch():
                batches.append(await platform.store.watch("route", 0, 5.0))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch)
                await platform.store.put("route", "r", b"one", ABSENT_VERSION)
            self.assertEqual(batches[0].changes[0].value, b"one")

    async def test_a_watch_from_forgotten_history_says_so(self):
        async with serve_platform(kept_changes=2) as platform:
            for number in range(4):
                await platform.store.put("route", str(number), b"", ABSENT_VERSION)
            self.assertTrue((await platform.store.watch("route", 1, 0.0)).truncated)
            self.assertFalse((await platform.store.watch("route", 2, 0.0)).truncated)

    async def test_the_instance_list_lags(self):
        async with serve_platform() as platform:
            instances = HttpInstanceList(platform.client)
            document = {"name": "i", "role": "entry", "address": "a:1", "state": "live"}
            platform.app.instances.set({**document, "failure_domain": "fd1"})
            self.assertEqual((await instances.instances())[0].name, "i")
            platform.app.instances.lag_s = 60.0
            self.assertEqual(await instances.instances(), ())


if __name__ == "__main__":
    unittest.main()
