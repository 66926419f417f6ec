"""Bounds the bytes that an ASGI application holds for its callers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.lowlevel

from bronzerudder.intake import Account, CallerState, Intake
from bronzerudder.web.bounded_listener import BoundedConnection, BoundedListener
from bronzerudder.web.response import TEXT_TYPE, send_body

STATUS_NO_ROOM = 503
HTTP1_VERSIONS = ("1.0", "1.1")
RETRY_AFTER_S = 1
"""When to retry a request for which there was no room; stalled requests are ended by then."""

LINGERING_CLOSE_S = 1.0
"""Time for which the rest of a request that was answered early is read."""

App = Callable[..., Awaitable[None]]
SendRefusal = Callable[[Any, str], Awaitable[None]]


async def send_plain_refusal(send: Any, reason: str) -> None:
    """Refuse a request with status 503 and the reason as text."""
    headers = {"retry-after": str(RETRY_AFTER_S)}
    await send_body(send, STATUS_NO_ROOM, f"{reason}\n".encode(), TEXT_TYPE, headers)


class BoundedApp:
    """Counts what is held for each request, and refuses one for which there is no room.

    Parameters
    ----------
    app : callable
        The application; it must read the whole body before it acts on a request.
    listener : BoundedListener
        Listener of the application.
    send_refusal : callable
        Sends the answer to a refused request, given the ASGI ``send`` and the reason.
    """

    def __init__(
        self, app: App, listener: BoundedListener, send_refusal: SendRefusal = send_plain_refusal
    ) -> None:
        self._app = app
        self._listener = listener
        self._send_refusal = send_refusal

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Serve one request."""
        connection = self._listener.find(tuple(scope["client"] or ())[:2])
        request = _CountedRequest(self._listener.intake, connection, receive, send)
        request.ends_connection = scope["http_version"] in HTTP1_VERSIONS
        if not _may_have_body(scope):
            request.complete()
        try:
            with request.scope:
                await self._app(scope, request.receive, request.send)
            if request.refusal:
                await self._refuse(request)
        finally:
            request.close()

    async def _refuse(self, request: _CountedRequest) -> None:
        self._listener.intake.report_refused(STATUS_NO_ROOM, request.refusal)
        if request.has_answer:
            request.abort(True)
            return
        await self._send_refusal(request.send, request.refusal)


class _CountedRequest:
    """One request, and its account."""

    def __init__(
        self, intake: Intake, connection: BoundedConnection | None, receive: Any, send: Any
    ) -> None:
        self._connection = connection
        self._receive = receive
        self._send = send
        self._read = False
        self.has_answer = False
        self.refusal = ""
        self.ends_connection = False
        """Whether the connection closes after an answer to a request that was not read."""
        self.scope = anyio.CancelScope()
        self._account: Account = intake.open(self._refuse, self.abort, False)
        self._account.enter(CallerState.READING)

    async def receive(self) -> dict[str, Any]:
        """Receive a message; the application is cancelled if there is no room for it."""
        message = await self._receive()
        if self._read or message["type"] != "http.request":
            return message
        reason = self._account.hold(self._account.held_bytes + len(message.get("body", b"")))
        if reason:
            self._refuse(reason)
            await anyio.lowlevel.checkpoint()
        if not message.get("more_body", False):
            self.complete()
        return message

    def complete(self) -> None:
        """Record that the request was read completely; it is not ended any more."""
        self._read = True
        self._account.enter(CallerState.SERVED)
        if self._connection is not None:
            self._connection.begin_serving()

    async def send(self, message: dict[str, Any]) -> None:
        """Send a message; it is held until the server has taken it."""
        if not self.has_answer and not self._read:
            # The application has rejected the request, and keeps nothing of it.
            self._account.hold(0)
        self.has_answer = True
        size = len(message.get("body", b""))
        state = self._account.state
        self._account.add(size)
        self._account.enter(CallerState.SENDING)
        try:
            if message["type"] != "http.response.body" or message.get("more_body", False):
                await self._send(message)
            else:
                await self._send_last(message)
        finally:
            self._account.add(-size)
            if self._account.state is CallerState.SENDING:
                self._account.enter(state)

    async def _send_last(self, message: dict[str, Any]) -> None:
        if self._read:
            await self._send(message)
            return
        # With HTTP/1 the server closes the connection with the last message. Closing it with unread
        # bytes would reset it, and the caller could lose the answer.
        await self._send({**message, "more_body": True})
        self._account.enter(CallerState.CLOSING)
        if self._connection is not None and self.ends_connection:
            self._connection.account.enter(CallerState.CLOSING)
        with anyio.move_on_after(LINGERING_CLOSE_S):
            await self._skip_request()
        async with anyio.create_task_group() as tasks:
            # The server waits until there is room for one more message in the request's queue.
            tasks.start_soon(self._skip_request)
            await self._send({"type": "http.response.body", "body": b""})
            tasks.cancel_scope.cancel()

    async def _skip_request(self) -> None:
        while True:
            message = await self._receive()
            if message["type"] != "http.request" or not message.get("more_body", False):
                return

    def close(self) -> None:
        """Count the request no more."""
        self._account.remove()
        if self._read and self._connection is not None:
            self._connection.end_serving()

    def _refuse(self, reason: str) -> None:
        self.refusal = reason
        self.scope.cancel()

    def abort(self, reset: bool) -> None:
        """End the connection."""
        if self._connection is not None:
            self._connection.abort()


def _may_have_body(scope: dict[str, Any]) -> bool:
    if scope["http_version"] not in HTTP1_VERSIONS:
        return True
    return any(name in (b"content-length", b"transfer-encoding") for name, _ in scope["headers"])
