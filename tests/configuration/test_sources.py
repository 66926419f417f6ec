"""Tests of the configuration sources of entry and agent against the stand-in platform."""

from __future__ import annotations

import contextlib
import unittest

from bronzerudder.configuration import ConfigurationError, ConfigurationErrorKind, RowKey
from bronzerudder.tables import POOL_KIND, ROUTE_KIND
from tests.configuration.processes import host, until
from tests.configuration.rows import pool, route
from tests.platform.serving import serve_platform


async def never_adopt(root):
    """Refuse to adopt any root."""
    return ConfigurationError(ConfigurationErrorKind.UNAVAILABLE, f"ignored {root.version}")


class SourcesTest(unittest.IsolatedAsyncioTestCase):
    async def test_edits_are_recorded_once_by_whichever_entry_and_reach_an_agent(self):
        async with contextlib.AsyncExitStack() as stack:
            platform = await stack.enter_async_context(serve_platform())
            entries = [
                await stack.enter_async_context(host(platform.address, f"entry{number}"))
                for number in range(3)
            ]
            agent = await stack.enter_async_context(host(platform.address, "agent", False))
            await agent.source.wait_ready()
            for entry in entries:
                await entry.source.wait_ready()
                entry.source.observe(agent.address, agent.source.revision)
            await platform.store.put(POOL_KIND, "p", pool(), 0)
            await platform.store.put(ROUTE_KIND, "r", route(), 0)
            hosted = [*entries, agent]
            await until(lambda: all(one.source.current.match("w", "/", "m") for one in hosted))
            revisions = {one.source.revision for one in hosted}
            self.assertEqual(len(revisions), 1)
            calls = platform.app.calls
            self.assertEqual(calls["agent", "get"], 1)
            self.assertEqual(calls["agent", "watch"] + calls["agent", "put"], 0)

    async def test_a_lost_answer_to_the_root_is_settled(self):
        async with serve_platform() as platform, host(platform.address, "entry") as entry:
            await entry.source.wait_ready()
            platform.app.faults.set("entry", {"lost_writes": 1})
            await platform.store.put(POOL_KIND, "p", pool(), 0)
            await until(lambda: RowKey(POOL_KIND, "p") in entry.source.current.rows)
            self.assertEqual(entry.source.revision, 1)

    async def test_while_the_platform_is_down_new_processes_start_from_peers(self):
        async with serve_platform() as platform, host(platform.address, "entry") as entry:
            await platform.store.put(POOL_KIND, "p", pool(), 0)
            await until(lambda: entry.source.revision == 1)
            platform.app.faults.set("*", {"down": True})
            async with (
                host(platform.address, "late-entry", True, (entry.address,)) as late_entry,
                host(platform.address, "late-agent", False) as late_agent,
            ):
                entry.source.observe(late_agent.address, 0)
                await late_entry.source.wait_ready()
                await late_agent.source.wait_ready()
                for late in (late_entry, late_agent):
                    self.assertIn(RowKey(POOL_KIND, "p"), late.source.current.rows)

    async def test_an_agent_that_a_stale_entry_reaches_first_is_ready_with_the_newer_revision(self):
        async with contextlib.AsyncExitStack() as stack:
            platform = await stack.enter_async_context(serve_platform())
            stale = await stack.enter_async_context(host(platform.address, "stale"))
            await platform.store.put(POOL_KIND, "p", pool(), 0)
            await until(lambda: stale.source.revision == 1)
            platform.app.faults.set("stale", {"stalled": True})
            # The pending watch was sent before the fault; its response must not update the entry.
            stale.source._recorder.adopt = never_adopt
            entry = await stack.enter_async_context(host(platform.address, "entry"))
            await platform.store.put(ROUTE_KIND, "r", route(), 0)
            await until(lambda: entry.source.revision == 2)
            platform.app.faults.set("*", {"down": True})
            agent = await stack.enter_async_context(host(platform.address, "agent", False))
            stale.source.observe(agent.address, 0)
            await until(lambda: agent.source.revision == 1)
            entry.source.observe(agent.address, 1)
            await agent.source.wait_ready()
            self.assertEqual(agent.source.revision, 2)

    async def test_an_entry_without_peers_is_not_ready_while_the_platform_is_down(self):
        async with serve_platform() as platform:
            platform.app.faults.set("*", {"down": True})
            async with host(platform.address, "entry") as entry:
                await until(lambda: platform.app.calls["entry", "get"] > 1)
                self.assertFalse(entry.source.is_ready)
                platform.app.faults.set("*", {})
                await entry.source.wait_ready()

    async def test_an_entry_cut_off_from_the_platform_catches_up_from_an_agent(self):
        async with contextlib.AsyncExitStack() as stack:
            platform = await stack.enter_async_context(serve_platform())
            cut = await stack.enter_async_context(host(platform.address, "cut"))
            entry = await stack.enter_async_context(host(platform.address, "entry"))
            agent = await stack.enter_async_context(host(platform.address, "agent", False))
            for one in (cut, entry, agent):
                await one.source.wait_ready()
            platform.app.faults.set("cut", {"stalled": True})
            entry.source.observe(agent.address, 0)
            await platform.store.put(POOL_KIND, "p", pool(), 0)
            await until(lambda: agent.source.revision == 1)
            cut.source.observe(agent.address, agent.source.revision)
            await until(lambda: cut.source.revision == 1)

    async def test_an_entry_that_starts_after_the_watch_forgot_decides_what_it_missed(self):
        async with serve_platform(kept_changes=4) as platform:
            async with host(platform.address, "first") as entry:
                version = await platform.store.put(POOL_KIND, "gone", pool(), 0)
                await until(lambda: entry.source.revision == 1)
            await platform.store.delete(POOL_KIND, "gone", version)
            await platform.store.put(POOL_KIND, "p", pool(), 0)
            for number in range(6):
                await platform.store.put("other", str(number), b"", 0)
            async with host(platform.address, "second") as entry:
                await until(lambda: entry.source.revision == 2)
                self.assertEqual(list(entry.source.current.rows.keys()), [RowKey(POOL_KIND, "p")])

    async def test_a_table_larger_than_one_object_is_split_and_loads_in_a_new_process(self):
        async with serve_platform() as platform:
            async with host(platform.address, "first") as entry:
                await platform.store.put(POOL_KIND, "p", pool(), 0)
                for number in range(40):
                    workspaces = [f"{number}-{index:0200d}"[-200:] for index in range(200)]
                    value = route(workspaces=workspaces)
                    await platform.store.put(ROUTE_KIND, str(number), value, 0)
                await until(lambda: len(entry.source.current.rows) == 41)
                snapshot = entry.source.current
            sizes = [len(one.value) for one in platform.app.objects.list("configuration").objects]
            self.assertLess(max(sizes), 1_000_000)
            self.assertGreater(len(platform.app.objects.list("configuration-part").objects), 8)
            async with host(platform.address, "second") as entry:
                await entry.source.wait_ready()
                for loaded, before in (
                    (entry.source.current.rows, snapshot.rows),
                    (entry.source.current.index.by_workspace, snapshot.index.by_workspace),
                ):
                    self.assertEqual(dict(loaded.items()), dict(before.items()))


if __name__ == "__main__":
    unittest.main()
