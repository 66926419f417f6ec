"""Defines the interface through which a process gets the configuration."""

from __future__ import annotations

import abc

import anyio

from bronzerudder.configuration.shared import SharedConfiguration
from bronzerudder.configuration.snapshot import Snapshot


class ConfigurationSource(abc.ABC):
    """Keeps the process's configuration up to date; one task runs `run`.

    Entries and agents use it in the same way. They start `run`, wait for `wait_ready` before they
    report ready, read `current` for each request (a plain attribute read that never waits), and
    await `wait_newer` in a task that follows changes. Each frame batch that they send carries
    `revision`; for each one received they call `observe` with the sender's address and revision.
    If the two differ, an entry's source fetches from that peer or pushes to it; an agent's waits
    for a push of the newer revision.

    Parameters
    ----------
    shared : SharedConfiguration
        The configuration in force; also served to peers by `ConfigurationPeerService`.
    """

    def __init__(self, shared: SharedConfiguration) -> None:
        self._shared = shared
        self._ready = anyio.Event()

    @property
    def current(self) -> Snapshot:
        """The snapshot in force."""
        return self._shared.snapshot

    @property
    def revision(self) -> int:
        """Revision in force; 0 before the first."""
        return self._shared.revision

    @property
    def is_ready(self) -> bool:
        """Whether the configuration has every edit accepted before this process started.

        True once a revision came from the platform, or from peers while the platform was down.
        """
        return self._ready.is_set()

    async def wait_ready(self) -> None:
        """Wait until `is_ready`."""
        await self._ready.wait()

    async def wait_newer(self, revision: int) -> Snapshot:
        """Wait until the revision in force is above ``revision``."""
        return await self._shared.wait_newer(revision)

    @abc.abstractmethod
    async def run(self) -> None:
        """Keep up to date until cancelled."""

    @abc.abstractmethod
    def observe(self, address: str, revision: int) -> None:
        """Record a peer's revision; ``address`` is its gRPC ``host:port``."""

    @abc.abstractmethod
    def forget(self, address: str) -> None:
        """Handle the closing of the stream to a peer."""
