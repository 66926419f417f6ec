"""The list of gateways, kept on the platform's store."""

from __future__ import annotations

import random

import anyio
import msgspec

from bronzerudder.observability.event_log import EventLog
from bronzerudder.platform.api import ABSENT_VERSION, ObjectStore
from bronzerudder.platform.errors import StoreError, StoreErrorKind

GATEWAY_KIND = "bronzerudder-gateways"
READ_INTERVAL_S = 4.0
"""Reads may be stale, and cost a tenth of a call; gateways come and go by the minute."""
FIRST_READS_S = 1.0
RETRY_S = 0.5


class _Document(msgspec.Struct):
    address: str


class GatewayRegistry:
    """Reads which gateways there are, and enters this process where it is one.

    An entry of a gateway that died stays. It costs the others a part of the retry budget and a
    datagram now and then.

    Parameters
    ----------
    store : ObjectStore
        Where the list is kept.
    log : EventLog
        Takes a line for each change.
    """

    def __init__(self, store: ObjectStore, log: EventLog) -> None:
        self._store = store
        self._log = log
        self._addresses: tuple[str, ...] = ()

    @property
    def addresses(self) -> tuple[str, ...]:
        """Where the gateways take messages."""
        return self._addresses

    async def enter(self, address: str) -> None:
        """Enter this process, again and again until the store has taken it."""
        value = msgspec.json.encode(_Document(address))
        while True:
            written = await self._store.put(GATEWAY_KIND, address, value, ABSENT_VERSION)
            if not isinstance(written, StoreError) or written.kind is StoreErrorKind.CONFLICT:
                return
            self._log.state("not entered in the list of gateways", reason=written.reason)
            await anyio.sleep(RETRY_S * random.uniform(0.5, 1.5))

    async def leave(self, address: str) -> None:
        """Take this process off the list."""
        stored = await self._store.get(GATEWAY_KIND, address)
        if isinstance(stored, StoreError):
            return
        await self._store.delete(GATEWAY_KIND, address, stored.version)

    async def run(self) -> None:
        """Read the list for ever."""
        pause_s = FIRST_READS_S
        while True:
            await anyio.sleep(pause_s * random.uniform(0.8, 1.2))
            pause_s = READ_INTERVAL_S
            listing = await self._store.list(GATEWAY_KIND, stale=True)
            if isinstance(listing, StoreError):
                continue
            found = tuple(sorted(stored.name for stored in listing.objects))
            if not found:
                pause_s = FIRST_READS_S
            if found == self._addresses:
                continue
            self._addresses = found
            self._log.state("gateways known", count=len(found))
