"""Runs the stand-in platform as a process."""

from __future__ import annotations

from typing import NotRequired, TypedDict

import anyio

from bronzerudder.cli.api import EXIT_OK
from bronzerudder.intake import WEB_PROCESS_SIZE, Intake, find_limits
from bronzerudder.platform.documents import InstanceDocument
from bronzerudder.processes.signals import set_on_termination
from bronzerudder.settings.machine import MachineSettings
from bronzerudder.standin.platform import LaggingInstances, ObjectTable, PlatformApp
from bronzerudder.web import announce_listening, bind_listener, format_address, serve_http

DRAIN_TIMEOUT_S = 0.5


class PlatformSettings(TypedDict):
    """Settings of the stand-in platform; ``port`` 0 takes a free one."""

    host: str
    port: int
    instance_lag_s: NotRequired[float]
    kept_changes: NotRequired[int]
    instances: NotRequired[list[InstanceDocument]]
    machine: NotRequired[MachineSettings]


SETTINGS = PlatformSettings


async def run(settings: PlatformSettings) -> int:
    """Serve until a termination signal."""
    listener = bind_listener(settings["host"], settings["port"])
    objects = ObjectTable(settings.get("kept_changes", 10_000))
    instances = LaggingInstances(settings.get("instance_lag_s", 0.0))
    for instance in settings.get("instances", []):
        instances.set(instance)
    intake = Intake(find_limits(settings.get("machine"), WEB_PROCESS_SIZE))
    stopping = anyio.Event()
    async with anyio.create_task_group() as tasks:
        await tasks.start(set_on_termination, stopping)
        announce_listening(format_address(listener))
        await serve_http(
            PlatformApp(objects, instances), listener, stopping, DRAIN_TIMEOUT_S, intake
        )
        tasks.cancel_scope.cancel()
    return EXIT_OK
