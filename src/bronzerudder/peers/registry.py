"""Registry of the gateways, kept on the platform's store."""

from __future__ import annotations

import random

import anyio
import msgspec

from bronzerudder.http1 import parse_address
from bronzerudder.observability.event_log import EventLog
from bronzerudder.observability.ignored_entries import IgnoredEntries
from bronzerudder.platform.api import ABSENT_VERSION, Listing, ObjectStore
from bronzerudder.platform.errors import StoreError, StoreErrorKind

GATEWAY_KIND = "bronzerudder-gateways"
READ_INTERVAL_S = 4.0
"""Stale reads suffice and cost a tenth of a call; gateways change at most once a minute or so."""
STARTUP_READ_INTERVAL_S = 1.0
RETRY_S = 0.5


class _Document(msgspec.Struct):
    address: str


class GatewayRegistry:
    """Reads the list of gateways, and registers this process if it is one.

    The entry of a crashed gateway remains. It costs the others a share of the retry budget and an
    occasional datagram.

    Parameters
    ----------
    store : ObjectStore
        Store that holds the list.
    log : EventLog
        Takes a line for each change.
    """

    def __init__(self, store: ObjectStore, log: EventLog) -> None:
        self._store = store
        self._log = log
        self._ignored = IgnoredEntries(log, "gateway entry ignored")
        self._addresses: tuple[str, ...] = ()

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses at which the gateways receive messages."""
        return self._addresses

    async def register(self, address: str) -> None:
        """Register this process; retry until the store has accepted the entry."""
        value = msgspec.json.encode(_Document(address))
        while True:
            written = await self._store.put(GATEWAY_KIND, address, value, ABSENT_VERSION)
            if not isinstance(written, StoreError) or written.kind is StoreErrorKind.CONFLICT:
                return
            self._log.state("gateway not registered", reason=written.reason)
            await anyio.sleep(RETRY_S * random.uniform(0.5, 1.5))

    async def unregister(self, address: str) -> None:
        """Remove this process from the list."""
        stored = await self._store.get(GATEWAY_KIND, address)
        if isinstance(stored, StoreError):
            return
        await self._store.delete(GATEWAY_KIND, address, stored.version)

    async def run(self) -> None:
        """Read the list periodically, until cancelled."""
        pause_s = STARTUP_READ_INTERVAL_S
        while True:
            await anyio.sleep(pause_s * random.uniform(0.8, 1.2))
            pause_s = READ_INTERVAL_S
            listing = await self._store.list(GATEWAY_KIND, stale=True)
            if isinstance(listing, StoreError):
                continue
            found = self._addresses_of(listing)
            if not found:
                pause_s = STARTUP_READ_INTERVAL_S
            if found == self._addresses:
                continue
            self._addresses = found
            self._log.state("list of gateways changed", count=len(found))

    def _addresses_of(self, listing: Listing) -> tuple[str, ...]:
        """Addresses in a listing; the name of an entry is the address of its gateway."""
        names = sorted(stored.name for stored in listing.objects)
        self._ignored.keep(names)
        addresses = []
        for name in names:
            if parse_address(name) is None:
                self._ignored.add(name, "its name is no address")
                continue
            addresses.append(name)
        return tuple(addresses)
