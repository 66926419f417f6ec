"""Follows all objects of a kind on the platform's store."""

from __future__ import annotations

import abc
import random
import time
from collections.abc import Callable

import anyio

from bronzerudder.observability.event_log import EventLog
from bronzerudder.platform.api import Change, Listing, ObjectStore
from bronzerudder.platform.errors import StoreError

WATCH_S = 3.0
"""Length of a watch. The store counts each, but one that it has silently dropped is only found at
its end, and changes must be in force 5 s after the store is sound again."""
FIRST_RETRY_S = 0.05
MAX_RETRY_S = 0.4
"""Longest pause between calls to a store that is away; it must be found again within a second."""
RETRY_GROWTH = 2.0
GATHER_S = 0.2
"""Pause after a change. Changes come in bursts, as when many backend servers start, and each would
answer the watches of all gateways; the next watch then brings them together."""


class KindListener(abc.ABC):
    """Takes in what a follower reads."""

    @abc.abstractmethod
    def take_listing(self, listing: Listing, after_outage: bool) -> None:
        """Take in all objects; those that are not among them are gone.

        Parameters
        ----------
        after_outage : bool
            Whether the store was away until just now.
        """

    @abc.abstractmethod
    def take_change(self, change: Change, after_outage: bool) -> None:
        """Take in one write or deletion."""


class KindFollower:
    """Lists a kind, then watches it, for ever.

    Parameters
    ----------
    store : ObjectStore
        What is followed.
    kind : str
        Kind of the objects.
    listener : KindListener
        Takes in what is read.
    log : EventLog
        Says when the store was lost and regained.
    on_known : callable
        Called after each time that the whole kind was read.
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        listener: KindListener,
        log: EventLog,
        on_known: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_known = on_known
        self._store = store
        self._kind = kind
        self._listener = listener
        self._log = log
        self._contact_at_s: float | None = None
        self._lost = False
        self._retry_s = FIRST_RETRY_S

    @property
    def known(self) -> bool:
        """Whether the kind was ever read."""
        return self._contact_at_s is not None

    @property
    def lost(self) -> bool:
        """Whether the last call failed."""
        return self._lost

    def age_s(self) -> float:
        """Seconds since the store last answered; infinite before the first answer."""
        if self._contact_at_s is None:
            return float("inf")
        return time.monotonic() - self._contact_at_s

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            listing = await self._store.list(self._kind)
            if isinstance(listing, StoreError):
                await self._wait_after(listing)
                continue
            after_outage = self._note_contact()
            self._listener.take_listing(listing, after_outage)
            self._on_known()
            await self._watch_from(listing.version)

    async def _watch_from(self, version: int) -> None:
        """Watch until the history that is needed is gone, or a watch fails.

        After a failure the whole kind is read again: a store that drops its history may have told
        an earlier watch of a version without the changes up to it.
        """
        while True:
            batch = await self._store.watch(self._kind, version, WATCH_S)
            if isinstance(batch, StoreError):
                await self._wait_after(batch)
                return
            after_outage = self._note_contact()
            if batch.truncated:
                self._log.state("history lost", kind=self._kind, version=version)
                return
            for change in batch.changes:
                self._listener.take_change(change, after_outage)
            version = batch.version
            if batch.changes:
                await anyio.sleep(GATHER_S)

    async def _wait_after(self, error: StoreError) -> None:
        if not self._lost:
            self._lost = True
            self._log.state("store lost", kind=self._kind, reason=error.reason)
        await anyio.sleep(self._retry_s * random.uniform(0.5, 1.0))
        self._retry_s = min(MAX_RETRY_S, self._retry_s * RETRY_GROWTH)

    def _note_contact(self) -> bool:
        was_lost = self._lost
        if was_lost:
            self._log.state("store regained", kind=self._kind, age_s=round(self.age_s(), 2))
        self._lost = False
        self._retry_s = FIRST_RETRY_S
        self._contact_at_s = time.monotonic()
        return was_lost
