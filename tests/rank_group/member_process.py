"""An agent's membership of a group as a process of its own: ``python -m`` with JSON settings."""

from __future__ import annotations

import json
import random
import secrets
import sys

import anyio
import grpc.aio

from bronzerudder.backend_server.rank_http import HttpRankEngine
from bronzerudder.platform.http_client import PlatformClient
from bronzerudder.platform.http_store import HttpObjectStore
from bronzerudder.rank_group.member import RankGroupMember
from bronzerudder.rank_group.peers import GrpcRankPeers
from bronzerudder.rank_group.record import MapRecord
from bronzerudder.rank_group.service import RankGroupService
from bronzerudder.web import announce_listening


async def propose_at_times(member: RankGroupMember, seed: int, interval_s: float) -> None:
    """Propose maps at seeded random times, and print how each attempt ended."""
    times = random.Random(seed)
    number = 0
    while True:
        await anyio.sleep(times.uniform(0.5, 1.5) * interval_s)
        number += 1
        result = await member.change_map(b"map %d" % number)
        line = {"event": "attempt", "committed": result.committed, "reason": result.reason}
        print(json.dumps({**line, "phase": result.last_phase.name}), flush=True)


async def report(member: RankGroupMember) -> None:
    """Print each change of what the member sees of its group."""
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
    peers = GrpcRankPeers(tuple(settings["peers"]))
    client = PlatformClient(settings["platform"], "member")
    member = RankGroupMember(
        settings["rank"],
        len(settings["peers"]),
        engine,
        peers,
        MapRecord(HttpObjectStore(client), "group"),
        secrets.randbits(63) | 1,
        b"initial map",
    )
    server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
    RankGroupService(member).add_to(server)
    server.add_insecure_port(settings["peers"][settings["rank"]])
    await server.start()
    announce_listening(settings["peers"][settings["rank"]])
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(member.run)
        tasks.start_soon(report, member)
        if settings.get("propose_interval_s"):
            seed, interval_s = settings["seed"], settings["propose_interval_s"]
            tasks.start_soon(propose_at_times, member, seed, interval_s)


if __name__ == "__main__":
    anyio.run(main, json.loads(sys.argv[1]))
