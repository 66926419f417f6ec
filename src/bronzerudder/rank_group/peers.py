"""Calls the agents of the other ranks over gRPC."""

from __future__ import annotations

import abc

import grpc
import grpc.aio

from bronzerudder.rank_group import rank_group_pb2_grpc
from bronzerudder.rank_group.codec import decode_reply, encode_request
from bronzerudder.rank_group.errors import PeerError
from bronzerudder.rank_group.messages import GroupReply, GroupRequest

MAX_RECONNECT_DELAY_MS = 200


class RankPeers(abc.ABC):
    """The agents of a group, by rank."""

    @abc.abstractmethod
    async def call(
        self, rank: int, request: GroupRequest, timeout_s: float
    ) -> GroupReply | PeerError:
        """Send one request and wait for its reply, at most ``timeout_s`` seconds."""


class GrpcRankPeers(RankPeers):
    """Agents called over gRPC, with one connection for each, opened at its first call.

    Parameters
    ----------
    group : str
        Name of the group.
    addresses : tuple of str
        ``host:port`` of every rank's agent, in rank order.
    """

    def __init__(self, group: str, addresses: tuple[str, ...]) -> None:
        self._group = group
        self._addresses = addresses
        self._channels: dict[int, grpc.aio.Channel] = {}

    async def call(
        self, rank: int, request: GroupRequest, timeout_s: float
    ) -> GroupReply | PeerError:
        """Send one request over the rank's connection."""
        stub = rank_group_pb2_grpc.RankGroupStub(self._channel(rank))
        message = encode_request(request)
        message.group = self._group
        message.rank = rank
        try:
            return decode_reply(await stub.Call(message, timeout=timeout_s))
        except grpc.aio.AioRpcError as error:
            return PeerError(rank, f"{error.code().name}: {error.details()}")

    async def close(self) -> None:
        """Close all connections."""
        for channel in self._channels.values():
            await channel.close()

    def _channel(self, rank: int) -> grpc.aio.Channel:
        channel = self._channels.get(rank)
        if channel is None:
            options = (
                ("grpc.initial_reconnect_backoff_ms", MAX_RECONNECT_DELAY_MS),
                ("grpc.min_reconnect_backoff_ms", MAX_RECONNECT_DELAY_MS),
                ("grpc.max_reconnect_backoff_ms", MAX_RECONNECT_DELAY_MS),
            )
            channel = grpc.aio.insecure_channel(self._addresses[rank], options=options)
            self._channels[rank] = channel
        return channel
