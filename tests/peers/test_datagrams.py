"""Tests of the datagrams between processes."""

from __future__ import annotations

import unittest

import anyio

from bronzerudder.http1 import parse_address
from bronzerudder.peers.datagrams import DatagramPort
from bronzerudder.peers.messages import CrashSeen

MESSAGE = CrashSeen("c", [])
MESSAGES_AT_MOST = 1_000


class DatagramPortTest(unittest.IsolatedAsyncioTestCase):
    async def test_datagrams_without_end_do_not_suspend_time_limits(self):
        port = DatagramPort("127.0.0.1:0")
        self.addCleanup(port._socket.close)
        address = "{}:{}".format(*port._socket.getsockname())
        received = 0

        def send_another(message):
            nonlocal received
            received += 1
            if received < MESSAGES_AT_MOST:
                port.send(message, [address])

        port.send(MESSAGE, [address])
        with anyio.move_on_after(0.0):
            await port.run(send_another)
        self.assertLess(received, MESSAGES_AT_MOST)

    async def test_an_address_that_is_none_does_not_stop_the_port(self):
        port = DatagramPort("127.0.0.1:0")
        self.addCleanup(port._socket.close)
        malformed = ("", "x", "1.2.3.4:x", "1.2.3.4:99999", "host:1", "\0:1", "1.2.3.4:" + "1" * 99)
        port.send(MESSAGE, malformed)
        self.assertEqual(port.unsent, len(malformed))
        self.assertEqual(parse_address("10.0.0.1:7000"), ("10.0.0.1", 7000))


if __name__ == "__main__":
    unittest.main()
