"""The agent beside one rank: tells the group's leader about the rank, or leads itself."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable

import anyio
from absl import logging
from anyio.abc import TaskGroup

from bronzerudder.expert_maps.api import RankFailure, RankPlaces, RankState
from bronzerudder.expert_maps.counts import AgentCounts, Counted
from bronzerudder.expert_maps.leader import GroupLeader, RankLister
from bronzerudder.expert_maps.leadership import NOBODY, Leader, LeaderRecord
from bronzerudder.expert_maps.posts import (
    ACCEPTED,
    NOT_LEADER,
    ORDER_PATH,
    POST_PATH,
    SPREAD_PATH,
    RankOrder,
    RankPost,
    SpreadOrder,
    decode_body,
    encode_body,
)
from bronzerudder.expert_maps.relay import RelayedOrders, carry_out
from bronzerudder.expert_maps.scenarios import Scenario, ScenarioTaker
from bronzerudder.expert_maps.shape import ExpertShape
from bronzerudder.http1 import ClientPool, HttpError, Request, ResponseWriter
from bronzerudder.observability.event_log import EventLog
from bronzerudder.platform.api import ObjectStore
from bronzerudder.platform.errors import StoreError
from bronzerudder.platform.ranks import RankClient

LOOK_INTERVAL_S = 0.12
"""How often the rank is asked; a call on the own machine costs a fraction of a millisecond."""
POST_INTERVAL_S = 0.4
"""Between posts with counts; a post without goes out when the rank's map state changes."""
SCENARIOS_PER_S = 200.0
"""Of a whole group. It bounds what the leader's link carries: 1.6 Mbit/s at a kilobyte each."""
POST_TIMEOUT_S = 0.25
"""A leader answers posts within some hundredths of a second, also while it plans."""
FAILED_POSTS = 2
"""Posts in a row that fail before another leader is looked for; one may just be lost."""
CLAIM_SPREAD_S = 0.4
"""Agents that miss the leader claim at different times, so that most find a new one."""
FIRST_RANK = 0
FIRST_CLAIM_S = 1.0
"""Time for the agent of the first rank to claim a group that nobody leads."""
STORE_PAUSE_S = 0.5

ShapeReader = Callable[[], Awaitable[ExpertShape | StoreError]]


class RankAgent:
    """One rank's agent.

    Parameters
    ----------
    ranks : RankClient
        Speaks with ranks.
    rank_address, own_address : str
        Of the rank beside it, and where this agent takes posts.
    store : ObjectStore
        Holds the record of the leader.
    read_shape : callable
        Reads the shape of the maps.
    list_ranks : callable
        Reads the addresses of the ranks of the service.
    tell_load : callable
        Tells the gateways how loaded the rank is.
    log : EventLog
        Takes a line for each change of leader.
    counts : AgentCounts
        Takes what is done, for the metrics.
    tasks : TaskGroup
        Runs the leading.
    """

    def __init__(
        self,
        ranks: RankClient,
        rank_address: str,
        own_address: str,
        store: ObjectStore,
        read_shape: ShapeReader,
        list_ranks: RankLister,
        tell_load: Callable[[RankState], None],
        log: EventLog,
        counts: AgentCounts,
        tasks: TaskGroup,
    ) -> None:
        self._counts = counts
        self._tell_load = tell_load
        self._ranks = ranks
        self._rank_address = rank_address
        self._own_address = own_address
        self._store = store
        self._read_shape = read_shape
        self._list_ranks = list_ranks
        self._log = log
        self._tasks = tasks
        self._pool = ClientPool(POST_TIMEOUT_S)
        self._relay = RelayedOrders(ranks, own_address.rpartition(":")[2])
        self._record: LeaderRecord | None = None
        self._leader: Leader | None = None
        self._leading: GroupLeader | None = None
        self._failed_posts = 0
        self._waited_for_first = False
        self._posted_at_s = 0.0
        self._counted_at_s = 0.0
        self._taker = ScenarioTaker()
        self._posted: RankState | None = None
        self._places_posted_for: tuple[str, int, int] | None = None

    @property
    def leading(self) -> GroupLeader | None:
        """The leader's part, while this agent leads."""
        return self._leading

    @property
    def term(self) -> int:
        """Term of the leader that it knows; 0 for none."""
        return 0 if self._leader is None else self._leader.term

    @property
    def map_version(self) -> int:
        """Map that the rank used when it last told; 0 before."""
        return 0 if self._posted is None else self._posted.map_version

    async def handle(self, request: Request, writer: ResponseWriter) -> None:
        """Take a post of another agent."""
        if request.target == ORDER_PATH:
            await self._handle_order(request, writer)
            return
        if request.target == SPREAD_PATH:
            await self._handle_spread(request, writer)
            return
        post = decode_body(request.body, RankPost) if request.target == POST_PATH else None
        if post is None:
            await writer.respond(400, [], b"not a post\n")
            return
        if self._leading is None:
            await writer.respond(NOT_LEADER, [], b"not leading\n")
            return
        self._leading.take(post)
        await writer.respond(ACCEPTED, [], b"")

    async def _handle_order(self, request: Request, writer: ResponseWriter) -> None:
        """Give a leader's order to its rank, which may be another than the one beside."""
        order = decode_body(request.body, RankOrder)
        if order is None:
            await writer.respond(400, [], b"not an order\n")
            return
        status = await carry_out(self._ranks, order)
        self._counts.note(Counted.ORDERS, f"{order.operation} {status}")
        await writer.respond(status, [], b"")

    async def _handle_spread(self, request: Request, writer: ResponseWriter) -> None:
        """Pass a leader's map on to several ranks."""
        order = decode_body(request.body, SpreadOrder)
        if order is None:
            await writer.respond(400, [], b"not a map to pass on\n")
            return
        results = await self._relay.pass_on(order)
        await writer.respond(ACCEPTED, [], encode_body(results))

    async def run(self) -> None:
        """Look at the rank and post, for ever."""
        while True:
            await anyio.sleep(LOOK_INTERVAL_S)
            state = await self._ranks.state(self._rank_address)
            if isinstance(state, RankFailure):
                continue
            self._tell_load(state)
            if self._record is None:
                self._record = LeaderRecord(self._store, state.group)
            now_s = time.monotonic()
            due = now_s - self._posted_at_s >= POST_INTERVAL_S
            if not due and not self._is_news(state):
                continue
            await self._post(state, due)

    def _is_news(self, state: RankState) -> bool:
        last = self._posted
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

    async def _post(self, state: RankState, due: bool) -> None:
        scenario = await self._take_scenario(state) if due else None
        places = await self._read_places(state)
        if due:
            self._posted_at_s = time.monotonic()
        post = RankPost(state, scenario, places)
        delivered = await self._deliver(post)
        self._counts.note(Counted.POSTS, "delivered" if delivered else "failed")
        if delivered:
            self._posted = state
            self._failed_posts = 0
            if places is not None and self._leader is not None:
                self._places_posted_for = (
                    self._leader.address + str(self._leader.term),
                    state.epoch,
                    places.map_version,
                )
            return
        self._failed_posts += 1
        self._posted_at_s = 0.0
        if self._failed_posts >= FAILED_POSTS or self._leader is None:
            await self._find_leader(state)

    async def _take_scenario(self, state: RankState) -> Scenario | None:
        now_s = time.monotonic()
        interval_s = max(POST_INTERVAL_S, state.size / SCENARIOS_PER_S)
        if now_s - self._counted_at_s < interval_s:
            return None
        self._counted_at_s = now_s
        counts = await self._ranks.counts(self._rank_address)
        return None if isinstance(counts, RankFailure) else self._taker.take(counts)

    async def _read_places(self, state: RankState) -> RankPlaces | None:
        if self._leader is not None:
            key = (self._leader.address + str(self._leader.term), state.epoch, state.map_version)
            if key == self._places_posted_for:
                return None
        places = await self._ranks.places(self._rank_address)
        return None if isinstance(places, RankFailure) else places

    async def _deliver(self, post: RankPost) -> bool:
        if self._leading is not None:
            self._leading.take(post)
            return True
        leader = self._leader
        if leader is None or not leader.address:
            return False
        headers = [(b"host", leader.address.encode())]
        with anyio.move_on_after(POST_TIMEOUT_S):
            answer = await self._pool.call(
                leader.address, b"POST", POST_PATH, headers, encode_body(post)
            )
            if isinstance(answer, HttpError):
                return False
            if answer[0] == NOT_LEADER:
                self._leader = None
            return answer[0] == ACCEPTED
        return False

    async def _find_leader(self, state: RankState) -> None:
        """Look for another leader; claim the group if there is none."""
        assert self._record is not None
        failed = self._leader
        found = await self._record.read()
        if isinstance(found, StoreError):
            await anyio.sleep(STORE_PAUSE_S * random.uniform(0.5, 1.0))
            return
        is_new = found.address and (failed is None or found.term != failed.term)
        if is_new and found.address != self._own_address:
            self._follow(found)
            return
        if found == NOBODY and state.rank != FIRST_RANK and not self._waited_for_first:
            # At a start all agents look at once; one of them is enough to claim.
            self._waited_for_first = True
            await anyio.sleep(FIRST_CLAIM_S * random.uniform(0.5, 1.0))
            return
        if found != NOBODY and found.address != self._own_address and state.held_step is None:
            await anyio.sleep(CLAIM_SPREAD_S * random.random())
        await self._claim(found)

    def _follow(self, leader: Leader) -> None:
        self._leader = leader
        self._failed_posts = 0
        self._log.state("following", leader=leader.address, term=leader.term)

    async def _claim(self, known: Leader) -> None:
        assert self._record is not None
        shape = await self._read_shape()
        if isinstance(shape, StoreError):
            self._log.state("shape of the maps not known", reason=shape.reason)
            return
        claimed = await self._record.claim(known, self._own_address, self._rank_address)
        if isinstance(claimed, StoreError):
            self._log.state("claim failed", reason=claimed.reason)
            return
        self._leader = claimed
        self._failed_posts = 0
        leading = GroupLeader(
            self._relay,
            self._rank_address,
            self._list_ranks,
            shape,
            self._record,
            claimed,
            known,
            self._log,
            self._counts,
        )
        self._leading = leading
        self._tasks.start_soon(self._lead, leading)

    async def _lead(self, leading: GroupLeader) -> None:
        try:
            await leading.run()
        except Exception:
            # The agent goes on without leading; another one, or a new claim, takes over.
            logging.exception("leading failed")
        finally:
            if self._leading is leading:
                self._leading = None
                self._leader = None
