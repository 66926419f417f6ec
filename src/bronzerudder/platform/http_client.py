"""Calls the platform's HTTP interface with timeouts; failures are returned as `StoreError`."""

from __future__ import annotations

from typing import NamedTuple, TypeVar

import anyio
import httpx
import msgspec

from bronzerudder.platform.documents import ErrorDocument
from bronzerudder.platform.errors import StoreError, StoreErrorKind
from bronzerudder.web.client import open_client

CALLER_HEADER = "x-caller"
CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 3.0
MAX_CONNECTIONS = 16

_Document = TypeVar("_Document")


class Call(NamedTuple):
    """One HTTP call; ``writes`` means that a lost answer leaves its effect unknown."""

    method: str
    path: str
    parameters: dict[str, str]
    body: bytes = b""
    writes: bool = False
    timeout_s: float = CALL_TIMEOUT_S


class PlatformClient:
    """Calls the platform for one process, each time on a connection of its own.

    Parameters
    ----------
    address : str
        ``host:port`` of the platform.
    caller : str
        Name under which the platform counts the calls of this process.
    """

    def __init__(self, address: str, caller: str) -> None:
        # An extra answer on a kept connection would be taken for the answer to the next call.
        limits = httpx.Limits(max_connections=MAX_CONNECTIONS, max_keepalive_connections=0)
        self._client = open_client(
            f"http://{address}", headers={CALLER_HEADER: caller}, limits=limits
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def call(self, call: Call, expected: type[_Document]) -> _Document | StoreError:
        """Make a call and decode its answer as ``expected``."""
        answer = await self._send(call)
        if isinstance(answer, StoreError):
            return answer
        if answer.status_code != httpx.codes.OK:
            return _decode_error(call, answer)
        try:
            return msgspec.json.decode(answer.content, type=expected)
        except (msgspec.DecodeError, RecursionError) as error:
            return _lost_answer(call, f"answer cannot be decoded: {error}")

    async def _send(self, call: Call) -> httpx.Response | StoreError:
        timeout = httpx.Timeout(call.timeout_s, connect=CONNECT_TIMEOUT_S)
        try:
            with anyio.fail_after(call.timeout_s + CONNECT_TIMEOUT_S):
                return await self._client.request(
                    call.method,
                    call.path,
                    params=call.parameters,
                    content=call.body,
                    timeout=timeout,
                )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            return StoreError(StoreErrorKind.UNAVAILABLE, f"{type(error).__name__}: {error}")
        except (httpx.HTTPError, TimeoutError) as error:
            return _lost_answer(call, f"{type(error).__name__}: {error}")


def _lost_answer(call: Call, reason: str) -> StoreError:
    if call.writes:
        return StoreError(StoreErrorKind.OUTCOME_UNKNOWN, reason)
    return StoreError(StoreErrorKind.UNAVAILABLE, reason)


def _decode_error(call: Call, answer: httpx.Response) -> StoreError:
    try:
        document = msgspec.json.decode(answer.content, type=ErrorDocument)
        return StoreError(StoreErrorKind(document["kind"]), document["reason"])
    except (msgspec.DecodeError, ValueError, RecursionError):
        pass
    reason = f"status {answer.status_code}"
    if answer.status_code == httpx.codes.SERVICE_UNAVAILABLE:
        return StoreError(StoreErrorKind.UNAVAILABLE, reason)
    if httpx.codes.is_client_error(answer.status_code):
        return StoreError(StoreErrorKind.INVALID, reason)
    return _lost_answer(call, reason)
