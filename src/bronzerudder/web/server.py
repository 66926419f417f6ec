"""Runs an ASGI application on a bound listener."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Any

import anyio
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.utils import wrap_app

from bronzerudder.intake import WEB_PROCESS_SIZE, Intake, find_limits
from bronzerudder.web.bounded_app import BoundedApp, SendRefusal, send_plain_refusal
from bronzerudder.web.bounded_listener import BoundedListener

DEFAULT_DRAIN_TIMEOUT_S = 30.0
CANCELLED_TIMEOUT_S = 0.1
"""Drain timeout when the serving task is cancelled instead of being asked to stop."""
KEEP_ALIVE_TIMEOUT_S = 75.0
BACKLOG = 1_024
MAX_STREAMS_PER_CONNECTION = 1_000
MAX_QUEUED_MESSAGES = 2
"""Messages of a request that wait for the application; each may hold one read."""


async def serve_http(
    app: Callable[..., Any],
    listener: socket.socket,
    stopping: anyio.Event,
    drain_timeout_s: float = DEFAULT_DRAIN_TIMEOUT_S,
    intake: Intake | None = None,
    max_connections: int | None = None,
    send_refusal: SendRefusal = send_plain_refusal,
) -> None:
    """Serve until ``stopping`` is set, then let requests in flight finish.

    Parameters
    ----------
    app : callable
        An ASGI application that accepts the ``http`` scope.
    listener : socket.socket
        A bound, listening socket; it is detached, and its descriptor is closed on return.
    stopping : anyio.Event
        Starts the graceful shutdown.
    drain_timeout_s : float
        Time that requests in flight then have to finish, in seconds.
    intake : Intake or None
        Bounds what the process holds; a new one with the default limits if it is None.
    max_connections : int or None
        Connections of this listener; as the intake allows if it is None.
    send_refusal : callable
        Answers a request for which there is no room, given the ASGI ``send`` and the reason.
    """
    if intake is None:
        intake = Intake(find_limits(None, WEB_PROCESS_SIZE))
    bounded = BoundedListener(listener, intake, max_connections or intake.limits.connections)
    config = Config()
    config.max_app_queue_size = MAX_QUEUED_MESSAGES
    config.graceful_timeout = drain_timeout_s
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.h2_max_concurrent_streams = MAX_STREAMS_PER_CONNECTION
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = logging.getLogger("bronzerudder.web")
    config.loglevel = "WARNING"
    closing = anyio.Event()
    async with anyio.create_task_group() as tasks:
        served = BoundedApp(app, bounded, send_refusal)
        tasks.start_soon(_run_server, served, config, bounded, closing)
        try:
            await stopping.wait()
        except anyio.get_cancelled_exc_class():
            config.graceful_timeout = CANCELLED_TIMEOUT_S
            raise
        finally:
            closing.set()


async def _run_server(
    app: Callable[..., Any], config: Config, listener: BoundedListener, closing: anyio.Event
) -> None:
    # Hypercorn fails if it is cancelled while connections are open, and leaves its task marked as
    # cancelled. It therefore runs shielded in a separate task, and `closing` stops it.
    with anyio.CancelScope(shield=True):
        connections = _Connections(
            wrap_app(app, config.wsgi_max_body_size, "asgi"), config, listener
        )
        server = await asyncio.start_server(connections.serve, sock=listener, backlog=BACKLOG)
        await closing.wait()
        await connections.stop_keeping_alive()
        server.close()
        await server.wait_closed()
        await connections.wait_closed(config.graceful_timeout)


class _Connections:
    """Serves the connections of a listener, each in a task that the event loop starts."""

    def __init__(self, app: Any, config: Config, listener: BoundedListener) -> None:
        self._app = app
        self._config = config
        self._listener = listener
        self._context = WorkerContext(None)
        self._tasks: set[asyncio.Task[None]] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        connection = self._listener.find(writer.get_extra_info("peername")[:2])
        if connection is not None:
            connection.set_transport(writer.transport)
        loop = asyncio.get_running_loop()
        await _ConnectionServer(self._app, loop, self._config, self._context, {}, reader, writer)

    async def stop_keeping_alive(self) -> None:
        """Close connections without a request, and the others after their answers."""
        await self._context.terminated.set()

    async def wait_closed(self, timeout_s: float) -> None:
        """Wait until all connections have closed; end them after a time in seconds."""
        if self._tasks:
            _, unfinished = await asyncio.wait(self._tasks, timeout=timeout_s)
            for task in unfinished:
                task.cancel()
            await asyncio.gather(*unfinished, return_exceptions=True)


class _ConnectionServer(TCPServer):
    """Ends with its connection; Hypercorn would keep it until the idle timeout."""

    async def _read_data(self) -> None:
        await super()._read_data()
        await self.idle_task.stop()
