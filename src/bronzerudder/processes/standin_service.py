"""Runs the stand-in service as a process."""

from __future__ import annotations

import anyio

from bronzerudder.cli.api import EXIT_OK
from bronzerudder.intake import WEB_PROCESS_SIZE, Intake, find_limits
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
    intake = Intake(find_limits(settings.get("machine"), WEB_PROCESS_SIZE))
    stopping = anyio.Event()
    async with anyio.create_task_group() as tasks:
        await tasks.start(set_on_termination, stopping)
        announce_listening(format_address(listener))
        await serve_http(app, listener, stopping, DRAIN_TIMEOUT_S, intake)
        tasks.cancel_scope.cancel()
    return EXIT_OK
