"""Runs a stand-in platform in the process of a test."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from typing import NamedTuple

import anyio

from bronzerudder.platform.http_client import PlatformClient
from bronzerudder.platform.http_store import HttpObjectStore
from bronzerudder.standin.platform import LaggingInstances, ObjectTable, PlatformApp
from bronzerudder.web import bind_listener, format_address, serve_http


class ServedPlatform(NamedTuple):
    """A running stand-in platform and a client connected to it."""

    app: PlatformApp
    address: str
    client: PlatformClient
    store: HttpObjectStore


@contextlib.asynccontextmanager
async def serve_platform(kept_changes: int = 1000) -> AsyncIterator[ServedPlatform]:
    """Run the platform on a free port until the block ends."""
    app = PlatformApp(ObjectTable(kept_changes), LaggingInstances())
    listener = bind_listener("127.0.0.1", 0)
    address = format_address(listener)
    client = PlatformClient(address, "test")
    stopping = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_http, app, listener, stopping, 0.1)
        try:
            yield ServedPlatform(app, address, client, HttpObjectStore(client))
        finally:
            await client.close()
            stopping.set()
