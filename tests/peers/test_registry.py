"""Tests of the list of gateways on the store."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

import anyio
import msgspec

from bronzerudder.http1 import listen
from bronzerudder.peers import registry
from bronzerudder.peers.registry import GATEWAY_KIND, GatewayRegistry
from bronzerudder.platform.object_api import RemoteObjectStore
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
        store = RemoteObjectStore(f"127.0.0.1:{listener.getsockname()[1]}")
        self.registry = GatewayRegistry(store, self.log)
        for name in ("READ_INTERVAL_S", "STARTUP_READ_INTERVAL_S"):
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


if __name__ == "__main__":
    unittest.main()
