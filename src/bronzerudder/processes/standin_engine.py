"""Runs the stand-in engine as a process."""

from __future__ import annotations

import anyio

from bronzerudder.cli.api import EXIT_OK
from bronzerudder.intake import WEB_PROCESS_SIZE, Intake, find_limits
from bronzerudder.processes.signals import set_on_termination
from bronzerudder.standin.engine import ContinuousBatch, EngineApp, EngineSettings
from bronzerudder.web import announce_listening, bind_listener, format_address, serve_http

SETTINGS = EngineSettings
DEFAULT_STEP_TIME_S = 0.02
DEFAULT_MAX_BATCH = 64


async def run(settings: EngineSettings) -> int:
    """Serve until a termination signal."""
    batch = ContinuousBatch(
        settings.get("step_time_s", DEFAULT_STEP_TIME_S),
        settings.get("prefill_time_per_token_s", 0.0),
        settings.get("max_batch", DEFAULT_MAX_BATCH),
    )
    listener = bind_listener(settings["host"], settings["port"])
    intake = Intake(find_limits(settings.get("machine"), WEB_PROCESS_SIZE))
    stopping = anyio.Event()
    async with anyio.create_task_group() as tasks:
        await tasks.start(set_on_termination, stopping)
        tasks.start_soon(batch.run)
        announce_listening(format_address(listener))
        await serve_http(EngineApp(settings, batch), listener, stopping, 1.0, intake)
        tasks.cancel_scope.cancel()
    return EXIT_OK
