"""Tests of the list of gateways on the store."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

import anyio
import msgspec

from bronzerudder.clock import elapsed_s
from bronzerudder.http1 import listen
from bronzerudder.peers import registry
from bronzerudder.peers.registry import GATEWAY_KIND, GatewayRegistry
from bronzerudder.platform.object_api import RemoteObjectStore
from bronzerudder.policy.retry import LeasedDivision
from bronzerudder.standin.fleet import StandinStore
from tests.platform.unreadable import UNREADABLE_VALUES

TIMEOUT_S = 5.0
ADDRESSES = ("10.0.0.1:70", "10.0.0.2:70")


class GatewayRegistryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin = StandinStore()
        listener = listen("127.0.0.1:0")
        self.addCleanup(listener.close)
        self.addCleanup(asyncio.create_task(self.standin.server.serve(listener)).cancel)
        self.log = mock.Mock()
        self.store = RemoteObjectStore(f"127.0.0.1:{listener.getsockname()[1]}")
        self.registry = GatewayRegistry(self.store, self.log)
        for name in ("READ_INTERVAL_S", "MEMBER_READ_INTERVAL_S", "STARTUP_READ_INTERVAL_S"):
            self.enterContext(mock.patch.object(registry, name, 0.05))

    async def test_entries_that_name_no_address_do_not_count_as_gateways(self):
        for number, value in enumerate(UNREADABLE_VALUES):
            self.standin.put(GATEWAY_KIND, f"a-{number}", msgspec.Raw(value))
        for address in ADDRESSES:
            self.standin.put(GATEWAY_KIND, address, {"address": address})
        self.addCleanup(asyncio.create_task(self.registry.run()).cancel)
        with anyio.fail_after(TIMEOUT_S):
            while self.registry.addresses != ADDRESSES:
                await anyio.sleep(0.01)
        await anyio.sleep(0.3)
        ignored = [call for call in self.log.state.mock_calls if "ignored" in call.args[0]]
        self.assertEqual(len(ignored), len(UNREADABLE_VALUES))

    async def start_member(self):
        """Start a registry that divides a budget and registers the first address."""
        self.division = LeasedDivision(ADDRESSES[0], 10.0)
        member = GatewayRegistry(self.store, self.log, self.division)
        await member.register(ADDRESSES[0])
        self.addCleanup(asyncio.create_task(member.run()).cancel)
        await self.wait_until(lambda: member.addresses == ADDRESSES[:1])
        return member

    async def wait_until(self, condition):
        with anyio.fail_after(TIMEOUT_S):
            while not condition():
                await anyio.sleep(0.01)

    async def test_an_entry_that_the_store_has_lost_is_written_again(self):
        member = await self.start_member()
        self.standin.remove(GATEWAY_KIND, ADDRESSES[0])
        await self.wait_until(lambda: not member.addresses)
        await self.wait_until(lambda: member.addresses == ADDRESSES[:1])

    async def test_a_gateway_that_stops_does_not_register_again(self):
        member = await self.start_member()
        await member.unregister(ADDRESSES[0])
        await self.wait_until(lambda: not member.addresses)
        await anyio.sleep(0.3)
        self.assertEqual(member.addresses, ())

    async def test_only_lists_by_which_a_budget_is_divided_must_be_current(self):
        await self.start_member()
        self.assertFalse(any("stale_ok" in call for call in self.standin.calls))
        self.standin.calls.clear()
        self.addCleanup(asyncio.create_task(self.registry.run()).cancel)
        await self.wait_until(lambda: self.registry.addresses)
        self.assertTrue(any("stale_ok" in call for call in self.standin.calls))

    async def test_a_list_that_cannot_be_read_gives_no_lease(self):
        await self.start_member()
        self.standin.refuse_with = 503
        await anyio.sleep(0.2)
        age_s = self.division.list_age_s(elapsed_s())
        await anyio.sleep(0.2)
        self.assertGreater(self.division.list_age_s(elapsed_s()), age_s + 0.15)


if __name__ == "__main__":
    unittest.main()
