"""Tests of the gRPC service between agents."""

from __future__ import annotations

import unittest

import grpc.aio

from bronzerudder.backend_server.rank_api import RankStatus
from bronzerudder.rank_group.errors import PeerError
from bronzerudder.rank_group.messages import GroupReply, GroupRequest, Phase
from bronzerudder.rank_group.participant import Participant
from bronzerudder.rank_group.peers import GrpcRankPeers
from bronzerudder.rank_group.service import RankGroupService
from bronzerudder.standin.rank.local import LocalRankEngine
from bronzerudder.standin.rank.maps import RankMaps

TIMEOUT_S = 5


class RankGroupServiceTest(unittest.IsolatedAsyncioTestCase):
    async def test_requests_for_another_group_or_rank_are_refused(self):
        participant = Participant(LocalRankEngine(RankMaps(honours_terms=True)), 7)
        await participant.recover([])
        server = grpc.aio.server()
        RankGroupService(participant, "chat", 1).add_to(server)
        address = f"127.0.0.1:{server.add_insecure_port('127.0.0.1:0')}"
        await server.start()
        self.addAsyncCleanup(server.stop, None)
        promise = GroupRequest(Phase.PROMISE, 4)
        for group, rank in (("bookings", 1), ("chat", 0)):
            peers = GrpcRankPeers(group, (address, address))
            self.addAsyncCleanup(peers.close)
            self.assertIsInstance(await peers.call(rank, promise, TIMEOUT_S), PeerError)
        self.assertEqual(participant.promised, 0)
        peers = GrpcRankPeers("chat", (address, address))
        self.addAsyncCleanup(peers.close)
        reply = await peers.call(1, promise, TIMEOUT_S)
        self.assertIsInstance(reply, GroupReply)
        self.assertEqual((reply.accepted, reply.incarnation), (True, 7))
        self.assertEqual((reply.promised, reply.status), (4, RankStatus()))
