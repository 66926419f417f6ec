"""Turns termination signals into a graceful shutdown."""

from __future__ import annotations

import signal

import anyio


async def set_on_termination(
    stopping: anyio.Event, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
) -> None:
    """Set the event on the first SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for _ in signals:
            stopping.set()
            return
