"""Serves the metrics of a process through the `http1` server."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

from bronzerudder.http1 import Request, ResponseWriter


class MetricsHandler:
    """Serves the metrics of this process as text.

    Parameters
    ----------
    registry : CollectorRegistry
        Metrics of this process.
    refresh : callable
        Sets the gauges that are computed only when metrics are read.
    """

    def __init__(
        self, registry: CollectorRegistry, refresh: Callable[[], None] = lambda: None
    ) -> None:
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
