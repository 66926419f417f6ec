"""Answers the balancer's question whether to send callers here."""

from __future__ import annotations

from collections.abc import Callable

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
