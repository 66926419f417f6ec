"""Sends and receives messages as UDP datagrams."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable

import anyio
import anyio.lowlevel
from absl import logging

from bronzerudder.http1 import parse_address
from bronzerudder.peers.messages import Message, decode_message, encode_message

MAX_DATAGRAM_BYTES = 65_536
MAX_IMMEDIATE_READS = 32
"""Datagrams that are handled before other tasks run; a flood of them would hold the event loop."""


class DatagramPort:
    """A UDP socket for peer messages.

    Parameters
    ----------
    address : str
        ``host:port`` to bind; port 0 picks a free one.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, int(port)))
        self._unsent = 0

    @property
    def unsent(self) -> int:
        """Datagrams that could not be sent."""
        return self._unsent

    def send(self, message: Message, addresses: Iterable[str]) -> None:
        """Send a message to each address; it may be lost."""
        data = encode_message(message)
        for address in addresses:
            receiver = parse_address(address)
            if receiver is None:
                self._unsent += 1
                continue
            try:
                self._socket.sendto(data, receiver)
            except OSError:
                # Same as a lost datagram, which receivers tolerate.
                self._unsent += 1

    async def run(self, on_message: Callable[[Message], None]) -> None:
        """Call `on_message` with each message received, until cancelled."""
        immediate_reads = 0
        while True:
            immediate_reads += 1
            if immediate_reads > MAX_IMMEDIATE_READS:
                immediate_reads = 0
                await anyio.lowlevel.checkpoint()
            try:
                data = self._socket.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                immediate_reads = 0
                await anyio.wait_readable(self._socket)
                continue
            except OSError as error:
                logging.warning("datagram not received: %s", error)
                continue
            message = decode_message(data)
            if message is not None:
                on_message(message)
