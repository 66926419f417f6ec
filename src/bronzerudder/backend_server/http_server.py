"""Calls a backend server over HTTP."""

from __future__ import annotations

import math

import anyio
import httpx

from bronzerudder.backend_server.api import BackendAnswer, BackendCall, BackendServer
from bronzerudder.backend_server.errors import BackendError, BackendErrorKind
from bronzerudder.web.client import open_client

MAX_STATUS = 599
"""Highest status of RFC 9110; the parser accepts all of three digits from 200."""
CONNECT_TIMEOUT_S = 1.0
# Of the whole call. A limit for each read would not end one whose answer trickles.
PROBE_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 1.0
# An extra answer on a kept connection would be taken for the answer to the next request.
MAX_IDLE_CONNECTIONS = 0
HOP_BY_HOP = frozenset(
    ("connection", "content-length", "host", "keep-alive", "te", "transfer-encoding", "upgrade")
)
FRAMING_HEADERS = frozenset(("content-length", "transfer-encoding"))
SET_BY_EACH_SERVER = frozenset(("date", "server"))


class HttpAnswer(BackendAnswer):
    """An answer received over HTTP."""

    def __init__(self, response: httpx.Response) -> None:
        self._response = response
        self._chunks = response.aiter_raw()

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._response.status_code

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """HTTP headers to forward to the caller."""
        dropped = HOP_BY_HOP | SET_BY_EACH_SERVER
        items = self._response.headers.multi_items()
        return tuple((name, value) for name, value in items if name.lower() not in dropped)

    @property
    def framed(self) -> bool:
        """Whether its length or chunks show where it ends."""
        return not FRAMING_HEADERS.isdisjoint(self._response.headers)

    async def read(self) -> bytes | None | BackendError:
        """Read the next chunk of the body; None at its end."""
        try:
            return await anext(self._chunks, None)
        except httpx.ReadTimeout:
            return BackendError(BackendErrorKind.UNRESPONSIVE, "no data within silence_timeout_s")
        except httpx.HTTPError as error:
            return BackendError(
                BackendErrorKind.BROKEN,
                f"connection failed before the end of the answer: {error!r}",
            )

    async def close(self) -> None:
        """Stop receiving and close the answer."""
        await self._response.aclose()


class HttpBackendServer(BackendServer):
    """Sends requests to one backend server, each on a connection of its own.

    Parameters
    ----------
    url : str
        Base URL.
    silence_timeout_s : float or None
        Time without data after which a call fails as ``UNRESPONSIVE``, in seconds; None for no
        limit.
    """

    def __init__(self, url: str, silence_timeout_s: float | None) -> None:
        self._url = url.rstrip("/")
        timeout = httpx.Timeout(silence_timeout_s, connect=CONNECT_TIMEOUT_S, pool=None)
        # Heads of status 1xx are data, but no sign that the answer will come.
        self._head_timeout_s = (silence_timeout_s or math.inf) + CONNECT_TIMEOUT_S
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=MAX_IDLE_CONNECTIONS)
        self._client = open_client(self._url, timeout=timeout, limits=limits)

    async def open(self, call: BackendCall) -> BackendAnswer | BackendError:
        """Send a request and wait for the head of its answer."""
        headers = [(name, value) for name, value in call.headers if name.lower() not in HOP_BY_HOP]
        headers.append(("x-request-id", call.request_id))
        request = self._client.build_request(
            call.method, call.path, headers=headers, content=call.body
        )
        try:
            with anyio.fail_after(self._head_timeout_s):
                response = await self._client.send(request, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return BackendError(BackendErrorKind.UNREACHABLE, f"cannot connect: {error}")
        except (httpx.ReadTimeout, TimeoutError):
            return BackendError(BackendErrorKind.UNRESPONSIVE, "no answer within silence_timeout_s")
        except httpx.HTTPError as error:
            return BackendError(
                BackendErrorKind.BROKEN, f"connection failed before the answer: {error!r}"
            )
        if response.status_code > MAX_STATUS:
            await response.aclose()
            reason = f"status {response.status_code} is none of HTTP"
            return BackendError(BackendErrorKind.BROKEN, reason)
        return HttpAnswer(response)

    async def cancel(self, request_id: str) -> None:
        """Ask the backend server to stop generating; best effort, so errors are ignored."""
        document = {"request_id": request_id}
        try:
            with anyio.move_on_after(CANCEL_TIMEOUT_S):
                async with self._client.stream("POST", "/cancel", json=document):
                    return
        except httpx.HTTPError:
            return

    async def probe(self) -> BackendError | None:
        """Check on a new connection whether the backend server answers."""
        try:
            with anyio.fail_after(PROBE_TIMEOUT_S):
                async with (
                    open_client(self._url, timeout=None) as client,
                    client.stream("GET", "/healthz"),
                ):
                    return None
        except httpx.ConnectError as error:
            return BackendError(BackendErrorKind.UNREACHABLE, f"cannot connect: {error}")
        except (httpx.HTTPError, TimeoutError) as error:
            return BackendError(BackendErrorKind.UNRESPONSIVE, f"probe failed: {error!r}")

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()
