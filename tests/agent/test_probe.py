"""Tests of the probe of an agent's address."""

from __future__ import annotations

import unittest

from bronzerudder.agent.probe import refuses_connections
from bronzerudder.web import bind_listener, format_address


class IsRefusedTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_listening_address_does_not_refuse(self):
        listener = bind_listener("127.0.0.1", 0)
        self.addCleanup(listener.close)
        self.assertFalse(await refuses_connections(format_address(listener)))

    async def test_an_address_without_a_listener_refuses(self):
        listener = bind_listener("127.0.0.1", 0)
        address = format_address(listener)
        listener.close()
        self.assertTrue(await refuses_connections(address))


if __name__ == "__main__":
    unittest.main()
