"""Calls the ``ConfigurationPeer`` service of other processes."""

from __future__ import annotations

import asyncio

import grpc
import grpc.aio

from bronzerudder.concurrency import raise_if_cancelled
from bronzerudder.configuration.errors import ConfigurationError, ConfigurationErrorKind
from bronzerudder.configuration.peer_pb2 import DescribeRequest, FetchRequest, RevisionReply
from bronzerudder.configuration.peer_pb2_grpc import ConfigurationPeerStub
from bronzerudder.configuration.shared import SharedConfiguration
from bronzerudder.configuration.wire import receive_update, split_update

CALL_TIMEOUT_S = 1.0
FULL_UPDATE_TIMEOUT_S = 10.0
"""Timeout of a call that carries the complete configuration, in seconds."""
PUSH_ATTEMPTS = 3
IDLE_TIMEOUT_MS = 30_000
CHANNEL_OPTIONS = (
    ("grpc.client_idle_timeout_ms", IDLE_TIMEOUT_MS),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
)


class PeerClient:
    """Fetches from peers and pushes to them; opens a connection to each when first needed.

    A connection is closed after a failed call, as the peer may have stopped responding on it.

    Parameters
    ----------
    shared : SharedConfiguration
        The configuration in force; fetches update it, pushes send it.
    """

    def __init__(self, shared: SharedConfiguration) -> None:
        self._shared = shared
        self._channels: dict[str, grpc.aio.Channel] = {}

    async def fetch(self, address: str) -> int | ConfigurationError:
        """Fetch a peer's newer revision, if any; return the revision then in force here."""
        timeout_s = FULL_UPDATE_TIMEOUT_S if self._shared.revision == 0 else CALL_TIMEOUT_S
        request = FetchRequest(after_revision=self._shared.revision)
        try:
            parts = self._stub(address).Fetch(request, timeout=timeout_s)
            await receive_update(self._shared, parts)
        except grpc.aio.AioRpcError as error:
            return await self._close_failed(address, error)
        except asyncio.CancelledError:
            return await _resolve_cancellation(address)
        return self._shared.revision

    async def push(self, address: str, revision: int) -> int | ConfigurationError:
        """Push to a peer that has announced ``revision``; return the one then in force there.

        If the peer is still behind afterwards, pushes again from the revision in its reply.
        """
        for _ in range(PUSH_ATTEMPTS):
            update = self._shared.update_since(revision)
            if update is None:
                break
            timeout_s = FULL_UPDATE_TIMEOUT_S if update.base_revision == 0 else CALL_TIMEOUT_S
            try:
                reply = await self._stub(address).Push(split_update(update), timeout=timeout_s)
            except grpc.aio.AioRpcError as error:
                return await self._close_failed(address, error)
            except asyncio.CancelledError:
                return await _resolve_cancellation(address)
            revision = reply.revision
        return revision

    async def describe(self, address: str) -> RevisionReply | ConfigurationError:
        """Query the revision in force at a peer."""
        try:
            return await self._stub(address).Describe(DescribeRequest(), timeout=CALL_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            return await self._close_failed(address, error)
        except asyncio.CancelledError:
            return await _resolve_cancellation(address)

    async def close(self, address: str) -> None:
        """Close the connection to one peer, if there is one."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            await channel.close()

    async def close_all(self) -> None:
        """Close every connection."""
        for address in tuple(self._channels):
            await self.close(address)

    def _stub(self, address: str) -> ConfigurationPeerStub:
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
            self._channels[address] = channel
        return ConfigurationPeerStub(channel)

    async def _close_failed(self, address: str, error: grpc.aio.AioRpcError) -> ConfigurationError:
        await self.close(address)
        reason = f"{address}: {error.code().name}: {error.details()}"
        return ConfigurationError(ConfigurationErrorKind.UNAVAILABLE, reason)


async def _resolve_cancellation(address: str) -> ConfigurationError:
    """Return an error if the call's channel was closed; raise if this task is being cancelled."""
    await raise_if_cancelled()
    return ConfigurationError(ConfigurationErrorKind.UNAVAILABLE, f"{address}: connection closed")
