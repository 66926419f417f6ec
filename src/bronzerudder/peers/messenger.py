"""Sends messages to the other gateways."""

from __future__ import annotations

import abc
import random

from bronzerudder.peers.datagrams import DatagramPort
from bronzerudder.peers.messages import Message
from bronzerudder.peers.registry import GatewayRegistry


class GatewayMessenger(abc.ABC):
    """Sends messages to the other gateways; any of them may be lost."""

    @property
    @abc.abstractmethod
    def address(self) -> str:
        """Address at which this gateway receives messages."""

    @abc.abstractmethod
    def send_to_all(self, message: Message) -> None:
        """Send a message to every other gateway."""

    @abc.abstractmethod
    def send_to_some(self, message: Message, count: int) -> None:
        """Send a message to that many other gateways, chosen at random."""

    @abc.abstractmethod
    def send_to(self, message: Message, address: str) -> None:
        """Send a message to one gateway."""


class DatagramMessenger(GatewayMessenger):
    """Sends datagrams to the gateways in the registry.

    Parameters
    ----------
    port : DatagramPort
        Port to send from.
    registry : GatewayRegistry
        Lists the gateways.
    address : str
        Address of this gateway in the registry.
    """

    def __init__(self, port: DatagramPort, registry: GatewayRegistry, address: str) -> None:
        self._port = port
        self._registry = registry
        self._address = address

    @property
    def address(self) -> str:
        """Address at which this gateway receives messages."""
        return self._address

    def send_to_all(self, message: Message) -> None:
        """Send a message to every other gateway."""
        self._port.send(message, self._others())

    def send_to_some(self, message: Message, count: int) -> None:
        """Send a message to that many other gateways, chosen at random."""
        others = self._others()
        self._port.send(message, random.sample(others, min(count, len(others))))

    def send_to(self, message: Message, address: str) -> None:
        """Send a message to one gateway."""
        self._port.send(message, (address,))

    def _others(self) -> list[str]:
        return [address for address in self._registry.addresses if address != self._address]
