"""Runs an ASGI application on a bound listener."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable
from typing import Any

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

DEFAULT_DRAIN_TIMEOUT_S = 30.0
CANCELLED_TIMEOUT_S = 0.1
"""Drain timeout when the serving task is cancelled instead of being asked to stop."""
KEEP_ALIVE_TIMEOUT_S = 75.0
MAX_STREAMS_PER_CONNECTION = 1_000


async def serve_http(
    app: Callable[..., Any],
    listener: socket.socket,
    stopping: anyio.Event,
    drain_timeout_s: float = DEFAULT_DRAIN_TIMEOUT_S,
) -> None:
    """Serve until ``stopping`` is set, then let requests in flight finish.

    Parameters
    ----------
    app : callable
        An ASGI application that accepts the ``http`` scope.
    listener : socket.socket
        A bound, listening socket; it is detached, and its descriptor is closed on return.
    stopping : anyio.Event
        Starts the graceful shutdown.
    drain_timeout_s : float
        Time that requests in flight then have to finish, in seconds.
    """
    config = Config()
    # The server closes the descriptor, so the socket object must give up ownership.
    config.bind = [f"fd://{listener.detach()}"]
    config.graceful_timeout = drain_timeout_s
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.h2_max_concurrent_streams = MAX_STREAMS_PER_CONNECTION
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = logging.getLogger("bronzerudder.web")
    config.loglevel = "WARNING"
    closing = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_run_server, _without_lifespan(app), config, closing)
        try:
            await stopping.wait()
        except anyio.get_cancelled_exc_class():
            config.graceful_timeout = CANCELLED_TIMEOUT_S
            raise
        finally:
            closing.set()


async def _run_server(app: Callable[..., Any], config: Config, closing: anyio.Event) -> None:
    # Hypercorn fails if it is cancelled while connections are open, and leaves its task marked as
    # cancelled. It therefore runs shielded in a separate task, and `closing` stops it.
    with anyio.CancelScope(shield=True):
        await serve(app, config, shutdown_trigger=closing.wait, mode="asgi")


def _without_lifespan(app: Callable[..., Any]) -> Callable[..., Any]:
    """Answer lifespan messages for an application that accepts only the ``http`` scope."""

    async def wrapped(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] != "lifespan":
            await app(scope, receive, send)
            return
        while True:
            message = await receive()
            await send({"type": message["type"] + ".complete"})
            if message["type"] == "lifespan.shutdown":
                return

    return wrapped
