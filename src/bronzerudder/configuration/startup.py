"""Loads the first configuration of a starting process, and decides when it is ready to serve.

A process that serves without an edit accepted before its start would revert it for its callers.
"""

from __future__ import annotations

import anyio

from bronzerudder.configuration.backoff import Backoff
from bronzerudder.configuration.errors import ConfigurationError, ConfigurationErrorKind
from bronzerudder.configuration.peers import PeerClient
from bronzerudder.configuration.repository import ConfigurationRepository, Root
from bronzerudder.configuration.shared import SharedConfiguration

STARTUP_PUSH_TIMEOUT_S = 1.5
PEER_REPORT_DELAY_S = 0.75
"""Time in seconds for connected peers that are ahead to push; longer than a heartbeat interval."""


class Startup:
    """Reads the platform's root, and the state at its base revision from peers if possible.

    Parameters
    ----------
    repository : ConfigurationRepository
        The configuration on the platform.
    shared : SharedConfiguration
        Receives the loaded configuration.
    client : PeerClient
        Connections to peers.
    seeds : tuple of str
        gRPC addresses of peers to query, as given in the settings; may be empty.
    ready : anyio.Event
        Set once the process may serve.
    receives_pushes : bool
        Whether peers push to this process, so that waiting for a push may save platform calls.
    """

    def __init__(
        self,
        repository: ConfigurationRepository,
        shared: SharedConfiguration,
        client: PeerClient,
        seeds: tuple[str, ...],
        ready: anyio.Event,
        receives_pushes: bool,
    ) -> None:
        self._repository = repository
        self._shared = shared
        self._client = client
        self._seeds = seeds
        self._ready = ready
        self._receives_pushes = receives_pushes

    async def run(self, backoff: Backoff) -> Root:
        """Load the platform's revision, retrying until it succeeds; return its root.

        While the platform is down, the process becomes ready with its peers' revision: they have
        every accepted edit, since none is accepted without the platform.
        """
        while True:
            root = await self._repository.read_root()
            if isinstance(root, ConfigurationError):
                await self._load_from_peers()
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
            await self.fetch_from_seeds()
            await self._wait_for_push(base_revision - 1)
        return await self._repository.load(root, self._shared)

    async def _load_from_peers(self) -> None:
        await self.fetch_from_seeds()
        await self._wait_for_push(0)
        if self._shared.revision == 0:
            return
        if self._receives_pushes:
            # The first peer to push may itself be behind; every connected peer exchanges
            # revisions with this process within a heartbeat, and pushes if it is ahead.
            await anyio.sleep(PEER_REPORT_DELAY_S)
        self._ready.set()

    async def _wait_for_push(self, revision: int) -> None:
        if not self._receives_pushes:
            return
        with anyio.move_on_after(STARTUP_PUSH_TIMEOUT_S):
            await self._shared.wait_newer(revision)

    async def fetch_from_seeds(self) -> None:
        """Fetch from the seed with the highest revision; from the next one if that fails."""
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
