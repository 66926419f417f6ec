"""Controls the engine of a rank over HTTP."""

from __future__ import annotations

from typing import NamedTuple, TypedDict

import anyio
import httpx
import msgspec

from bronzerudder.backend_server.rank_api import RankEngine, RankStatus
from bronzerudder.backend_server.rank_errors import RankEngineError, RankEngineErrorKind
from bronzerudder.web.client import open_client

STEP_TIMEOUT_S = 0.25
"""Of connecting, and of each write and read."""
ORDER_TIMEOUT_S = 0.5
"""Of a whole order, whose answer may trickle; the group waits for its slowest rank."""
MAX_ANSWER_BYTES = 65_536
"""A status takes some hundred bytes."""
MAX_CONNECTIONS = 2
HTTP_OK = 200


class OrderDocument(TypedDict):
    """Body of an order; fields that the order doesn't use are 0 or empty."""

    term: int
    version: int
    step: int
    expert_map: bytes


class StatusDocument(TypedDict):
    """Body of a successful answer: the fields of `RankStatus`."""

    next_step: int
    active: int
    pending: int
    held: int
    held_step: int
    staged: tuple[int, ...]


class RefusalDocument(TypedDict):
    """Body of a refusal."""

    kind: str
    reason: str


class _Response(NamedTuple):
    status: int
    body: bytes


class HttpRankEngine(RankEngine):
    """Sends orders to one rank's engine, each on a connection of its own, two at a time.

    Parameters
    ----------
    url : str
        Base URL of the engine's control interface.
    """

    def __init__(self, url: str) -> None:
        # An extra answer on a kept connection would be taken for the answer to the next order.
        limits = httpx.Limits(max_connections=MAX_CONNECTIONS, max_keepalive_connections=0)
        self._client = open_client(url, timeout=STEP_TIMEOUT_S, limits=limits)

    async def read(self, term: int) -> RankStatus | RankEngineError:
        """Read maps and progress."""
        return await self._order("read", term)

    async def stage(
        self, term: int, version: int, expert_map: bytes
    ) -> RankStatus | RankEngineError:
        """Start to load the weights of a version."""
        return await self._order("stage", term, version, 0, expert_map)

    async def hold(self, term: int, version: int, step: int) -> RankStatus | RankEngineError:
        """Hold before a step."""
        return await self._order("hold", term, version, step)

    async def reset(
        self, term: int, version: int, step: int, expert_map: bytes
    ) -> RankStatus | RankEngineError:
        """Drop all maps and hold before a step."""
        return await self._order("reset", term, version, step, expert_map)

    async def activate(self, term: int, version: int) -> RankStatus | RankEngineError:
        """Use a held version from its step on."""
        return await self._order("activate", term, version)

    async def release(self, term: int, version: int) -> RankStatus | RankEngineError:
        """End a hold."""
        return await self._order("release", term, version)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def _order(
        self, name: str, term: int, version: int = 0, step: int = 0, expert_map: bytes = b""
    ) -> RankStatus | RankEngineError:
        document = OrderDocument(term=term, version=version, step=step, expert_map=expert_map)
        try:
            with anyio.fail_after(ORDER_TIMEOUT_S):
                response = await self._send(name, msgspec.json.encode(document))
        except (httpx.HTTPError, TimeoutError) as error:
            return RankEngineError(RankEngineErrorKind.UNREACHABLE, repr(error))
        try:
            return _decode(response)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            reason = f"status {response.status}, answer cannot be decoded: {error}"
            return RankEngineError(RankEngineErrorKind.UNREACHABLE, reason)

    async def _send(self, name: str, content: bytes) -> _Response:
        body = bytearray()
        async with self._client.stream("POST", f"/rank/{name}", content=content) as response:
            async for chunk in response.aiter_raw():
                body += chunk
                if len(body) > MAX_ANSWER_BYTES:
                    raise httpx.ReadError(f"answer longer than {MAX_ANSWER_BYTES} bytes")
        return _Response(response.status_code, bytes(body))


def _decode(response: _Response) -> RankStatus | RankEngineError:
    if response.status == HTTP_OK:
        return RankStatus(**msgspec.json.decode(response.body, type=StatusDocument))
    refusal = msgspec.json.decode(response.body, type=RefusalDocument)
    return RankEngineError(RankEngineErrorKind(refusal["kind"]), refusal["reason"])
