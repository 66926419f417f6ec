"""Restarts long-running tasks that fail, and detects cancellations not meant for the task."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import anyio
from absl import logging

RESTART_DELAY_S = 0.5


async def raise_if_cancelled() -> None:
    """Raise if this task is being cancelled; return if something else was.

    A library may raise `asyncio.CancelledError` for a call that was cancelled elsewhere, such as
    by closing its channel; in a task group that would silently cancel every other task. It may
    also re-raise a cancellation of this task without the mark by which a cancel scope recognizes
    its own. Await this where such an exception has been caught.
    """
    await anyio.lowlevel.checkpoint()
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError


async def supervise(name: str, function: Callable[[], Awaitable[None]]) -> None:
    """Run a function that should never return; if it ends, log that and run it again.

    Parameters
    ----------
    name : str
        Name of the task in log messages.
    function : callable
        The function to run.
    """
    while True:
        try:
            await function()
            logging.error("task %s returned, restarting it", name)
        except Exception:
            logging.exception("task %s failed, restarting it", name)
        except asyncio.CancelledError:
            await raise_if_cancelled()
            logging.exception(
                "task %s caught a cancellation that was not its own, restarting it", name
            )
        await anyio.sleep(RESTART_DELAY_S)
