"""Follows the configuration on the platform and shares it with peers; used by entries.

One long poll watches rows and root, at first from the version up to which edits are decided. If the
platform no longer has all changes since the version reached, root and rows are read again, so that
no edit is left undecided.
"""

from __future__ import annotations

import random

import anyio
from absl import logging

from bronzerudder.configuration.api import ConfigurationSource
from bronzerudder.configuration.backoff import Backoff
from bronzerudder.configuration.documents import ROOT_KIND, ROOT_NAME
from bronzerudder.configuration.edits import ROW_KINDS, edits_from_listings
from bronzerudder.configuration.errors import ConfigurationError
from bronzerudder.configuration.peers import PeerClient
from bronzerudder.configuration.recorder import Recorder
from bronzerudder.configuration.repository import ConfigurationRepository, decode_root
from bronzerudder.configuration.rows import Edit, RowKey
from bronzerudder.configuration.shared import SharedConfiguration
from bronzerudder.configuration.startup import Startup
from bronzerudder.configuration.synchronizer import PeerSynchronizer
from bronzerudder.platform import Change, ChangeBatch, ObjectStore, StoreError

WATCH_TIMEOUT_S = 10.0
WATCHED_KINDS = (*ROW_KINDS, ROOT_KIND)


class PlatformConfigurationSource(ConfigurationSource):
    """Watches rows and root in one long poll, records edits, and synchronizes with peers.

    Parameters
    ----------
    shared : SharedConfiguration
        The configuration in force.
    store : ObjectStore
        The platform's store.
    process_name : str
        Stored with the revisions that this process records.
    seeds : tuple of str
        gRPC addresses of peers to query while the platform is down.
    random_source : random.Random
        Source of jitter for retries, recordings and pushes.
    """

    def __init__(
        self,
        shared: SharedConfiguration,
        store: ObjectStore,
        process_name: str,
        seeds: tuple[str, ...] = (),
        random_source: random.Random | None = None,
    ) -> None:
        super().__init__(shared)
        source = random_source or random.Random()
        self._store = store
        self._repository = ConfigurationRepository(store, process_name)
        self._client = PeerClient(shared)
        self._synchronizer = PeerSynchronizer(shared, self._client, source)
        self._recorder = Recorder(self._repository, shared, source)
        self._backoff = Backoff(source)
        self._startup = Startup(
            self._repository, shared, self._client, seeds, self._ready, receives_pushes=False
        )
        self._cursor = 0

    async def run(self) -> None:
        """Keep up to date, record edits and serve peers until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._synchronizer.run)
                root = await self._startup.run(self._backoff)
                await self._recorder.adopt(root)
                self._cursor = root.document["rows_version"]
                tasks.start_soon(self._recorder.run)
                await self._watch()
        finally:
            with anyio.CancelScope(shield=True):
                await self._client.close_all()

    def observe(self, address: str, revision: int) -> None:
        """Record a peer's revision; ``address`` is its gRPC ``host:port``."""
        self._synchronizer.observe(address, revision)

    def forget(self, address: str) -> None:
        """Drop the recorded revision of a peer whose stream has closed."""
        self._synchronizer.forget(address)

    async def _watch(self) -> None:
        while True:
            batch = await self._store.watch_any(WATCHED_KINDS, self._cursor, WATCH_TIMEOUT_S)
            if isinstance(batch, StoreError):
                logging.info("watch of the platform failed: %s", batch.reason)
                await self._backoff.wait()
                continue
            failure = await (self._relist() if batch.truncated else self._handle_batch(batch))
            if failure is None:
                self._backoff.reset()
                continue
            logging.warning("changes seen on the platform not applied: %s", failure.reason)
            await self._backoff.wait()

    async def _handle_batch(self, batch: ChangeBatch) -> ConfigurationError | None:
        roots = [change for change in batch.changes if change.kind == ROOT_KIND]
        self._recorder.edits.add(
            _edit_from_change(change) for change in batch.changes if change.kind in ROW_KINDS
        )
        if roots:
            failure = await self._handle_root(roots[-1])
            if failure is not None:
                return failure
        self._cursor = batch.version
        return None

    async def _handle_root(self, change: Change) -> ConfigurationError | None:
        if change.name != ROOT_NAME or change.value is None:
            return None
        root = decode_root(change.version, change.value)
        if isinstance(root, ConfigurationError):
            return root
        failure = await self._recorder.adopt(root)
        if failure is None:
            return None
        return await self._recorder.refresh()

    async def _relist(self) -> ConfigurationError | None:
        failure = await self._recorder.refresh()
        if failure is not None:
            return failure
        pool_kind, route_kind = ROW_KINDS
        pools = await self._store.list(pool_kind)
        if isinstance(pools, StoreError):
            return ConfigurationError.from_store(pools)
        routes = await self._store.list(route_kind)
        if isinstance(routes, StoreError):
            return ConfigurationError.from_store(routes)
        snapshot = self._shared.snapshot
        self._recorder.edits.add(edits_from_listings(snapshot, routes, pools))
        self._cursor = min(routes.version, pools.version)
        return None


def _edit_from_change(change: Change) -> Edit:
    return Edit(RowKey(change.kind, change.name), change.version, change.value)
