"""Sends and receives messages as UDP datagrams."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable

import anyio
from absl import logging

from bronzerudder.peers.messages import Message, decode_message, encode_message

MAX_DATAGRAM_BYTES = 65_536


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
            host, _, port = address.rpartition(":")
            try:
                self._socket.sendto(data, (host, int(port)))
            except OSError:
                # Same as a lost datagram, which receivers tolerate.
                self._unsent += 1

    async def run(self, on_message: Callable[[Message], None]) -> None:
        """Call `on_message` with each message received, until cancelled."""
        while True:
            try:
                data = self._socket.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                await anyio.wait_readable(self._socket)
                continue
            except OSError as error:
                logging.warning("datagram not received: %s", error)
                continue
            message = decode_message(data)
            if message is not None:
                on_message(message)
