"""Serves liveness, readiness, metrics and status on the admin port."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

from bronzerudder.web import send_body, send_json, send_text


class AdminApp:
    """Serves ``/livez``, ``/readyz``, ``/metrics`` and ``/status``.

    Parameters
    ----------
    registry : CollectorRegistry
        Metrics of this process.
    find_unready_reason : callable
        Returns why the process is not ready for new requests, or an empty string.
    describe : callable
        Returns the document that ``/status`` serves.
    """

    def __init__(
        self,
        registry: CollectorRegistry,
        find_unready_reason: Callable[[], str],
        describe: Callable[[], dict[str, Any]],
    ) -> None:
        self._registry = registry
        self._find_unready_reason = find_unready_reason
        self._describe = describe

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Serve one request."""
        path = scope["path"]
        if path == "/livez":
            await send_text(send, 200, "ok\n")
        elif path == "/readyz":
            reason = self._find_unready_reason()
            await send_text(send, 503 if reason else 200, f"{reason or 'ok'}\n")
        elif path == "/metrics":
            await send_body(send, 200, generate_latest(self._registry), CONTENT_TYPE_LATEST)
        elif path == "/status":
            await send_json(send, 200, self._describe())
        else:
            await send_text(send, 404, "no such path\n")
