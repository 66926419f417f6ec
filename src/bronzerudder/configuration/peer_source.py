"""Receives the configuration from peers; used by agents, which never watch the platform.

Entries push each revision. An agent that an entry failed to reach falls back to its seeds, then to
the platform's root.
"""

from __future__ import annotations

import random

import anyio

from bronzerudder.configuration.api import ConfigurationSource
from bronzerudder.configuration.backoff import Backoff
from bronzerudder.configuration.errors import ConfigurationError
from bronzerudder.configuration.peers import PeerClient
from bronzerudder.configuration.repository import ConfigurationRepository
from bronzerudder.configuration.shared import SharedConfiguration
from bronzerudder.configuration.startup import Startup
from bronzerudder.platform import ObjectStore

PUSH_TIMEOUT_S = 1.0


class PeerConfigurationSource(ConfigurationSource):
    """Reads the platform's root once at start, then applies what entries push.

    If no push arrives within `PUSH_TIMEOUT_S` to twice that after a peer has announced a newer
    revision, it queries its seeds, then the platform.

    Parameters
    ----------
    shared : SharedConfiguration
        The configuration in force.
    store : ObjectStore
        The platform's store.
    process_name : str
        Name of this process.
    seeds : tuple of str
        gRPC addresses of peers to query; may be empty.
    random_source : random.Random
        Source of jitter for retries.
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
        self._repository = ConfigurationRepository(store, process_name)
        self._client = PeerClient(shared)
        self._random = random_source or random.Random()
        self._backoff = Backoff(self._random)
        self._startup = Startup(
            self._repository, shared, self._client, seeds, self._ready, receives_pushes=True
        )
        self._announced_revision = 0
        self._announced = anyio.Event()

    async def run(self) -> None:
        """Keep up to date until cancelled."""
        try:
            await self._startup.run(self._backoff)
            while True:
                await self._announced.wait()
                self._announced = anyio.Event()
                await self._catch_up()
        finally:
            with anyio.CancelScope(shield=True):
                await self._client.close_all()

    def observe(self, address: str, revision: int) -> None:
        """Record the revision that a peer has announced; no connection to it is opened."""
        if revision > max(self._announced_revision, self._shared.revision):
            self._announced_revision = revision
            self._announced.set()

    def forget(self, address: str) -> None:
        """Do nothing: this source connects to no peer but its seeds."""

    async def _catch_up(self) -> None:
        while self._shared.revision < self._announced_revision:
            # Jitter, as all agents that an entry failed to reach start to wait at the same moment.
            with anyio.move_on_after(PUSH_TIMEOUT_S * (1 + self._random.random())):
                await self._shared.wait_newer(self._announced_revision - 1)
                return
            await self._startup.fetch_from_seeds()
            if self._shared.revision >= self._announced_revision:
                return
            root = await self._repository.read_root()
            if isinstance(root, ConfigurationError):
                await self._backoff.wait()
                continue
            await self._repository.load(root, self._shared)
        self._backoff.reset()
