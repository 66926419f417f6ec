"""Keeps a long-running task running."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import anyio
from absl import logging

RESTART_DELAY_S = 0.5


async def raise_if_cancelled() -> None:
    """Raise if this task is being cancelled, and return if something else was.

    A library may raise the same exception for a call that was cancelled elsewhere, as by closing
    its channel; in a task group that would cancel every other task without a word. It may also
    pass a cancellation of this task on without the mark by which a cancel scope knows its own.
    To be awaited where such an exception has been caught.
    """
    await anyio.lowlevel.checkpoint()
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError


async def supervise(name: str, function: Callable[[], Awaitable[None]]) -> None:
    """Run a function that is meant to run for ever; log its end and run it again.

    Parameters
    ----------
    name : str
        Names the task in the log.
    function : callable
        What to run.
    """
    while True:
        try:
            await function()
            logging.error("task %s returned", name)
        except Exception:
            logging.exception("task %s failed", name)
        except asyncio.CancelledError:
            await raise_if_cancelled()
            logging.exception("task %s met the cancellation of something else", name)
        await anyio.sleep(RESTART_DELAY_S)
