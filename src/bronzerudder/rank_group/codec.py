"""Encodes and decodes requests and replies between the agents of a group."""

from __future__ import annotations

from bronzerudder.backend_server.rank_api import RankStatus
from bronzerudder.rank_group import rank_group_pb2 as pb
from bronzerudder.rank_group.messages import GroupReply, GroupRequest, Phase, Refusal


def encode_request(request: GroupRequest) -> pb.GroupRequest:
    """Return the wire form of a request."""
    return pb.GroupRequest(**request._asdict())


def decode_request(message: pb.GroupRequest) -> GroupRequest | None:
    """Return the request, or None when its phase is unknown."""
    if message.phase not in tuple(Phase):
        return None
    return GroupRequest(
        Phase(message.phase),
        message.term,
        message.version,
        message.step,
        message.incarnation,
        message.expert_map,
    )


def encode_reply(reply: GroupReply) -> pb.GroupReply:
    """Return the wire form of a reply."""
    status = reply.status
    return pb.GroupReply(
        refusal=reply.refusal,
        reason=reply.reason,
        incarnation=reply.incarnation,
        promised=reply.promised,
        aborted=reply.aborted,
        next_step=status.next_step,
        active=status.active,
        pending=status.pending,
        held=status.held,
        held_step=status.held_step,
    )


def decode_reply(message: pb.GroupReply) -> GroupReply:
    """Return the reply; an unknown refusal is taken as ``ENGINE``, so it is never an acceptance."""
    known = message.refusal in tuple(Refusal)
    status = RankStatus(
        message.next_step, message.active, message.pending, message.held, message.held_step
    )
    return GroupReply(
        Refusal(message.refusal) if known else Refusal.ENGINE,
        message.reason,
        message.incarnation,
        message.promised,
        message.aborted,
        status,
    )
