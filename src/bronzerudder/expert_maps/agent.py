"""The agent next to one rank: reports the rank to the group's leader, or leads the group itself.

The agent polls its rank and sends reports to the leader. If several reports in a row fail, it reads
the leader's record: it follows a new leader, and otherwise claims the group. Two rules keep all
agents from claiming at the same time: at the start of a group the agent of the first rank goes
first, and after a failure each agent waits for a random time. An agent whose rank holds a step does
not wait, as the step blocks the group.

It also executes orders that the leader sends for this or another rank (see `relay`).
"""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable

import anyio
from absl import logging
from anyio.abc import TaskGroup

from bronzerudder.expert_maps.api import RankExperts, RankFailure, RankState
from bronzerudder.expert_maps.counts import AgentCounts, CounterName
from bronzerudder.expert_maps.leader import GroupLeader, RankLister
from bronzerudder.expert_maps.leadership import Leader, LeaderRecord
from bronzerudder.expert_maps.messages import (
    ACCEPTED,
    NOT_LEADER,
    ORDER_PATH,
    REPORT_PATH,
    SPREAD_PATH,
    RankOrder,
    RankReport,
    SpreadOrder,
    decode_body,
    encode_body,
)
from bronzerudder.expert_maps.relay import RelayedOrders, execute_order
from bronzerudder.expert_maps.scenarios import Scenario, ScenarioSampler
from bronzerudder.expert_maps.shape import ExpertShape
from bronzerudder.http1 import ClientPool, HttpError, Request, ResponseWriter
from bronzerudder.observability.event_log import EventLog
from bronzerudder.platform.api import ObjectStore
from bronzerudder.platform.errors import StoreError
from bronzerudder.platform.ranks import RankClient

POLL_INTERVAL_S = 0.12
"""How often the rank is polled; a call on the same instance takes a fraction of a millisecond."""
REPORT_INTERVAL_S = 0.4
"""Between reports with counts; one without is sent as soon as the rank's map state changes."""
SCENARIOS_PER_S = 200.0
"""Limit for a whole group; at a kilobyte each the leader's link carries 1.6 Mbit/s."""
REPORT_TIMEOUT_S = 0.25
"""A leader answers reports within some hundredths of a second, also while it plans."""
FAILED_REPORTS_LIMIT = 2
"""Failed reports in a row before another leader is looked for; a single one may just be lost."""
CLAIM_JITTER_S = 0.4
"""Longest random delay before a claim, so that most agents find a new leader in place."""
FIRST_RANK = 0
FIRST_CLAIM_DELAY_S = 1.0
"""Time for the agent of the first rank to claim a group without a leader."""
STORE_RETRY_DELAY_S = 0.5

ShapeReader = Callable[[], Awaitable[ExpertShape | StoreError]]


class RankAgent:
    """The agent of one rank.

    Parameters
    ----------
    ranks : RankClient
        Queries ranks and sends them orders.
    rank_address, own_address : str
        Of the rank next to it, and where this agent receives reports and orders.
    store : ObjectStore
        Holds the record of the leader.
    read_shape : callable
        Reads the shape of the expert maps.
    list_ranks : callable
        Reads the addresses of the ranks of the service.
    report_load : callable
        Reports the rank's load to the gateways.
    log : EventLog
        Gets a line for each change of leader.
    counts : AgentCounts
        Counts reports and orders, for the metrics.
    tasks : TaskGroup
        Runs the group leader.
    """

    def __init__(
        self,
        ranks: RankClient,
        rank_address: str,
        own_address: str,
        store: ObjectStore,
        read_shape: ShapeReader,
        list_ranks: RankLister,
        report_load: Callable[[RankState], None],
        log: EventLog,
        counts: AgentCounts,
        tasks: TaskGroup,
    ) -> None:
        self._counts = counts
        self._report_load = report_load
        self._ranks = ranks
        self._rank_address = rank_address
        self._own_address = own_address
        self._store = store
        self._read_shape = read_shape
        self._list_ranks = list_ranks
        self._log = log
        self._tasks = tasks
        self._pool = ClientPool(REPORT_TIMEOUT_S)
        self._relay = RelayedOrders(ranks, own_address.rpartition(":")[2])
        self._record: LeaderRecord | None = None
        self._leader: Leader | None = None
        self._group_leader: GroupLeader | None = None
        self._leading_scope = anyio.CancelScope()
        self._failed_reports = 0
        self._has_waited_for_first_rank = False
        self._reported_at_s = 0.0
        self._sampled_at_s = 0.0
        self._sampler = ScenarioSampler()
        self._reported: RankState | None = None
        self._experts_reported_for: tuple[str, int, int] | None = None
        self._newest_version = 0

    @property
    def group_leader(self) -> GroupLeader | None:
        """The group's leader, while it runs in this agent; None otherwise."""
        return self._group_leader

    @property
    def term(self) -> int:
        """Term of the leader known to this agent; 0 if there is none."""
        return 0 if self._leader is None else self._leader.term

    @property
    def map_version(self) -> int:
        """Version of the map in use at the last report; 0 before the first one."""
        return 0 if self._reported is None else self._reported.map_version

    async def handle(self, request: Request, writer: ResponseWriter) -> None:
        """Handle a report or an order from another agent."""
        if request.target == ORDER_PATH:
            await self._handle_order(request, writer)
            return
        if request.target == SPREAD_PATH:
            await self._handle_spread(request, writer)
            return
        report = decode_body(request.body, RankReport) if request.target == REPORT_PATH else None
        if report is None:
            await writer.respond(400, [], b"not a rank report\n")
            return
        if self._group_leader is None or report.term not in (0, self._group_leader.term):
            # The sender reads the record, and sends all that a new leader needs.
            await writer.respond(NOT_LEADER, [], b"not leading in this term\n")
            return
        self._group_leader.handle_report(report)
        await writer.respond(ACCEPTED, [], b"")

    async def _handle_order(self, request: Request, writer: ResponseWriter) -> None:
        """Execute a leader's order for any rank of the group."""
        order = decode_body(request.body, RankOrder)
        if order is None:
            await writer.respond(400, [], b"not an order\n")
            return
        status = await execute_order(self._ranks, order)
        self._counts.increment(CounterName.ORDERS, f"{order.operation} {status}")
        await writer.respond(status, [], b"")

    async def _handle_spread(self, request: Request, writer: ResponseWriter) -> None:
        """Forward a leader's map to several ranks."""
        order = decode_body(request.body, SpreadOrder)
        if order is None:
            await writer.respond(400, [], b"not a map to forward\n")
            return
        results = await self._relay.forward(order)
        await writer.respond(ACCEPTED, [], encode_body(results))

    async def run(self) -> None:
        """Poll the rank and report it to the leader until cancelled."""
        while True:
            await anyio.sleep(POLL_INTERVAL_S)
            state = await self._ranks.state(self._rank_address)
            if isinstance(state, RankFailure):
                continue
            self._report_load(state)
            self._join_group(state.group)
            self._newest_version = max(self._newest_version, state.newest_version)
            now_s = time.monotonic()
            due = now_s - self._reported_at_s >= REPORT_INTERVAL_S
            if not due and not self._has_changed(state):
                continue
            await self._send_report(state, due)

    def _join_group(self, group: str) -> None:
        """Follow the leader of the rank's group, and stop leading another one."""
        if self._record is not None and self._record.group == group:
            return
        self._log.state("in group", group=group)
        self._record = LeaderRecord(self._store, group, self._log)
        self._leader = None
        self._reported = None
        self._newest_version = 0
        self._leading_scope.cancel()

    def _has_changed(self, state: RankState) -> bool:
        last = self._reported
        if last is None:
            return True
        return (
            state.map_version,
            state.prepared_version,
            state.armed,
            state.held_step,
            state.epoch,
            state.is_open,
        ) != (
            last.map_version,
            last.prepared_version,
            last.armed,
            last.held_step,
            last.epoch,
            last.is_open,
        )

    async def _send_report(self, state: RankState, due: bool) -> None:
        scenario = await self._sample_scenario(state) if due else None
        rank_experts = await self._read_experts(state)
        if due:
            self._reported_at_s = time.monotonic()
        report = RankReport(state, scenario, rank_experts, self.term)
        delivered = await self._deliver(report)
        self._counts.increment(CounterName.REPORTS, "delivered" if delivered else "failed")
        if delivered:
            self._reported = state
            self._failed_reports = 0
            if rank_experts is not None and self._leader is not None:
                self._experts_reported_for = (
                    self._leader.address + str(self._leader.term),
                    state.epoch,
                    rank_experts.map_version,
                )
            return
        self._failed_reports += 1
        self._reported_at_s = 0.0
        if self._failed_reports >= FAILED_REPORTS_LIMIT or self._leader is None:
            await self._find_leader(state)

    async def _sample_scenario(self, state: RankState) -> Scenario | None:
        now_s = time.monotonic()
        interval_s = max(REPORT_INTERVAL_S, state.size / SCENARIOS_PER_S)
        if now_s - self._sampled_at_s < interval_s:
            return None
        self._sampled_at_s = now_s
        counts = await self._ranks.counts(self._rank_address)
        return None if isinstance(counts, RankFailure) else self._sampler.sample(counts)

    async def _read_experts(self, state: RankState) -> RankExperts | None:
        if self._leader is not None:
            key = (self._leader.address + str(self._leader.term), state.epoch, state.map_version)
            if key == self._experts_reported_for:
                return None
        rank_experts = await self._ranks.experts(self._rank_address)
        return None if isinstance(rank_experts, RankFailure) else rank_experts

    async def _deliver(self, report: RankReport) -> bool:
        if self._group_leader is not None:
            self._group_leader.handle_report(report)
            return True
        leader = self._leader
        if leader is None or not leader.address:
            return False
        headers = [(b"host", leader.address.encode())]
        with anyio.move_on_after(REPORT_TIMEOUT_S):
            answer = await self._pool.call(
                leader.address, b"POST", REPORT_PATH, headers, encode_body(report)
            )
            if isinstance(answer, HttpError):
                return False
            if answer[0] == NOT_LEADER:
                self._leader = None
            return answer[0] == ACCEPTED
        return False

    async def _find_leader(self, state: RankState) -> None:
        """Follow a new leader; claim the group if there is none."""
        assert self._record is not None
        failed = self._leader
        recorded = await self._record.read()
        if isinstance(recorded, StoreError):
            await anyio.sleep(STORE_RETRY_DELAY_S * random.uniform(0.5, 1.0))
            return
        is_new = recorded.address and (failed is None or recorded.term != failed.term)
        if is_new and recorded.address != self._own_address:
            self._follow(recorded)
            return
        if (
            not recorded.address
            and state.rank != FIRST_RANK
            and not self._has_waited_for_first_rank
        ):
            # When a group starts, all agents get here at the same time; one claim is enough.
            self._has_waited_for_first_rank = True
            await anyio.sleep(FIRST_CLAIM_DELAY_S * random.uniform(0.5, 1.0))
            return
        if recorded.address not in ("", self._own_address) and state.held_step is None:
            await anyio.sleep(CLAIM_JITTER_S * random.random())
        await self._claim(recorded)

    def _follow(self, leader: Leader) -> None:
        self._leader = leader
        self._failed_reports = 0
        self._log.state("following", leader=leader.address, term=leader.term)

    async def _claim(self, previous: Leader) -> None:
        assert self._record is not None
        shape = await self._read_shape()
        if isinstance(shape, StoreError):
            self._log.state("shape of the expert maps not read", reason=shape.reason)
            return
        claimed = await self._record.claim(
            previous, self._own_address, self._rank_address, self._newest_version
        )
        if isinstance(claimed, StoreError):
            self._log.state("claim failed", reason=claimed.reason)
            return
        self._leader = claimed
        self._failed_reports = 0
        group_leader = GroupLeader(
            self._record.group,
            self._relay,
            self._rank_address,
            self._list_ranks,
            shape,
            self._record,
            claimed,
            previous,
            self._log,
            self._counts,
        )
        self._group_leader = group_leader
        self._leading_scope = anyio.CancelScope()
        self._tasks.start_soon(self._lead, group_leader, self._leading_scope)

    async def _lead(self, group_leader: GroupLeader, scope: anyio.CancelScope) -> None:
        try:
            with scope:
                await group_leader.run()
        except Exception:
            # The agent keeps running; this or another agent claims the group again.
            logging.exception("leading the group failed")
        finally:
            self._newest_version = max(self._newest_version, group_leader.newest_version)
            if self._group_leader is group_leader:
                self._group_leader = None
                self._leader = None
