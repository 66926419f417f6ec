"""Registry of the gateways, kept on the platform's store."""

from __future__ import annotations

import random

import anyio
import msgspec

from bronzerudder.clock import elapsed_s
from bronzerudder.http1 import parse_address
from bronzerudder.observability.event_log import EventLog
from bronzerudder.observability.ignored_entries import IgnoredEntries
from bronzerudder.platform.api import ABSENT_VERSION, Listing, ObjectStore
from bronzerudder.platform.errors import StoreError, StoreErrorKind
from bronzerudder.policy.retry import LeasedDivision

GATEWAY_KIND = "bronzerudder-gateways"
READ_INTERVAL_S = 4.0
"""Where only messages are sent by the list: stale reads suffice, and cost a tenth of a call."""
MEMBER_READ_INTERVAL_S = 2.0
"""Gateways divide budgets by the list, which holds only for some seconds (see `LeasedDivision`)."""
STARTUP_READ_INTERVAL_S = 1.0
RETRY_S = 0.5


class _Document(msgspec.Struct):
    address: str


class GatewayRegistry:
    """Reads the list of gateways, and keeps the entry of this process if it is one.

    The entry of a crashed gateway remains. It costs the others a part of the retry budget and an
    occasional datagram.

    Parameters
    ----------
    store : ObjectStore
        Store that holds the list.
    log : EventLog
        Takes a line for each change.
    division : LeasedDivision or None
        Gets each list that is read; None if no budget is divided by it.
    """

    def __init__(
        self, store: ObjectStore, log: EventLog, division: LeasedDivision | None = None
    ) -> None:
        self._store = store
        self._log = log
        self._division = division
        self._ignored = IgnoredEntries(log, "gateway entry ignored")
        self._addresses: tuple[str, ...] = ()
        self._registered = ""

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses at which the gateways receive messages."""
        return self._addresses

    async def register(self, address: str) -> None:
        """Register this process; retry until the store has accepted the entry."""
        while True:
            if await self._write_entry(address):
                self._registered = address
                return
            await anyio.sleep(RETRY_S * random.uniform(0.5, 1.5))

    async def unregister(self, address: str) -> None:
        """Remove this process from the list."""
        self._registered = ""
        stored = await self._store.get(GATEWAY_KIND, address)
        if isinstance(stored, StoreError):
            return
        await self._store.delete(GATEWAY_KIND, address, stored.version)

    async def run(self) -> None:
        """Read the list periodically, until cancelled."""
        pause_s = STARTUP_READ_INTERVAL_S
        while True:
            await anyio.sleep(pause_s * random.uniform(0.8, 1.2))
            pause_s = READ_INTERVAL_S if self._division is None else MEMBER_READ_INTERVAL_S
            asked_at_s = elapsed_s()
            # A budget is divided by it, and a stale list could lack gateways that have a part.
            listing = await self._store.list(GATEWAY_KIND, stale=self._division is None)
            if isinstance(listing, StoreError):
                continue
            found = self._addresses_of(listing)
            if not found:
                pause_s = STARTUP_READ_INTERVAL_S
            if self._division is not None:
                self._division.record_list(found, asked_at_s, elapsed_s())
            if found != self._addresses:
                self._addresses = found
                self._log.state("list of gateways changed", count=len(found))
            if self._registered and self._registered not in found:
                # A store that comes back from an older copy has lost what was written since.
                self._log.state("gateway not listed any more, registering again")
                await self._write_entry(self._registered)

    async def _write_entry(self, address: str) -> bool:
        """Write this process's entry; return whether it is on the list."""
        value = msgspec.json.encode(_Document(address))
        written = await self._store.put(GATEWAY_KIND, address, value, ABSENT_VERSION)
        if not isinstance(written, StoreError) or written.kind is StoreErrorKind.CONFLICT:
            return True
        self._log.state("gateway not registered", reason=written.reason)
        return False

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
