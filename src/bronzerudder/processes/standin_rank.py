"""Runs a stand-in rank as a process."""

from __future__ import annotations

import sys
from typing import IO

import anyio

from bronzerudder.cli.api import EXIT_OK
from bronzerudder.intake import WEB_PROCESS_SIZE, Intake, find_limits
from bronzerudder.processes.signals import set_on_termination
from bronzerudder.standin.rank.app import RankApp
from bronzerudder.standin.rank.barrier import Barrier
from bronzerudder.standin.rank.maps import RankMaps
from bronzerudder.standin.rank.settings import StandinRankSettings
from bronzerudder.standin.rank.stepper import Stepper
from bronzerudder.web import announce_listening, bind_listener, format_address, serve_http

SETTINGS = StandinRankSettings
DRAIN_TIMEOUT_S = 0.5
DEFAULT_STEP_TIME_S = 0.02


async def run(settings: StandinRankSettings) -> int:
    """Run steps and serve orders until a termination signal."""
    with _open_history(settings) as history:
        await _serve(settings, history)
    return EXIT_OK


def _open_history(settings: StandinRankSettings) -> IO[bytes]:
    path = settings.get("history")
    return sys.stdout.buffer if path is None else open(path, "ab")


async def _serve(settings: StandinRankSettings, history: IO[bytes]) -> None:
    host, _, port = settings["address"].rpartition(":")
    listener = bind_listener(host, int(port))
    maps = RankMaps(settings.get("honours_terms", True))
    barrier = Barrier(settings["rank"], tuple(settings["step_peers"]))
    step_time_s = settings.get("step_time_s", DEFAULT_STEP_TIME_S)
    intake = Intake(find_limits(settings.get("machine"), WEB_PROCESS_SIZE))
    stopping = anyio.Event()
    stepper = Stepper(settings["rank"], maps, barrier, step_time_s, history)
    async with anyio.create_task_group() as tasks:
        await tasks.start(set_on_termination, stopping)
        await tasks.start(barrier.run)
        announce_listening(format_address(listener))
        tasks.start_soon(stepper.run)
        app = RankApp(maps, stepper, settings.get("stage_time_s", 0.0), tasks)
        await serve_http(app, listener, stopping, DRAIN_TIMEOUT_S, intake)
        tasks.cancel_scope.cancel()
