"""Gives orders to ranks through agents.

A map goes through the agent beside its rank: over the narrow links in a packed form, and an order
on the rank's own machine costs the platform nothing.

All other orders of a change go through the agent of another rank. If the machine that gives one
stands still right after, its answer is lost, but the rank can still be asked again by another
machine; through its own agent, the group would wait on a held step for as long as that machine
stands still. Where no agent answers at all, an order goes to the rank itself.
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
    RankFailure,
    RankPlaces,
    RankState,
)
from bronzerudder.expert_maps.posts import (
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
PREPARES_AT_ONCE = 8
"""More of them would only share the leader's link, and none be answered in time."""
SPREAD_TIMEOUT_S = 0.7
"""Twice the time of a map over a narrow link, with its orders and answers."""
REFUSED = 409
UNKNOWN = 504
PING = "ping"
"""In place of an operation: only tells that the machine answers."""

_STATUS_BY_RESULT = {
    OrderResult.ACCEPTED: ACCEPTED,
    OrderResult.REFUSED: REFUSED,
    OrderResult.NOT_GIVEN: UNKNOWN,
    OrderResult.UNKNOWN: UNKNOWN,
}
_RESULT_BY_STATUS = {ACCEPTED: OrderResult.ACCEPTED, REFUSED: OrderResult.REFUSED}


class RelayedOrders(RankCalls):
    """Orders of a leader to all ranks of its group.

    Parameters
    ----------
    direct : RankCalls
        Speaks with ranks itself.
    port : str
        Port on which the agents of all machines take orders.
    """

    def __init__(self, direct: RankCalls, port: str) -> None:
        self._direct = direct
        self._port = port
        self._pool = ClientPool(RELAY_TIMEOUT_S)
        self._prepares = anyio.Semaphore(PREPARES_AT_ONCE)
        self._helpers: list[str] = []
        self._unanswered: collections.Counter[str] = collections.Counter()

    def set_ranks(self, ranks: Sequence[RankState], own_address: str) -> None:
        """Say which ranks there are, whose agents give orders for each other.

        The leader's own agent does not, so that a machine which stands still right after it gave an
        order is not the leader's.
        """
        self._helpers = [rank.address for rank in ranks if rank.address != own_address]
        self._unanswered.clear()

    async def state(self, address: str) -> RankState | RankFailure:
        """Ask a rank for its state."""
        return await self._direct.state(address)

    async def answers(self, rank: RankState) -> bool:
        """Tell whether a rank can be given orders now: its machine answers, or the rank itself."""
        order = RankOrder(rank, PING)
        address = self._agent_address(rank.address)

        async def ask_directly() -> OrderResult:
            state = await self._direct.state(rank.address)
            failed = isinstance(state, RankFailure)
            return OrderResult.NOT_GIVEN if failed else OrderResult.ACCEPTED

        result = await self._give(address, order, ask_directly)
        return result is OrderResult.ACCEPTED

    async def counts(self, address: str) -> RankCounts | RankFailure:
        """Ask a rank what its requests chose."""
        return await self._direct.counts(address)

    async def places(self, address: str) -> RankPlaces | RankFailure:
        """Ask a rank which experts it holds."""
        return await self._direct.places(address)

    async def prepare(self, rank: RankState, version: int, layout: Layout) -> OrderResult:
        """Load what a map places on the rank."""
        return await self._prepare(rank, version, pack_layout(layout))

    async def prepare_many(
        self, ranks: Sequence[RankState], version: int, layout: Layout
    ) -> dict[str, OrderResult]:
        """Spread a map through one agent for each part of the group.

        One link would take half a second to carry a map to each of 72 ranks. Parts hold
        neighbours, which mostly are in one failure domain.
        """
        count = len(ranks)
        size = math.isqrt(count)
        if size < 2:
            return {}
        packed = pack_layout(layout)
        found: dict[str, OrderResult] = {}

        async def spread(part: Sequence[RankState]) -> None:
            found.update(await self._spread(SpreadOrder(list(part), version, packed)))

        async with anyio.create_task_group() as tasks:
            for start in range(0, count, size):
                tasks.start_soon(spread, ranks[start : start + size])
        return found

    async def _spread(self, order: SpreadOrder) -> dict[str, OrderResult]:
        address = self._agent_address(order.ranks[0].address)
        headers = [(b"host", address.encode())]
        with anyio.move_on_after(SPREAD_TIMEOUT_S):
            answer = await self._pool.call(
                address, b"POST", SPREAD_PATH, headers, encode_body(order)
            )
            if isinstance(answer, HttpError) or answer[0] != ACCEPTED:
                return {}
            told = decode_body(answer[1], SpreadResults)
            if told is None:
                return {}
            return {name: OrderResult(result) for name, result in told.results.items()}
        return {}

    async def pass_on(self, order: SpreadOrder) -> SpreadResults:
        """Give a spread map to its ranks, for the leader."""
        results: dict[str, str] = {}

        async def give(rank: RankState) -> None:
            result = await self._prepare(rank, order.version, order.layout)
            results[rank.address] = result.value

        async with anyio.create_task_group() as tasks:
            for rank in order.ranks:
                tasks.start_soon(give, rank)
        return SpreadResults(results)

    async def _prepare(self, rank: RankState, version: int, packed: PackedLayout) -> OrderResult:
        order = RankOrder(rank, "prepare", version, layout=packed)

        def give_directly() -> Awaitable[OrderResult]:
            return self._direct.prepare(rank, version, unpack_layout(packed))

        address = self._agent_address(rank.address)
        async with self._prepares:
            return await self._give(address, order, give_directly, PREPARE_TIMEOUT_S)

    async def arm(self, rank: RankState, version: int, step: int) -> OrderResult:
        """Switch to the prepared map when a step begins."""
        order = RankOrder(rank, "arm", version, step)
        return await self._give_through_another(
            order, lambda: self._direct.arm(rank, version, step)
        )

    async def disarm(self, rank: RankState, version: int) -> OrderResult:
        """Take back the switch to a map."""
        order = RankOrder(rank, "disarm", version)
        return await self._give_through_another(order, lambda: self._direct.disarm(rank, version))

    async def hold(self, rank: RankState, step: int) -> OrderResult:
        """Keep the group from beginning a step."""
        order = RankOrder(rank, "hold", step=step)
        return await self._give_through_another(order, lambda: self._direct.hold(rank, step))

    async def release(self, rank: RankState, step: int) -> OrderResult:
        """Let the group begin a held step."""
        order = RankOrder(rank, "release", step=step)
        return await self._give_through_another(order, lambda: self._direct.release(rank, step))

    def _agent_address(self, rank_address: str) -> str:
        return f"{rank_address.rpartition(':')[0]}:{self._port}"

    async def _give_through_another(
        self, order: RankOrder, give_directly: Callable[[], Awaitable[OrderResult]]
    ) -> OrderResult:
        rank_address = order.state.address
        address = self._agent_address(self._helper_of(rank_address))
        result = await self._give(address, order, give_directly)
        if result is OrderResult.UNKNOWN:
            self._unanswered[rank_address] += 1
        return result

    def _helper_of(self, rank_address: str) -> str:
        """Choose the rank whose agent gives an order; another one each time it is unanswered."""
        others = [address for address in self._helpers if address != rank_address]
        if not others:
            return rank_address
        first = 0
        if rank_address in self._helpers:
            first = self._helpers.index(rank_address)
        return others[(first + self._unanswered[rank_address]) % len(others)]

    async def _give(
        self,
        address: str,
        order: RankOrder,
        give_directly: Callable[[], Awaitable[OrderResult]],
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
            return await give_directly()
        return OrderResult.UNKNOWN


async def carry_out(ranks: RankCalls, order: RankOrder) -> int:
    """Give an order to its rank, for the leader; return the status of the answer."""
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
