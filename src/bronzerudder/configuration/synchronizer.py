"""Evens out revisions between this process and the peers it exchanges frames with."""

from __future__ import annotations

import random

import anyio

from bronzerudder.configuration.errors import ConfigurationError
from bronzerudder.configuration.peers import PeerClient
from bronzerudder.configuration.shared import SharedConfiguration

PUSH_SPREAD_S = 0.05
WHOLE_PUSH_SPREAD_S = 1.0
RETRY_DELAY_S = 0.5


class PeerSynchronizer:
    """Fetches from peers that are ahead and pushes to those that are behind.

    Parameters
    ----------
    shared : SharedConfiguration
        The configuration in force here.
    client : PeerClient
        Connections to the peers.
    random_source : random.Random
        Spreads the pushes of several processes that learned of a revision together.
    """

    def __init__(
        self, shared: SharedConfiguration, client: PeerClient, random_source: random.Random
    ) -> None:
        self._shared = shared
        self._client = client
        self._random = random_source
        self._seen: dict[str, int] = {}
        self._busy: set[str] = set()
        self._wake = anyio.Event()

    def observe(self, address: str, revision: int) -> None:
        """Note the revision that a peer has shown; a lower one means that it has restarted."""
        self._seen[address] = revision
        if revision != self._shared.revision and address not in self._busy:
            self._wake.set()

    def forget(self, address: str) -> None:
        """Forget a peer, which may come back with an older revision."""
        self._seen.pop(address, None)

    async def run(self) -> None:
        """Even out until cancelled, with one task for each peer that differs."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._wake_on_change)
            while True:
                await self._wake.wait()
                self._wake = anyio.Event()
                for address, revision in tuple(self._seen.items()):
                    if revision == self._shared.revision or address in self._busy:
                        continue
                    self._busy.add(address)
                    tasks.start_soon(self._even_out, address)

    async def _wake_on_change(self) -> None:
        revision = self._shared.revision
        while True:
            snapshot = await self._shared.wait_newer(revision)
            revision = snapshot.revision
            self._wake.set()

    async def _even_out(self, address: str) -> None:
        try:
            while self._seen.get(address, self._shared.revision) != self._shared.revision:
                result = await self._step(address)
                if isinstance(result, ConfigurationError):
                    await anyio.sleep(RETRY_DELAY_S * (0.5 + self._random.random()))
        finally:
            self._busy.discard(address)

    async def _step(self, address: str) -> int | ConfigurationError:
        if self._seen[address] > self._shared.revision:
            return await self._client.fetch(address)
        spread_s = PUSH_SPREAD_S if self._seen[address] > 0 else WHOLE_PUSH_SPREAD_S
        await anyio.sleep(self._random.random() * spread_s)
        seen = self._seen.get(address, self._shared.revision)
        if seen >= self._shared.revision:
            return seen
        result = await self._client.push(address, seen)
        if not isinstance(result, ConfigurationError) and address in self._seen:
            self._seen[address] = max(result, self._seen[address])
        return result
