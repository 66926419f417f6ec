"""gRPC service through which the agents of a group call each other."""

from __future__ import annotations

from typing import Any

import grpc
import grpc.aio

from bronzerudder.rank_group import rank_group_pb2 as pb
from bronzerudder.rank_group import rank_group_pb2_grpc
from bronzerudder.rank_group.codec import decode_request, encode_reply
from bronzerudder.rank_group.member import RankGroupMember


class RankGroupService(rank_group_pb2_grpc.RankGroupServicer):
    """Passes requests of other ranks' agents to this agent's group member.

    Parameters
    ----------
    member : RankGroupMember
        Answers the requests.
    group : str
        Name of the group.
    rank : int
        Rank of this agent; requests addressed to another group or rank are refused.
    """

    def __init__(self, member: RankGroupMember, group: str, rank: int) -> None:
        self._member = member
        self._group = group
        self._rank = rank

    def add_to(self, server: grpc.aio.Server) -> None:
        """Register the service at an agent's gRPC server."""
        rank_group_pb2_grpc.add_RankGroupServicer_to_server(self, server)

    async def Call(self, request: pb.GroupRequest, context: Any) -> pb.GroupReply:  # noqa: N802
        """Answer one request."""
        if (request.group, request.rank) != (self._group, self._rank):
            reason = f"this is rank {self._rank} of group {self._group}"
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, reason)
        decoded = decode_request(request)
        if decoded is None:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "unknown phase")
        return encode_reply(await self._member.answer(decoded))
