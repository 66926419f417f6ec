"""Answers the balancer's question whether to send callers here, and serves the metrics."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

from bronzerudder.http1 import Request, ResponseWriter

READY = 200
NOT_READY = 503


class ReadinessHandler:
    """Tells whether this process takes callers.

    Parameters
    ----------
    path : bytes
        Path of the question.
    find_unready_reason : callable
        Returns why the process must get no new callers, or an empty string.
    """

    def __init__(self, path: bytes, find_unready_reason: Callable[[], str]) -> None:
        self._path = path
        self._find_unready_reason = find_unready_reason

    async def __call__(self, request: Request, writer: ResponseWriter) -> None:
        """Serve one request."""
        if request.target != self._path:
            await writer.respond(404, [], b"no such path\n")
            return
        reason = self._find_unready_reason()
        await writer.respond(NOT_READY if reason else READY, [], f"{reason or 'ok'}\n".encode())


class MetricsHandler:
    """Serves the metrics of this process as text.

    Parameters
    ----------
    registry : CollectorRegistry
        Metrics of this process.
    refresh : callable
        Sets the gauges that are not kept up to date on the way.
    """

    def __init__(self, registry: CollectorRegistry, refresh: Callable[[], None]) -> None:
        self._registry = registry
        self._refresh = refresh

    async def __call__(self, request: Request, writer: ResponseWriter) -> None:
        """Serve one request."""
        if request.target.partition(b"?")[0] != b"/metrics":
            await writer.respond(404, [], b"no such path\n")
            return
        self._refresh()
        content_type = (b"content-type", CONTENT_TYPE_LATEST.encode())
        await writer.respond(200, [content_type], generate_latest(self._registry))
