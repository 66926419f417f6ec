"""Tests of connections on non-blocking sockets."""

from __future__ import annotations

import contextlib
import errno
import socket
import unittest
from unittest import mock

import anyio

from bronzerudder.http1 import Connection, TransportError, connect

READS_AT_MOST = 1_000


def fill(sock: socket.socket) -> None:
    """Fill the send buffer of a socket."""
    with contextlib.suppress(BlockingIOError):
        while True:
            sock.send(b"x" * 65_536)


def discard(sock: socket.socket) -> None:
    """Read all bytes that a socket has received."""
    with contextlib.suppress(BlockingIOError):
        while sock.recv(65_536):
            pass


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        own, self.peer = socket.socketpair()
        for sock in (own, self.peer):
            sock.setblocking(False)
            self.addCleanup(sock.close)
        self.connection = Connection(own)

    async def test_a_peer_that_always_has_bytes_does_not_suspend_time_limits(self):
        with anyio.move_on_after(0.0) as scope:
            for _ in range(READS_AT_MOST):
                fill(self.peer)
                await self.connection.receive()
        self.assertTrue(scope.cancelled_caught, f"{READS_AT_MOST} reads without giving way")

    async def test_a_peer_that_always_reads_does_not_suspend_time_limits(self):
        with anyio.move_on_after(0.0) as scope:
            for _ in range(READS_AT_MOST):
                await self.connection.send(b"x" * 1_024)
                discard(self.peer)
        self.assertTrue(scope.cancelled_caught, f"{READS_AT_MOST} writes without giving way")


if __name__ == "__main__":
    unittest.main()


class ConnectTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_connection_for_which_no_descriptor_is_left_is_an_error_and_not_raised(self):
        with mock.patch("socket.socket", side_effect=OSError(errno.EMFILE, "too many files")):
            result = await connect("127.0.0.1:9", 1.0)
        self.assertEqual(result, TransportError("EMFILE"))
