"""Runs operators' commands against the platform."""

from __future__ import annotations

import os
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from bronzerudder.cli.api import EXIT_USAGE, Invocation

PLATFORM_VARIABLE = "BRONZERUDDER_PLATFORM"


class OperatorInvocation(Invocation):
    """Connects to the platform and runs one operator command.

    Parameters
    ----------
    platform : str
        ``host:port``; if empty, taken from the environment variable `PLATFORM_VARIABLE`.
    action : callable
        Coroutine function that takes the open platform and returns the exit code.
    """

    def __init__(self, platform: str, action: Callable[[Any], Awaitable[int]]) -> None:
        self._platform = platform or os.environ.get(PLATFORM_VARIABLE, "")
        self._action = action

    def _run(self) -> int:
        if not self._platform:
            print(
                f"bronzerudder: no platform address; set --platform or {PLATFORM_VARIABLE}",
                file=sys.stderr,
            )
            return EXIT_USAGE
        return anyio.run(self._run_connected)

    async def _run_connected(self) -> int:
        from bronzerudder.processes.platform import open_store

        platform = open_store({"address": self._platform}, "operator")
        try:
            return await self._action(platform)
        finally:
            await platform.client.close()
