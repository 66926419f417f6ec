"""Follows all objects of a kind on the platform's store by listing and watching."""

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
"""Length of a watch. The store limits calls, but a watch that it silently dropped is only detected
at its end, and changes must be in force 5 s after the store has recovered."""
FIRST_RETRY_S = 0.05
MAX_RETRY_S = 0.4
"""Longest pause between calls to an unavailable store; recovery must be seen within a second."""
RETRY_GROWTH = 2.0
BATCH_PAUSE_S = 0.2
"""Pause after a change. Changes come in bursts, as when many backend servers start, and each would
end the watches of all gateways; after the pause one watch returns them together."""


class KindListener(abc.ABC):
    """Receives the listings and changes that a follower reads."""

    @abc.abstractmethod
    def apply_listing(self, listing: Listing, after_outage: bool) -> None:
        """Handle a listing of all objects; those that are not listed were removed.

        Parameters
        ----------
        after_outage : bool
            Whether this is the first contact after an outage of the store.
        """

    @abc.abstractmethod
    def apply_change(self, change: Change, after_outage: bool) -> None:
        """Handle one write or deletion."""


class KindFollower:
    """Lists a kind, then watches it, until cancelled.

    Parameters
    ----------
    store : ObjectStore
        Store to read from.
    kind : str
        Kind of the objects.
    listener : KindListener
        Receives listings and changes.
    log : EventLog
        Takes a line when the store is lost and regained.
    on_listed : callable
        Called after each complete listing.
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        listener: KindListener,
        log: EventLog,
        on_listed: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_listed = on_listed
        self._store = store
        self._kind = kind
        self._listener = listener
        self._log = log
        self._last_contact_at_s: float | None = None
        self._store_lost = False
        self._retry_s = FIRST_RETRY_S

    @property
    def was_listed(self) -> bool:
        """Whether the kind was listed at least once."""
        return self._last_contact_at_s is not None

    @property
    def store_lost(self) -> bool:
        """Whether the last call failed."""
        return self._store_lost

    def age_s(self) -> float:
        """Seconds since the store last answered; infinite before the first answer."""
        if self._last_contact_at_s is None:
            return float("inf")
        return time.monotonic() - self._last_contact_at_s

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            listing = await self._store.list(self._kind)
            if isinstance(listing, StoreError):
                await self._back_off(listing)
                continue
            after_outage = self._record_contact()
            self._listener.apply_listing(listing, after_outage)
            self._on_listed()
            await self._watch_from(listing.version)

    async def _watch_from(self, version: int) -> None:
        """Watch until a watch fails or its history is truncated.

        After a failure the kind is listed again: a store that drops its history may have returned
        a version to an earlier watch without the changes up to it.
        """
        while True:
            batch = await self._store.watch(self._kind, version, WATCH_S)
            if isinstance(batch, StoreError):
                await self._back_off(batch)
                return
            after_outage = self._record_contact()
            if batch.truncated:
                self._log.state("watch history truncated", kind=self._kind, version=version)
                return
            for change in batch.changes:
                self._listener.apply_change(change, after_outage)
            version = batch.version
            if batch.changes:
                await anyio.sleep(BATCH_PAUSE_S)

    async def _back_off(self, error: StoreError) -> None:
        if not self._store_lost:
            self._store_lost = True
            self._log.state("store lost", kind=self._kind, reason=error.reason)
        await anyio.sleep(self._retry_s * random.uniform(0.5, 1.0))
        self._retry_s = min(MAX_RETRY_S, self._retry_s * RETRY_GROWTH)

    def _record_contact(self) -> bool:
        was_store_lost = self._store_lost
        if was_store_lost:
            self._log.state("store regained", kind=self._kind, age_s=round(self.age_s(), 2))
        self._store_lost = False
        self._retry_s = FIRST_RETRY_S
        self._last_contact_at_s = time.monotonic()
        return was_store_lost
