"""Tests of calls to peers."""

from __future__ import annotations

import unittest

import anyio

from bronzerudder.configuration import ConfigurationError, SharedConfiguration
from bronzerudder.configuration.peers import PeerClient
from bronzerudder.web import bind_listener, format_address

TIMEOUT_S = 5.0


class PeerClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_closing_a_connection_under_a_call_ends_that_call_alone(self):
        listener = bind_listener("127.0.0.1", 0)
        self.addCleanup(listener.close)
        address = format_address(listener)
        client = PeerClient(SharedConfiguration())
        replies = []

        async def describe():
            replies.append(await client.describe(address))

        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(describe)
                await anyio.sleep(0.05)
                await client.close(address)
                while not replies:
                    await anyio.sleep(0.01)
        self.assertIsInstance(replies[0], ConfigurationError)


if __name__ == "__main__":
    unittest.main()
