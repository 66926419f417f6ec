"""Builds what an agent needs as a member of a lock-step group."""

from __future__ import annotations

import anyio.abc
import grpc.aio

from bronzerudder.backend_server.rank_http import HttpRankEngine
from bronzerudder.concurrency import supervise
from bronzerudder.platform.api import ObjectStore
from bronzerudder.rank_group.member import RankGroupMember
from bronzerudder.rank_group.peers import GrpcRankPeers
from bronzerudder.rank_group.record import MapRecord
from bronzerudder.rank_group.service import RankGroupService
from bronzerudder.rank_group.settings import RankGroupSettings


class RankGroupComponents:
    """One member of a lock-step group with its engine client, its peers and its gRPC service.

    Parameters
    ----------
    settings : RankGroupSettings
        The group, this agent's rank in it, its peers and its engine.
    objects : ObjectStore
        The platform's object store.
    incarnation : int
        Incarnation of this process.
    """

    def __init__(self, settings: RankGroupSettings, objects: ObjectStore, incarnation: int) -> None:
        self._group = settings["group"]
        self._rank = settings["rank"]
        self._engine = HttpRankEngine(settings["engine_url"])
        self._peers = GrpcRankPeers(settings["group"], tuple(settings["peers"]))
        self._member = RankGroupMember(
            settings["rank"],
            len(settings["peers"]),
            self._engine,
            self._peers,
            MapRecord(objects, settings["group"]),
            incarnation,
            settings.get("initial_map", "").encode(),
        )

    @property
    def member(self) -> RankGroupMember:
        """The group member that holds the state of this rank."""
        return self._member

    def start(self, server: grpc.aio.Server, tasks: anyio.abc.TaskGroup) -> None:
        """Serve the agents of the other ranks and run the member."""
        RankGroupService(self._member, self._group, self._rank).add_to(server)
        tasks.start_soon(supervise, "rank group", self._member.run)

    async def close(self) -> None:
        """Close all connections."""
        await self._peers.close()
        await self._engine.close()
