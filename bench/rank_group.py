"""Changes of a lock-step group's expert map: steps delayed, waits after deaths, cost by ranks.

The cost is measured by running the proposer's own code for up to 256 ranks in one process, first
with every message encoded but none sent, then over gRPC. Delays and waits are measured on three
stand-in ranks and their group members, run as processes while the platform is down.
"""

from __future__ import annotations

import itertools
import math
import statistics
import tempfile
import time
from collections.abc import Callable
from typing import NamedTuple

import anyio
import grpc.aio
import httpx

from bronzerudder.rank_group import rank_group_pb2 as pb
from bronzerudder.rank_group.attempt import ProposalAttempt
from bronzerudder.rank_group.codec import (
    decode_reply,
    decode_request,
    encode_reply,
    encode_request,
)
from bronzerudder.rank_group.errors import PeerError
from bronzerudder.rank_group.messages import GroupReply, GroupRequest
from bronzerudder.rank_group.participant import Participant
from bronzerudder.rank_group.peers import GrpcRankPeers, RankPeers
from bronzerudder.rank_group.proposer import Proposer, next_term
from bronzerudder.rank_group.service import RankGroupService
from bronzerudder.standin.rank.local import LocalRankEngine
from bronzerudder.standin.rank.maps import RankMaps
from tests.rank_group.processes import RANKS, STEP_TIME_S, Group

TIMEOUT_S = 30
GROUP = "chat"
CHANGES = 10
OUTAGE_S = 1.0
GRANT_PERIOD_S = 1.0
WINDOW_STEPS = (4, 16)
RANK_COUNTS = (4, 16, 64, 256)
EXPERT_MAP = bytes(64 * 58)
KILL_POINTS = (("PROMISE", 1), ("STAGE", 1), ("ARM", 0), ("ARM", 1), ("COMMIT", 0), ("COMMIT", 1))


class Cost(NamedTuple):
    """Cost of one change at the proposer; `messages` counts requests and replies."""

    messages: int
    bytes_sent: int
    bytes_received: int
    wall_s: float
    processor_s: float


class CountingPeers(RankPeers):
    """Encodes and counts every message, and delivers it within the process."""

    def __init__(self, participants: list[Participant]) -> None:
        self._participants = participants
        self.messages = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    async def call(
        self, rank: int, request: GroupRequest, timeout_s: float
    ) -> GroupReply | PeerError:
        """Answer a request as if it had been received over the network."""
        sent = encode_request(request).SerializeToString()
        decoded = decode_request(pb.GroupRequest.FromString(sent))
        if decoded is None:
            return PeerError(rank, "unknown phase")
        reply = await self._participants[rank].answer(decoded)
        received = encode_reply(reply).SerializeToString()
        self.messages += 2
        self.bytes_sent += len(sent)
        self.bytes_received += len(received)
        return decode_reply(pb.GroupReply.FromString(received))


async def _measure_change(rank_count: int, over_grpc: bool) -> Cost:
    maps = [RankMaps(honours_terms=True) for _ in range(rank_count)]
    participants = [Participant(LocalRankEngine(rank_maps), 1) for rank_maps in maps]
    for participant in participants:
        await participant.recover([])
    counting = CountingPeers(participants)
    if not over_grpc:
        return await _form_and_change(maps, participants, counting, counting)
    servers = [grpc.aio.server(options=(("grpc.so_reuseport", 0),)) for _ in participants]
    ports = []
    for rank, (server, participant) in enumerate(zip(servers, participants, strict=True)):
        RankGroupService(participant, GROUP, rank).add_to(server)
        ports.append(server.add_insecure_port("127.0.0.1:0"))
        await server.start()
    peers = GrpcRankPeers(GROUP, tuple(f"127.0.0.1:{port}" for port in ports))
    cost = await _form_and_change(maps, participants, peers, counting)
    await peers.close()
    for server in servers:
        await server.stop(0)
    return cost


async def _form_and_change(
    maps: list[RankMaps],
    participants: list[Participant],
    peers: RankPeers,
    counting: CountingPeers,
) -> Cost:
    await _propose(participants, peers, counting, None)
    for rank_maps in maps:
        rank_maps.declare_ready()
    counting.messages = counting.bytes_sent = counting.bytes_received = 0
    return await _propose(participants, peers, counting, EXPERT_MAP)


async def _propose(
    participants: list[Participant],
    peers: RankPeers,
    counting: CountingPeers,
    new_map: bytes | None,
) -> Cost:
    count = len(participants)
    term = next_term(participants[0].promised, 0, count)
    proposer = Proposer(count, term, new_map, EXPERT_MAP, 2)
    started, processor_started = time.perf_counter(), time.process_time()
    result = await ProposalAttempt(proposer, 0, count, peers, participants[0].answer).run()
    if result.committed == 0:
        raise RuntimeError(result.reason)
    wall_s = time.perf_counter() - started
    processor_s = time.process_time() - processor_started
    return Cost(
        counting.messages, counting.bytes_sent, counting.bytes_received, wall_s, processor_s
    )


def _print_costs() -> None:
    print(f"one change, map of {len(EXPERT_MAP)} bytes, at the proposer")
    print("ranks  messages  bytes sent  bytes received  wall ms  processor ms")
    costs = []
    for count in RANK_COUNTS:
        cost = anyio.run(_measure_change, count, False)
        costs.append(cost)
        print(
            f"{count:5}  {cost.messages:8}  {cost.bytes_sent:10}  {cost.bytes_received:14}"
            f"  {cost.wall_s * 1000:7.1f}  {cost.processor_s * 1000:12.1f}"
        )
    span = RANK_COUNTS[-1] - RANK_COUNTS[0]
    messages = (costs[-1].messages - costs[0].messages) / span
    sent = (costs[-1].bytes_sent - costs[0].bytes_sent) / span
    received = (costs[-1].bytes_received - costs[0].bytes_received) / span
    processor_us = (costs[-1].processor_s - costs[0].processor_s) / span * 1e6
    print(
        f"slope per rank: {messages:.1f} messages, {sent:.0f} bytes sent, "
        f"{received:.0f} bytes received, {processor_us:.0f} us of processor time"
    )


def _print_grpc_costs() -> None:
    print("the same over gRPC on loopback, all ranks in this process, both ends counted")
    for count in RANK_COUNTS:
        cost = anyio.run(_measure_change, count, True)
        wall_ms, processor_ms = cost.wall_s * 1000, cost.processor_s * 1000
        print(f"{count:5} ranks: {wall_ms:.0f} ms, {processor_ms:.0f} ms of processor time")


def _measure_undisturbed_changes() -> None:
    with (
        tempfile.TemporaryDirectory() as folder,
        Group(folder, proposers=[0], propose_interval_s=0.3) as group,
    ):
        group.wait_until(_versions_reached(group, CHANGES + 1), TIMEOUT_S, "changes")
        switches, others = _find_step_gaps(group)
        mixed = len(group.find_mixed_steps())
    median_s = statistics.median(others)
    delayed = sum(gap > median_s + STEP_TIME_S / 2 for gap in switches)
    print(f"good day: {len(switches)} first steps on a new map at {RANKS} ranks, {delayed} delayed")
    print(
        f"  gap before them: median {statistics.median(switches) * 1000:.1f} ms, largest "
        f"{max(switches) * 1000:.1f} ms; before other steps: median {median_s * 1000:.1f} ms, "
        f"largest {max(others) * 1000:.1f} ms; mixed steps {mixed}"
    )


def _versions_reached(group: Group, count: int) -> Callable[[], bool]:
    def reached() -> bool:
        seen = [{line["version"] for line in group.steps(rank)} for rank in range(RANKS)]
        return all(len(versions) >= count for versions in seen)

    return reached


def _find_step_gaps(group: Group) -> tuple[list[float], list[float]]:
    switches, others = [], []
    for rank in range(RANKS):
        for before, after in itertools.pairwise(group.steps(rank)):
            gap_s = after["time_s"] - before["time_s"]
            (others if before["version"] == after["version"] else switches).append(gap_s)
    return switches, others


def _measure_proposer_kills() -> None:
    print("proposer killed in place of a request, and restarted at once: longest wait of a step")
    for phase, sent in KILL_POINTS:
        with tempfile.TemporaryDirectory() as folder, Group(folder) as group:
            group.wait_until(group.advanced(10), TIMEOUT_S, "formation")
            group.kill_member(0)
            proposing = {"proposers": [0], "propose_interval_s": 0.1}
            group.start_member(0, kill_in_phase=phase, kill_after=sent, **proposing)
            group.wait_member_exit(0, TIMEOUT_S)
            group.start_member(0)
            group.wait_until(group.advanced(40), TIMEOUT_S, "steps after a kill")
            wait_s, mixed = group.longest_wait_s(), len(group.find_mixed_steps())
        print(f"  {phase.lower():8} after {sent} sent: {wait_s:.2f} s, mixed steps {mixed}")


def _measure_agent_outage() -> None:
    print(f"rank 0's agent gone for {OUTAGE_S} s outside of a change: longest wait of a step")
    with tempfile.TemporaryDirectory() as folder, Group(folder) as group:
        group.wait_until(group.advanced(10), TIMEOUT_S, "formation")
        group.kill_member(0)
        group.wait_until(group.advanced(int(OUTAGE_S / STEP_TIME_S)), TIMEOUT_S, "steps")
        print(f"  hold before a step, agent not restarted: {group.longest_wait_s():.2f} s")
    for window in WINDOW_STEPS:
        with tempfile.TemporaryDirectory() as folder, Group(folder) as group:
            group.wait_until(group.advanced(10), TIMEOUT_S, "formation")
            calls = anyio.run(_grant_windows, group, window)
            wait_s = group.longest_wait_s()
        lost_steps = wait_s / STEP_TIME_S - 1
        print(
            f"  windows of {window} steps: {wait_s:.2f} s, {lost_steps:.0f} steps lost, "
            f"{calls / GRANT_PERIOD_S:.0f} grants a second and rank"
        )


async def _grant_windows(group: Group, window: int) -> float:
    """Grant windows of steps, with an outage at rank 0; return rank 1's grants per period."""
    granted = [0] * RANKS
    async with anyio.create_task_group() as tasks:
        for rank in range(RANKS):
            tasks.start_soon(_grant_to_rank, group, rank, window, granted)
        await anyio.sleep(GRANT_PERIOD_S + OUTAGE_S + GRANT_PERIOD_S)
        tasks.cancel_scope.cancel()
    return granted[1] / 2


async def _grant_to_rank(group: Group, rank: int, window: int, granted: list[int]) -> None:
    url = f"http://{group.control[rank]}/rank"
    body = {"term": 1 << 60, "version": 0, "step": 0, "expert_map": ""}
    outage_at = time.monotonic() + GRANT_PERIOD_S if rank == 0 else math.inf
    limit = 0
    async with httpx.AsyncClient(trust_env=False) as client:
        while True:
            if time.monotonic() > outage_at:
                await anyio.sleep(OUTAGE_S)
                outage_at = math.inf
            status = (await client.post(f"{url}/read", json=body)).json()
            if limit - status["next_step"] <= window // 2:
                limit = status["next_step"] + window
                await client.post(f"{url}/grant", json={**body, "step": limit})
                granted[rank] += 1
            await anyio.sleep(STEP_TIME_S / 2)


def main() -> None:
    """Print the tables."""
    _print_costs()
    _print_grpc_costs()
    _measure_undisturbed_changes()
    _measure_proposer_kills()
    _measure_agent_outage()


if __name__ == "__main__":
    main()
