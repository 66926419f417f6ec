"""Serves the stand-in service over HTTP/1.1 and HTTP/2."""

from __future__ import annotations

import json
import signal
import socket
import sys

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

from bronzerudder.standin.service.app import ServiceApp
from bronzerudder.standin.service.behaviour import ServiceSettings

_BACKLOG = 1024
_SHUTDOWN_TIMEOUT_S = 1.0


async def run_service(settings: ServiceSettings) -> None:
    """Serve until the process is told to terminate; the first output line has the address."""
    host, _, port = settings["address"].rpartition(":")
    listener = socket.create_server((host, int(port)), backlog=_BACKLOG)
    bound_host, bound_port = listener.getsockname()[:2]
    app = ServiceApp(settings.get("name", "service"), settings.get("behaviour", {}))
    config = Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.loglevel = "WARNING"
    config.graceful_timeout = _SHUTDOWN_TIMEOUT_S
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_wait_for_signal, stop)
        line = {"event": "listening", "address": f"{bound_host}:{bound_port}"}
        sys.stdout.write(json.dumps(line) + "\n")
        sys.stdout.flush()
        await serve(app, config, shutdown_trigger=stop.wait, mode="asgi")
        tasks.cancel_scope.cancel()


async def _wait_for_signal(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            stop.set()
            return
