"""Runs configuration sources with their peer services inside a test."""

from __future__ import annotations

import contextlib
import random
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

import anyio
import grpc.aio

from bronzerudder.configuration import ConfigurationSource, SharedConfiguration
from bronzerudder.configuration.peer_service import ConfigurationPeerService
from bronzerudder.configuration.peer_source import PeerConfigurationSource
from bronzerudder.configuration.platform_source import PlatformConfigurationSource
from bronzerudder.platform.http_client import PlatformClient
from bronzerudder.platform.http_store import HttpObjectStore

DEADLINE_S = 8.0
POLL_INTERVAL_S = 0.01


class Hosted(NamedTuple):
    """A running source and the address at which it serves peers."""

    source: ConfigurationSource
    address: str
    stopping: anyio.Event


@contextlib.asynccontextmanager
async def host(
    platform_address: str, name: str, watches: bool = True, seeds: tuple[str, ...] = ()
) -> AsyncIterator[Hosted]:
    """Run the source of an entry, or of an agent if ``watches`` is False."""
    client = PlatformClient(platform_address, name)
    shared = SharedConfiguration()
    kind = PlatformConfigurationSource if watches else PeerConfigurationSource
    source = kind(shared, HttpObjectStore(client), name, seeds, random.Random(name))
    server = grpc.aio.server()
    ConfigurationPeerService(shared, source).add_to(server)
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(source.run)
        try:
            yield Hosted(source, f"127.0.0.1:{port}", anyio.Event())
        finally:
            tasks.cancel_scope.cancel()
            with anyio.CancelScope(shield=True):
                await server.stop(None)
                await client.close()


async def until(condition: Callable[[], bool]) -> None:
    """Wait for a condition; raise `TimeoutError` after `DEADLINE_S`."""
    with anyio.fail_after(DEADLINE_S):
        # The condition reads other tasks' state, which has no event to wait for.
        while not condition():  # noqa: ASYNC110
            await anyio.sleep(POLL_INTERVAL_S)
