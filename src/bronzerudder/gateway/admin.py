"""Readiness endpoint for the load balancer in front of the gateways."""

from __future__ import annotations

from collections.abc import Callable

from bronzerudder.http1 import Request, ResponseWriter

READY = 200
NOT_READY = 503


class ReadinessHandler:
    """Reports whether this process accepts callers.

    Parameters
    ----------
    path : bytes
        Path of the readiness check.
    find_unready_reason : callable
        Returns why the process must receive no new requests, or an empty string.
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
