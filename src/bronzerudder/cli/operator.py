"""Invocations that talk to the platform for an operator."""

from __future__ import annotations

import os
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from bronzerudder.cli.api import EXIT_USAGE, Invocation

PLATFORM_VARIABLE = "BRONZERUDDER_PLATFORM"


class OperatorInvocation(Invocation):
    """Opens the platform and runs one of the operators' commands.

    Parameters
    ----------
    platform : str
        ``host:port``; where empty, the variable `PLATFORM_VARIABLE` says it.
    work : callable
        Takes the open platform and returns the exit code.
    """

    def __init__(self, platform: str, work: Callable[[Any], Awaitable[int]]) -> None:
        self._platform = platform or os.environ.get(PLATFORM_VARIABLE, "")
        self._work = work

    def _run(self) -> int:
        if not self._platform:
            print(
                f"bronzerudder: say where the platform is with --platform or {PLATFORM_VARIABLE}",
                file=sys.stderr,
            )
            return EXIT_USAGE
        return anyio.run(self._run_open)

    async def _run_open(self) -> int:
        from bronzerudder.processes.platform import open_store

        platform = open_store({"address": self._platform}, "operator")
        try:
            return await self._work(platform)
        finally:
            await platform.client.close()
