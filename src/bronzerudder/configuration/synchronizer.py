"""Brings an entry and the agents it exchanges frames with to the same revision.

Agents receive new revisions by these pushes; an entry that is cut off from the platform fetches
them from agents that other entries have pushed to.
"""

from __future__ import annotations

import random

import anyio

from bronzerudder.configuration.errors import ConfigurationError
from bronzerudder.configuration.peers import PeerClient
from bronzerudder.configuration.shared import SharedConfiguration

PUSH_JITTER_S = 0.05
"""Longest random wait in seconds before a push, so that mostly one process pushes to a peer."""
FULL_PUSH_JITTER_S = 1.0
"""The same for a peer at revision 0, which needs the complete configuration."""
RETRY_DELAY_S = 0.5


class PeerSynchronizer:
    """Fetches from peers that are ahead and pushes to those that are behind.

    Parameters
    ----------
    shared : SharedConfiguration
        The configuration in force in this process.
    client : PeerClient
        Connections to the peers.
    random_source : random.Random
        Source of jitter for pushes of processes that received a revision at the same time.
    """

    def __init__(
        self, shared: SharedConfiguration, client: PeerClient, random_source: random.Random
    ) -> None:
        self._shared = shared
        self._client = client
        self._random = random_source
        self._peer_revisions: dict[str, int] = {}
        self._synchronizing: set[str] = set()
        self._wake = anyio.Event()

    def observe(self, address: str, revision: int) -> None:
        """Record a revision that a peer has announced; a lower one means that it has restarted."""
        self._peer_revisions[address] = revision
        if revision != self._shared.revision and address not in self._synchronizing:
            self._wake.set()

    def forget(self, address: str) -> None:
        """Drop a peer's recorded revision, as it may reconnect with an older one."""
        self._peer_revisions.pop(address, None)

    async def run(self) -> None:
        """Synchronize until cancelled, with one task for each peer whose revision differs."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._wake_on_change)
            while True:
                await self._wake.wait()
                self._wake = anyio.Event()
                for address, revision in tuple(self._peer_revisions.items()):
                    if revision == self._shared.revision or address in self._synchronizing:
                        continue
                    self._synchronizing.add(address)
                    tasks.start_soon(self._synchronize, address)

    async def _wake_on_change(self) -> None:
        revision = self._shared.revision
        while True:
            snapshot = await self._shared.wait_newer(revision)
            revision = snapshot.revision
            self._wake.set()

    async def _synchronize(self, address: str) -> None:
        try:
            while self._peer_revisions.get(address, self._shared.revision) != self._shared.revision:
                result = await self._synchronize_once(address)
                if isinstance(result, ConfigurationError):
                    await anyio.sleep(RETRY_DELAY_S * (0.5 + self._random.random()))
        finally:
            self._synchronizing.discard(address)

    async def _synchronize_once(self, address: str) -> int | ConfigurationError:
        if self._peer_revisions[address] > self._shared.revision:
            return await self._client.fetch(address)
        jitter_s = PUSH_JITTER_S if self._peer_revisions[address] > 0 else FULL_PUSH_JITTER_S
        await anyio.sleep(self._random.random() * jitter_s)
        peer_revision = self._peer_revisions.get(address, self._shared.revision)
        if peer_revision >= self._shared.revision:
            return peer_revision
        result = await self._client.push(address, peer_revision)
        if not isinstance(result, ConfigurationError) and address in self._peer_revisions:
            self._peer_revisions[address] = max(result, self._peer_revisions[address])
        return result
