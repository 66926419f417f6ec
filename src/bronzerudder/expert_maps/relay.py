"""Sends a leader's orders to ranks, relayed by agents of the group.

A map is relayed by the agent next to its rank: it crosses the narrow links in a packed form, and an
order from the rank's own instance costs the platform nothing. For a large group the map goes to one
agent for each subset of the ranks, which forwards it.

All other orders of a change are relayed by the agent of another rank, and a retry by the next one.
If the instance that relays an order is stalled right after, the answer is lost, but another agent
can send the order again. Through the rank's own agent, the group would wait on a held step for as
long as that instance is stalled. If no connection to an agent is possible, the order goes to the
rank directly.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Awaitable, Callable, Sequence

import anyio

from bronzerudder.expert_maps.api import (
    Layout,
    OrderResult,
    RankCalls,
    RankCounts,
    RankExperts,
    RankFailure,
    RankState,
)
from bronzerudder.expert_maps.messages import (
    ACCEPTED,
    ORDER_PATH,
    SPREAD_PATH,
    PackedLayout,
    RankOrder,
    SpreadOrder,
    SpreadResults,
    decode_body,
    encode_body,
    pack_layout,
    unpack_layout,
)
from bronzerudder.http1 import ClientPool, HttpError, HttpErrorKind

RELAY_TIMEOUT_S = 0.15
"""Two hops on one site and the rank's answer take some milliseconds."""
PREPARE_TIMEOUT_S = 0.6
"""A map of some kilobytes to each of many ranks fills a narrow link for some tenths of a second."""
MAX_CONCURRENT_PREPARES = 8
"""With more, all share the leader's link and none is answered in time."""
SPREAD_TIMEOUT_S = 0.7
"""Twice the time that a map takes over a narrow link, with the orders and answers."""
REFUSED = 409
UNKNOWN = 504
PING = "ping"
"""Operation without effect, to check that an agent responds."""

_STATUS_BY_RESULT = {
    OrderResult.ACCEPTED: ACCEPTED,
    OrderResult.REFUSED: REFUSED,
    OrderResult.UNSENT: UNKNOWN,
    OrderResult.UNKNOWN: UNKNOWN,
}
_RESULT_BY_STATUS = {ACCEPTED: OrderResult.ACCEPTED, REFUSED: OrderResult.REFUSED}


class RelayedOrders(RankCalls):
    """Sends a leader's orders to all ranks of its group.

    Parameters
    ----------
    direct : RankCalls
        Sends orders and queries to ranks directly.
    port : str
        Port on which all agents receive orders.
    """

    def __init__(self, direct: RankCalls, port: str) -> None:
        self._direct = direct
        self._port = port
        self._pool = ClientPool(RELAY_TIMEOUT_S)
        self._prepares = anyio.Semaphore(MAX_CONCURRENT_PREPARES)
        self._relays: list[str] = []
        self._unanswered: collections.Counter[str] = collections.Counter()

    def set_ranks(self, ranks: Sequence[RankState], own_address: str) -> None:
        """Set the ranks of the group, whose agents relay orders to each other's ranks.

        The leader's own agent relays none: if the relaying instance is stalled right after it sent
        an order, the leader keeps running and can send the order through another one.
        """
        self._relays = [rank.address for rank in ranks if rank.address != own_address]
        self._unanswered.clear()

    async def state(self, address: str) -> RankState | RankFailure:
        """Query the state of a rank."""
        return await self._direct.state(address)

    async def is_reachable(self, rank: RankState) -> bool:
        """Whether a rank can receive orders now: its agent responds, or the rank itself does."""
        order = RankOrder(rank, PING)
        address = self._agent_address(rank.address)

        async def query_directly() -> OrderResult:
            state = await self._direct.state(rank.address)
            failed = isinstance(state, RankFailure)
            return OrderResult.UNSENT if failed else OrderResult.ACCEPTED

        result = await self._send(address, order, query_directly)
        return result is OrderResult.ACCEPTED

    async def counts(self, address: str) -> RankCounts | RankFailure:
        """Query which experts a rank's requests chose."""
        return await self._direct.counts(address)

    async def experts(self, address: str) -> RankExperts | RankFailure:
        """Query which experts a rank holds."""
        return await self._direct.experts(address)

    async def prepare(self, rank: RankState, version: int, layout: Layout) -> OrderResult:
        """Load the experts that a map places on the rank."""
        return await self._prepare(rank, version, pack_layout(layout))

    async def prepare_many(
        self, ranks: Sequence[RankState], version: int, layout: Layout
    ) -> dict[str, OrderResult]:
        """Send a map through one agent for each subset of the ranks.

        One link would take half a second to carry a map to each of 72 ranks. A subset consists of
        neighbouring ranks, most of which are in one failure domain.
        """
        count = len(ranks)
        size = math.isqrt(count)
        if size < 2:
            return {}
        packed = pack_layout(layout)
        results: dict[str, OrderResult] = {}

        async def spread(subset: Sequence[RankState]) -> None:
            results.update(await self._spread(SpreadOrder(list(subset), version, packed)))

        async with anyio.create_task_group() as tasks:
            for start in range(0, count, size):
                tasks.start_soon(spread, ranks[start : start + size])
        return results

    async def _spread(self, order: SpreadOrder) -> dict[str, OrderResult]:
        address = self._agent_address(order.ranks[0].address)
        headers = [(b"host", address.encode())]
        with anyio.move_on_after(SPREAD_TIMEOUT_S):
            answer = await self._pool.call(
                address, b"POST", SPREAD_PATH, headers, encode_body(order)
            )
            if isinstance(answer, HttpError) or answer[0] != ACCEPTED:
                return {}
            decoded = decode_body(answer[1], SpreadResults)
            if decoded is None:
                return {}
            return {name: OrderResult(result) for name, result in decoded.results.items()}
        return {}

    async def forward(self, order: SpreadOrder) -> SpreadResults:
        """Forward a map to its ranks on behalf of the leader."""
        results: dict[str, str] = {}

        async def send(rank: RankState) -> None:
            result = await self._prepare(rank, order.version, order.layout)
            results[rank.address] = result.value

        async with anyio.create_task_group() as tasks:
            for rank in order.ranks:
                tasks.start_soon(send, rank)
        return SpreadResults(results)

    async def _prepare(self, rank: RankState, version: int, packed: PackedLayout) -> OrderResult:
        order = RankOrder(rank, "prepare", version, layout=packed)

        def send_directly() -> Awaitable[OrderResult]:
            return self._direct.prepare(rank, version, unpack_layout(packed))

        address = self._agent_address(rank.address)
        async with self._prepares:
            return await self._send(address, order, send_directly, PREPARE_TIMEOUT_S)

    async def arm(self, rank: RankState, version: int, step: int) -> OrderResult:
        """Switch to the prepared map when a step begins."""
        order = RankOrder(rank, "arm", version, step)
        return await self._send_through_peer(order, lambda: self._direct.arm(rank, version, step))

    async def disarm(self, rank: RankState, version: int) -> OrderResult:
        """Cancel the switch to a map."""
        order = RankOrder(rank, "disarm", version)
        return await self._send_through_peer(order, lambda: self._direct.disarm(rank, version))

    async def hold(self, rank: RankState, step: int) -> OrderResult:
        """Keep the group from beginning a step."""
        order = RankOrder(rank, "hold", step=step)
        return await self._send_through_peer(order, lambda: self._direct.hold(rank, step))

    async def release(self, rank: RankState, step: int) -> OrderResult:
        """Let the group begin a held step."""
        order = RankOrder(rank, "release", step=step)
        return await self._send_through_peer(order, lambda: self._direct.release(rank, step))

    def _agent_address(self, rank_address: str) -> str:
        return f"{rank_address.rpartition(':')[0]}:{self._port}"

    async def _send_through_peer(
        self, order: RankOrder, send_directly: Callable[[], Awaitable[OrderResult]]
    ) -> OrderResult:
        rank_address = order.state.address
        address = self._agent_address(self._choose_relay(rank_address))
        result = await self._send(address, order, send_directly)
        if result is OrderResult.UNKNOWN:
            self._unanswered[rank_address] += 1
        return result

    def _choose_relay(self, rank_address: str) -> str:
        """Choose the rank whose agent relays an order; the next one after each unanswered order."""
        others = [address for address in self._relays if address != rank_address]
        if not others:
            return rank_address
        first = 0
        if rank_address in self._relays:
            first = self._relays.index(rank_address)
        return others[(first + self._unanswered[rank_address]) % len(others)]

    async def _send(
        self,
        address: str,
        order: RankOrder,
        send_directly: Callable[[], Awaitable[OrderResult]],
        timeout_s: float = RELAY_TIMEOUT_S,
    ) -> OrderResult:
        headers = [(b"host", address.encode())]
        with anyio.move_on_after(timeout_s):
            answer = await self._pool.call(
                address, b"POST", ORDER_PATH, headers, encode_body(order)
            )
            if not isinstance(answer, HttpError):
                return _RESULT_BY_STATUS.get(answer[0], OrderResult.UNKNOWN)
            if answer.kind is not HttpErrorKind.NOT_SENT:
                return OrderResult.UNKNOWN
            return await send_directly()
        return OrderResult.UNKNOWN


async def execute_order(ranks: RankCalls, order: RankOrder) -> int:
    """Send an order to its rank on behalf of the leader; return the HTTP status for the answer."""
    state = order.state
    if order.operation == PING:
        return ACCEPTED
    if order.operation == "prepare" and order.layout is not None:
        result = await ranks.prepare(state, order.version, unpack_layout(order.layout))
    elif order.operation == "arm":
        result = await ranks.arm(state, order.version, order.step)
    elif order.operation == "disarm":
        result = await ranks.disarm(state, order.version)
    elif order.operation == "hold":
        result = await ranks.hold(state, order.step)
    elif order.operation == "release":
        result = await ranks.release(state, order.step)
    else:
        return REFUSED
    return _STATUS_BY_RESULT[result]
