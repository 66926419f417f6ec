"""Brings a process that has just started to a revision it may serve with."""

from __future__ import annotations

import anyio

from bronzerudder.configuration.backoff import Backoff
from bronzerudder.configuration.errors import ConfigurationError, ConfigurationErrorKind
from bronzerudder.configuration.peers import PeerClient
from bronzerudder.configuration.repository import ConfigurationRepository, Root
from bronzerudder.configuration.shared import SharedConfiguration

PEER_WAIT_S = 1.5
PEER_SETTLE_S = 0.75


class Startup:
    """Reads the root once, and the bulk of the configuration from peers where it can.

    Parameters
    ----------
    repository : ConfigurationRepository
        The configuration on the platform.
    shared : SharedConfiguration
        Takes what was learned.
    client : PeerClient
        Connections to peers.
    seeds : tuple of str
        gRPC addresses of peers to ask, as the settings give them; may be empty.
    ready : anyio.Event
        Set once the process may serve.
    is_pushed_to : bool
        Whether peers push to this process, so that waiting for them may save calls.
    """

    def __init__(
        self,
        repository: ConfigurationRepository,
        shared: SharedConfiguration,
        client: PeerClient,
        seeds: tuple[str, ...],
        ready: anyio.Event,
        is_pushed_to: bool,
    ) -> None:
        self._repository = repository
        self._shared = shared
        self._client = client
        self._seeds = seeds
        self._ready = ready
        self._is_pushed_to = is_pushed_to

    async def run(self, backoff: Backoff) -> Root:
        """Load the platform's revision, for as long as that takes; return its root.

        While the platform is down the process becomes ready with what its peers have; what was
        accepted is known to them, since nothing is accepted without the platform.
        """
        while True:
            root = await self._repository.read_root()
            if isinstance(root, ConfigurationError):
                await self._learn_from_peers()
                await backoff.wait()
                continue
            failure = await self._load(root)
            if failure is None:
                backoff.reset()
                self._ready.set()
                return root
            if failure.kind is not ConfigurationErrorKind.SUPERSEDED:
                await backoff.wait()

    async def _load(self, root: Root) -> ConfigurationError | None:
        base_revision = root.document["base_revision"]
        if self._shared.revision < base_revision:
            await self.ask_seeds()
            await self._wait_pushed(base_revision - 1)
        return await self._repository.load(root, self._shared)

    async def _learn_from_peers(self) -> None:
        await self.ask_seeds()
        await self._wait_pushed(0)
        if self._shared.revision == 0:
            return
        if self._is_pushed_to:
            # The first to push may itself be behind; every connected peer shows its revision
            # within a heartbeat.
            await anyio.sleep(PEER_SETTLE_S)
        self._ready.set()

    async def _wait_pushed(self, revision: int) -> None:
        if not self._is_pushed_to:
            return
        with anyio.move_on_after(PEER_WAIT_S):
            await self._shared.wait_newer(revision)

    async def ask_seeds(self) -> None:
        """Fetch from the seed that is furthest ahead; from the next one if that fails."""
        revisions: dict[str, int] = {}

        async def describe(address: str) -> None:
            reply = await self._client.describe(address)
            if not isinstance(reply, ConfigurationError):
                revisions[address] = reply.revision

        async with anyio.create_task_group() as tasks:
            for address in self._seeds:
                tasks.start_soon(describe, address)
        for address in sorted(revisions, key=lambda seed: (-revisions[seed], seed)):
            if revisions[address] <= self._shared.revision:
                return
            await self._client.fetch(address)
