"""Runs one agent's group membership as a process: ``python -m`` with JSON settings."""

from __future__ import annotations

import json
import os
import random
import secrets
import signal
import sys

import anyio
import grpc.aio

from bronzerudder.backend_server.rank_http import HttpRankEngine
from bronzerudder.platform.http_client import PlatformClient
from bronzerudder.platform.http_store import HttpObjectStore
from bronzerudder.rank_group.errors import PeerError
from bronzerudder.rank_group.member import RankGroupMember
from bronzerudder.rank_group.messages import GroupReply, GroupRequest
from bronzerudder.rank_group.peers import GrpcRankPeers
from bronzerudder.rank_group.record import MapRecord
from bronzerudder.rank_group.service import RankGroupService
from bronzerudder.web import announce_listening

GROUP = "chat"


class KillingPeers(GrpcRankPeers):
    """Kills this process instead of sending one given request.

    Parameters
    ----------
    addresses : tuple of str
        Addresses of the peers.
    phase : str
        Name of the request's phase; empty to never kill.
    sent : int
        Number of requests of that phase that are sent first.
    """

    def __init__(self, addresses: tuple[str, ...], phase: str, sent: int) -> None:
        super().__init__(GROUP, addresses)
        self._phase = phase
        self._remaining = sent

    async def call(
        self, rank: int, request: GroupRequest, timeout_s: float
    ) -> GroupReply | PeerError:
        """Send a request, or kill this process."""
        if request.phase.name == self._phase:
            if self._remaining == 0:
                os.kill(os.getpid(), signal.SIGKILL)
            self._remaining -= 1
        return await super().call(rank, request, timeout_s)


async def propose_at_random_times(member: RankGroupMember, seed: int, interval_s: float) -> None:
    """Propose maps at seeded random times, and print how each attempt ended."""
    generator = random.Random(seed)
    number = 0
    while True:
        await anyio.sleep(generator.uniform(0.5, 1.5) * interval_s)
        number += 1
        result = await member.change_map(b"map %d" % number)
        line = {"event": "attempt", "committed": result.committed, "reason": result.reason}
        print(json.dumps({**line, "phase": result.last_phase.name}), flush=True)


async def report(member: RankGroupMember) -> None:
    """Print each change of the group's state as the member reports it."""
    last = None
    while True:
        now = (member.group_stalled, member.active_version)
        if now != last:
            line = {"event": "state", "group_stalled": now[0], "active": now[1]}
            print(json.dumps(line), flush=True)
            last = now
        await anyio.sleep(0.05)


async def main(settings: dict) -> None:
    """Run until killed."""
    engine = HttpRankEngine(settings["engine_url"])
    kill_in_phase, kill_after = settings.get("kill_in_phase", ""), settings.get("kill_after", 0)
    peers = KillingPeers(tuple(settings["peers"]), kill_in_phase, kill_after)
    client = PlatformClient(settings["platform"], "member")
    member = RankGroupMember(
        settings["rank"],
        len(settings["peers"]),
        engine,
        peers,
        MapRecord(HttpObjectStore(client), GROUP),
        secrets.randbits(63) | 1,
        b"initial map",
    )
    server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
    RankGroupService(member, GROUP, settings["rank"]).add_to(server)
    server.add_insecure_port(settings["peers"][settings["rank"]])
    await server.start()
    announce_listening(settings["peers"][settings["rank"]])
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(member.run)
        tasks.start_soon(report, member)
        if settings["rank"] in settings.get("proposers", ()):
            seed, interval_s = settings["seed"], settings["propose_interval_s"]
            tasks.start_soon(propose_at_random_times, member, seed, interval_s)


if __name__ == "__main__":
    anyio.run(main, json.loads(sys.argv[1]))
