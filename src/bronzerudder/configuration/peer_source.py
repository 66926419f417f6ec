"""Learns the configuration from peers: the source of an agent, which never watches."""

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

PUSH_WAIT_S = 1.0


class PeerConfigurationSource(ConfigurationSource):
    """Reads the platform's root once at start, then takes what entries push.

    Should a push fail to come after a peer has shown a newer revision, it asks its seeds, and
    last the platform.

    Parameters
    ----------
    shared : SharedConfiguration
        The configuration in force.
    store : ObjectStore
        The platform's store.
    process_name : str
        Name of this process.
    seeds : tuple of str
        gRPC addresses of peers to ask; may be empty.
    random_source : random.Random
        Spreads retries.
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
            self._repository, shared, self._client, seeds, self._ready, is_pushed_to=True
        )
        self._shown_revision = 0
        self._shown = anyio.Event()

    async def run(self) -> None:
        """Keep up to date until cancelled."""
        try:
            await self._startup.run(self._backoff)
            while True:
                await self._shown.wait()
                self._shown = anyio.Event()
                await self._catch_up()
        finally:
            with anyio.CancelScope(shield=True):
                await self._client.close_all()

    def observe(self, address: str, revision: int) -> None:
        """Note the revision that a peer has shown; entries are not dialled from here."""
        if revision > max(self._shown_revision, self._shared.revision):
            self._shown_revision = revision
            self._shown.set()

    def forget(self, address: str) -> None:
        """Do nothing: this source dials no peer but its seeds."""

    async def _catch_up(self) -> None:
        while self._shared.revision < self._shown_revision:
            # Spread, as every agent that an entry failed to reach waits from the same moment.
            with anyio.move_on_after(PUSH_WAIT_S * (1 + self._random.random())):
                await self._shared.wait_newer(self._shown_revision - 1)
                return
            await self._startup.ask_seeds()
            if self._shared.revision >= self._shown_revision:
                return
            root = await self._repository.read_root()
            if isinstance(root, ConfigurationError):
                await self._backoff.wait()
                continue
            await self._repository.load(root, self._shared)
        self._backoff.reset()
