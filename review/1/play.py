"""A store that comes back from a copy lets two leaders of a group use the same map versions."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.processes import BROKEN, CANNOT_RUN, HELD, Case, free_port, main  # noqa: E402
from standins.ranks import Group, Shape  # noqa: E402
from standins.store import Store  # noqa: E402

SERVICE = "replies"
LEADER_KIND = "bronzerudder-leaders"
SHAPE = Shape(ranks=8, sets=6, experts=64, placements=11, spare=4, step_s=0.08)
FREEZE_S = 4.0
"""At most; it ends 2.4 s after the leader's first orders, which come 1.1 s after its claim."""
DRILL_AFTER_S = 1.4
WAKE_AFTER_S = 2.4
"""Both are counted from the leader's first order to a rank."""
COPY_AGE_S = 4.0
AWAY_S = 0.5
PLAY_S = 20.0
ROUNDS = 3
"""The same agent may claim the group again; then no further map is planned in that round."""
START_S = 20.0


def configuration() -> str:
    engine = {
        "slots": 6,
        "kv_capacity": 186000,
        "step_ms": 5.85,
        "per_seq_ms": 0.71,
        "read_per_s": 61200.0,
        "usual": {"prompt": 835, "answer": 139},
        "report_lag_ms": 200.0,
        "link_mbps": 180000.0,
        "sets": SHAPE.sets,
        "experts": SHAPE.experts,
        "placements": SHAPE.placements,
        "spare": SHAPE.spare,
        "expert_mb": 880.0,
        "expert_share": 0.85,
        "form_ms": 600.0,
    }
    route = {
        "name": "stream",
        "host": "desk.example",
        "path_prefix": "/stream/",
        "kind": "streaming",
        "timeout_ms": 8000,
        "target_latency_ms": 400,
        "target_gap_ms": 120,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 2,
        "resumable": True,
        "sticky": True,
    }
    return json.dumps(
        {
            "version": 1,
            "routes": [route],
            "services": [{"name": SERVICE, "max_conns": 348, "engine": engine}],
        }
    )


async def wait_for_leader(store: Store) -> dict[str, object] | None:
    until_s = time.monotonic() + START_S
    while time.monotonic() < until_s:
        record = store.get(LEADER_KIND, "g-1")
        if record is not None:
            return json.loads(record)
        await asyncio.sleep(0.01)
    return None


async def wait_listening(addresses: list[str]) -> bool:
    """Wait until all agents listen."""
    until_s = time.monotonic() + START_S
    for address in addresses:
        host, _, port = address.rpartition(":")
        while True:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
                writer.close()
                break
            except OSError:
                if time.monotonic() > until_s:
                    return False
                await asyncio.sleep(0.02)
    return True


async def play(case: Case) -> int:
    verdict = CANNOT_RUN
    for number in range(ROUNDS):
        case.write(f"round {number + 1}")
        verdict = await play_round(case, number + 1)
        if verdict != HELD:
            break
    return verdict


async def play_round(case: Case, round_number: int) -> int:
    """Start a group, let trouble befall it, and watch its passes."""
    seed = int(os.environ.get("SEED", "0")) or random.randrange(1, 1_000_000)
    case.write(f"seed {seed}")
    network = random.randrange(2, 250)
    hosts = [f"127.{network}.1.{number + 1}" for number in range(SHAPE.ranks)]
    rank_port, agent_port, metrics_port = (free_port(hosts[0]) for _ in range(3))
    store = Store()
    await store.server.start()
    store.put("config", "main", configuration())
    group = Group(SHAPE, hosts, rank_port, random.Random(seed))
    await group.start(store, SERVICE)
    tasks = [
        asyncio.ensure_future(store.run_lapses()),
        asyncio.ensure_future(group.run_passes()),
        asyncio.ensure_future(group.run_heartbeats(store, SERVICE)),
    ]
    copies = [store.copy()]

    async def take_copies() -> None:
        while True:
            await asyncio.sleep(0.25)
            copies.append(store.copy())

    tasks.append(asyncio.ensure_future(take_copies()))
    agents = []
    names = [f"agent-{number}-{round_number}" for number in range(SHAPE.ranks)]
    for number, host in enumerate(hosts):
        settings = {
            "agent_id": names[number],
            "failure_domain": "zone-a",
            "rank_address": group.ranks[number].server.address,
            "service": SERVICE,
            "peer_address": f"{host}:{agent_port}",
            "metrics_address": f"{host}:{metrics_port}",
            "store_address": store.server.address,
        }
        agents.append(case.start("rank-agent", names[number], settings))
    record = await wait_for_leader(store)
    if record is None:
        return CANNOT_RUN
    if not await wait_listening([f"{host}:{agent_port}" for host in hosts]):
        return CANNOT_RUN
    claimed_s = time.monotonic()
    leader = hosts.index(str(record["address"]).rpartition(":")[0])
    case.write(f"agent-{leader} leads: {record}")
    if case.trouble:
        frozen = (leader + 1) % SHAPE.ranks
        case.write(f"the machine of agent-{frozen} freezes")
        agents[frozen].send_signal(signal.SIGSTOP)
        frozen_s = time.monotonic()
        while not group.order_log and time.monotonic() < frozen_s + FREEZE_S - WAKE_AFTER_S:
            await asyncio.sleep(0.01)
        ordered_s = time.monotonic()
        await asyncio.sleep(DRILL_AFTER_S)
        taken = max(
            (item for item in copies if item.at_s <= time.monotonic() - COPY_AGE_S),
            key=lambda item: item.at_s,
            default=copies[0],
        )
        age_s = time.monotonic() - taken.at_s
        case.write(f"the store is away for {AWAY_S} s and comes back from a copy {age_s:.1f} s old")
        await store.drill(taken, AWAY_S)
        case.write("the store is back; the operator and the workers write again")
        store.put("config", "main", configuration())
        group.register(store, SERVICE)
        await asyncio.sleep(max(0.0, ordered_s + WAKE_AFTER_S - time.monotonic()))
        agents[frozen].send_signal(signal.SIGCONT)
        case.write(f"agent-{frozen} runs again after {time.monotonic() - frozen_s:.1f} s")
        again = await wait_for_leader(store)
        case.write(f"the record of the leader is written again: {again}")
        if again == record:
            case.write("the same agent has claimed the group again")
    while time.monotonic() < claimed_s + PLAY_S and not group.mixed:
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)
    for at_s, _, text in group.order_log:
        case.write(f"at {at_s - case.started_s:.3f} {text}")
    for name in names:
        for line in case.log_lines(name, "leading", "map change", "Traceback"):
            case.write(f"log of {name}: {line[:260]}")
    for agent in agents:
        agent.kill()
    for task in tasks:
        task.cancel()
    store.server.stop()
    for rank in group.ranks:
        rank.server.stop()
    case.write(f"passes: {group.step}, switches: {sorted(set(group.switches))}")
    for item in group.mixed[:3]:
        maps = [f"{held.version}#{hash(held.content) & 0xFFFFFF:06x}" for held in item.maps]
        case.write(f"pass {item.step} began with the maps {maps}")
    case.write(f"passes that began with different maps: {len(group.mixed)}")
    if group.mixed:
        return BROKEN
    return HELD if group.switches or case.trouble else CANNOT_RUN


main(FOLDER, play)
