"""Runs the stand-in service as a process."""

from __future__ import annotations

import anyio

from bronzerudder.cli.api import EXIT_OK
from bronzerudder.processes.signals import set_on_termination
from bronzerudder.standin.service import ServiceApp, ServiceSettings
from bronzerudder.web import announce_listening, bind_listener, format_address, serve_http

SETTINGS = ServiceSettings
DEFAULT_NAME = "service"
DRAIN_TIMEOUT_S = 1.0


async def run(settings: ServiceSettings) -> int:
    """Serve until a termination signal."""
    app = ServiceApp(settings.get("name", DEFAULT_NAME), settings.get("behaviour", {}))
    host, _, port = settings["address"].rpartition(":")
    listener = bind_listener(host, int(port))
    stopping = anyio.Event()
    async with anyio.create_task_group() as tasks:
        await tasks.start(set_on_termination, stopping)
        announce_listening(format_address(listener))
        await serve_http(app, listener, stopping, DRAIN_TIMEOUT_S)
        tasks.cancel_scope.cancel()
    return EXIT_OK
