"""Changes the map of a group of ranks, so that no step runs on two maps.

The change goes in this order: all ranks prepare the map; one rank holds a step some steps ahead;
all ranks still answer; all ranks arm for that step; the step is released. As the held step can't
begin, no rank switches before all are armed, and usually the release comes before the step is
reached, so nothing waits.

A rank that stops answering between its arming and the answer keeps the step held until it is back.
So the ranks are asked once more right before: where one is silent, nothing is armed yet, and the
step is released at once.

A step is released only in one of two cases:

1. Every rank has accepted the arming for it. Nobody takes an arming back then, see 2.
2. Every rank has accepted the preparation of a higher version since. A rank refuses to prepare
   while it is armed, and to arm for a version that another preparation has replaced. So no rank is
   armed then, and an order to arm that is still under way will be refused.

The rank beside the leader is armed last, once all others have accepted. A leader's machine that
stands still or is cut off takes its rank's interface with it, and the order lets a successor go on
without it: as long as any other rank can be made unable to arm, the leader's rank is not armed and
never will be. That holds only for armings of that very leader: the rank may still be armed by an
earlier one whose change nobody has settled. Two things rule this out: the previous leader's note on
the store that all had been settled, and a map of that leader that another rank is armed for, as it
had every rank accept its preparation before it armed any.

A successor first looks whether all ranks are armed alike (case 1). If not, it prepares a higher
version on a rank that is not armed: from then on the leader that began the change can't complete
it, and arming may be taken back on the others. Versions are unique, as they begin with the term of
the leader, so an order of an earlier leader can't be mistaken for one of the present one.
"""

from __future__ import annotations

import enum
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

import anyio

from bronzerudder.expert_maps.api import (
    Layout,
    OrderResult,
    RankFailure,
    RankOrders,
    RankState,
)

PREPARE_TIMEOUT_S = 1.2
"""Time for all ranks to take the order to load, over narrow links and with some orders lost."""
LOAD_TIMEOUT_S = 4.0
"""Time for all ranks to load; a few experts take a fraction of a second."""
LOAD_CHECK_INTERVAL_S = 0.05
HOLD_TIMEOUT_S = 1.0
ARM_TIMEOUT_S = 20.0
"""Orders that were lost are carried out up to 12 s later; until then the step stays held."""
RETRY_INTERVAL_S = 0.02
LEAD_S = 0.25
"""How far ahead the step is. All orders take some hundredths of a second, and some are given again.
The old map stays in use until then."""
MIN_LEAD_STEPS = 2
LONG_LEAD_S = 0.6
"""Used when orders of the same change went without an answer: time to give each several times."""
READ_TIMEOUT_S = 1.0
READS_AT_ONCE = 8
"""More questions at once come back over a narrow link too late to count."""
REPORT_LAG_S = 0.3
"""What a rank tells another machine is older than this at times."""


class ChangeResult(enum.Enum):
    """How a change ended."""

    CHANGED = "changed"
    NOT_PREPARED = "not-prepared"
    NOT_HELD = "not-held"
    TAKEN_BACK = "taken-back"
    UNSETTLED = "unsettled"


class ChangePlan(NamedTuple):
    """One change of map.

    Parameters
    ----------
    version, fallback_version : int
        Of the new map, and of the preparation that makes it void if the change fails.
    layout : list
        Experts by set and rank.
    previous : list
        Layout in use, which the fallback prepares.
    steps_per_s : float
        Rate at which the group makes steps.
    """

    version: int
    fallback_version: int
    layout: Layout
    previous: Layout
    steps_per_s: float


class LostLeader(NamedTuple):
    """The leader before, when the rank beside it does not answer.

    Parameters
    ----------
    versions : range
        Versions that it may have given to maps.
    settled : bool
        Whether it had noted that nothing of earlier leaders was left unfinished.
    """

    versions: range
    settled: bool


Note = Callable[..., None]


class MapChanger:
    """Gives the orders of a change.

    Parameters
    ----------
    orders : RankOrders
        Takes orders to ranks.
    own_address : str
        Rank beside this process, which is armed last.
    prepared_by : callable
        Returns the addresses of the ranks that are known to have loaded a version.
    note : callable
        Takes a log line: an event and fields.
    """

    def __init__(
        self,
        orders: RankOrders,
        own_address: str,
        prepared_by: Callable[[int], set[str]],
        note: Note,
    ) -> None:
        self._orders = orders
        self._own_address = own_address
        self._prepared_by = prepared_by
        self._note = note
        self._unanswered = 0

    async def change(self, ranks: Sequence[RankState], plan: ChangePlan) -> ChangeResult:
        """Take a group to another map."""
        version = plan.version
        self._unanswered = 0
        self._orders.set_ranks(ranks, self._own_address)
        began_s = time.monotonic()
        if not await self._prepare_all(ranks, version, plan.layout):
            return ChangeResult.NOT_PREPARED
        prepared_s = time.monotonic()
        if not await self._await_loads(ranks, version):
            return ChangeResult.NOT_PREPARED
        loaded_s = time.monotonic()
        holder = self._choose_holder(ranks, version)
        step = await self._hold(holder, plan.steps_per_s)
        if step is None:
            return ChangeResult.NOT_HELD
        held_at_s = time.monotonic()
        if not await _all(self._orders.answers, ranks):
            await self._release(holder, step)
            self._note("a rank is silent, map not armed", version=version, step=step)
            return ChangeResult.NOT_HELD
        own = [rank for rank in ranks if rank.address == self._own_address]
        others = [rank for rank in ranks if rank.address != self._own_address]
        armed = await self._arm_all(others, version, step)
        if armed and await self._arm_all(own, version, step):
            await self._release(holder, step)
            self._note(
                "map armed",
                version=version,
                step=step,
                prepare_s=round(prepared_s - began_s, 3),
                load_s=round(loaded_s - prepared_s, 3),
                hold_s=round(held_at_s - loaded_s, 3),
                arm_s=round(time.monotonic() - held_at_s, 3),
            )
            return ChangeResult.CHANGED
        self._note("map not armed by all ranks", version=version, step=step)
        settled = await self.settle(ranks, plan.fallback_version, plan.previous)
        return ChangeResult.TAKEN_BACK if settled else ChangeResult.UNSETTLED

    async def settle(
        self,
        ranks: Sequence[RankState],
        version: int,
        layout: Layout,
        without_last: LostLeader | None = None,
    ) -> bool:
        """End what an unfinished change left behind: armed ranks and held steps.

        Parameters
        ----------
        ranks : sequence of RankState
            All ranks of the group.
        version : int
            Above all versions that any rank has had.
        layout : list
            Layout in use.
        without_last : LostLeader or None
            The previous leader, if the rank beside it is not among `ranks`, as it does not answer;
            None if all ranks are there.

        Returns
        -------
        bool
            Whether nothing is armed or held any more.
        """
        self._orders.set_ranks(ranks, self._own_address)
        # An order of the unfinished change may be too recent to show.
        await anyio.sleep(REPORT_LAG_S)
        states = await self._read_states(ranks)
        if states is None:
            return False
        if without_last is not None and _may_be_armed_by_earlier(states, without_last):
            self._note("the rank that does not answer may be armed by an earlier leader")
            return False
        armings = {state.armed for state in states}
        if len(armings) == 1 and None not in armings:
            if without_last is not None:
                self._note("all reachable ranks are armed; the last one must answer first")
                return False
            self._note("inherited map is armed by all ranks", armed=str(armings.pop()))
            return await self._release_all(states)
        if not await self._void(states, version, layout):
            return False
        return await self._release_all(states)

    async def _void(self, states: Sequence[RankState], version: int, layout: Layout) -> bool:
        """Make an unfinished change impossible to complete, and take back its armings."""
        free = [state for state in states if state.armed is None]
        if not free:
            self._note("ranks are armed for different maps")
            return False
        if not await self._prepare_all(free, version, layout):
            return False
        for state in states:
            if state.armed is None:
                continue
            if not await self._disarm(state, state.armed.version):
                return False
        return await self._prepare_all(states, version, layout)

    def _choose_holder(self, ranks: Sequence[RankState], version: int) -> RankState:
        """Choose a rank on another machine than this process, so that a successor reaches it."""
        others = [rank for rank in ranks if rank.address != self._own_address]
        return others[version % len(others)] if others else ranks[0]

    async def _prepare_all(self, ranks: Sequence[RankState], version: int, layout: Layout) -> bool:
        given = await self._orders.prepare_many(ranks, version, layout)
        missing = [rank for rank in ranks if given.get(rank.address) is not OrderResult.ACCEPTED]

        if given and missing:
            self._note("map not passed on to all ranks", version=version, missing=len(missing))

        async def prepare(rank: RankState) -> bool:
            def give() -> Awaitable[OrderResult]:
                return self._orders.prepare(rank, version, layout)

            result = await self._insist(give, PREPARE_TIMEOUT_S)
            if result is OrderResult.ACCEPTED:
                return True
            # An order without an answer may have been carried out before it was given again.
            await anyio.sleep(REPORT_LAG_S)
            state = await self._orders.state(rank.address)
            return isinstance(state, RankState) and state.prepared_version == version

        return await _all(prepare, missing)

    async def _await_loads(self, ranks: Sequence[RankState], version: int) -> bool:
        wanted = {rank.address for rank in ranks}
        with anyio.move_on_after(LOAD_TIMEOUT_S):
            while True:
                if wanted <= self._prepared_by(version):
                    return True
                await anyio.sleep(LOAD_CHECK_INTERVAL_S)
        return False

    async def _hold(self, holder: RankState, steps_per_s: float) -> int | None:
        # The rank beside this process tells the step that is, others the one some time ago.
        state = await self._orders.state(self._own_address)
        if isinstance(state, RankFailure) or state.held_step is not None:
            return None
        lead_s = LONG_LEAD_S if self._unanswered else LEAD_S
        step = state.step + MIN_LEAD_STEPS + int(steps_per_s * lead_s)
        result = await self._insist(lambda: self._orders.hold(holder, step), HOLD_TIMEOUT_S)
        return step if result is OrderResult.ACCEPTED else None

    async def _arm_all(self, ranks: Sequence[RankState], version: int, step: int) -> bool:
        async def arm(rank: RankState) -> bool:
            def give() -> Awaitable[OrderResult]:
                return self._orders.arm(rank, version, step)

            return await self._insist(give, ARM_TIMEOUT_S) is OrderResult.ACCEPTED

        return await _all(arm, ranks)

    async def _disarm(self, rank: RankState, version: int) -> bool:
        result = await self._insist(lambda: self._orders.disarm(rank, version), ARM_TIMEOUT_S)
        return result is OrderResult.ACCEPTED

    async def _release(self, rank: RankState, step: int) -> bool:
        result = await self._insist(lambda: self._orders.release(rank, step), ARM_TIMEOUT_S)
        return result is OrderResult.ACCEPTED

    async def _release_all(self, states: Sequence[RankState]) -> bool:
        released = True
        for state in states:
            if state.held_step is None:
                continue
            self._note("releasing a held step", rank=state.rank, step=state.held_step)
            released = await self._release(state, state.held_step) and released
        return released

    async def _read_states(self, ranks: Sequence[RankState]) -> list[RankState] | None:
        states: list[RankState] = []

        limit = anyio.Semaphore(READS_AT_ONCE)

        async def read(rank: RankState) -> bool:
            state = await self._read_state(rank, limit)
            if isinstance(state, RankFailure):
                self._note("rank does not answer", rank=rank.rank, reason=state.reason)
                return False
            if (state.group, state.epoch) != (rank.group, rank.epoch):
                return False
            states.append(state)
            return True

        if not await _all(read, ranks):
            return None
        return states

    async def _read_state(self, rank: RankState, limit: anyio.Semaphore) -> RankState | RankFailure:
        """Ask a rank until it answers or the time is over; one answer may just be late."""
        until_s = time.monotonic() + READ_TIMEOUT_S
        while True:
            async with limit:
                state = await self._orders.state(rank.address)
            if isinstance(state, RankState) or time.monotonic() >= until_s:
                return state
            await anyio.sleep(RETRY_INTERVAL_S)

    async def _insist(
        self, give: Callable[[], Awaitable[OrderResult]], timeout_s: float
    ) -> OrderResult:
        """Give an order again until its outcome is certain, or the time is over."""
        until_s = time.monotonic() + timeout_s
        unknown = False
        while True:
            result = await give()
            if result in (OrderResult.ACCEPTED, OrderResult.REFUSED):
                return result
            if result is OrderResult.UNKNOWN:
                unknown = True
                self._unanswered += 1
            if time.monotonic() >= until_s:
                return OrderResult.UNKNOWN if unknown else OrderResult.NOT_GIVEN
            await anyio.sleep(RETRY_INTERVAL_S)


def _may_be_armed_by_earlier(states: Sequence[RankState], lost: LostLeader) -> bool:
    """Tell whether the silent rank may be armed by a leader before the lost one."""
    if lost.settled:
        return False
    return not any(
        state.armed is not None and state.armed.version in lost.versions for state in states
    )


async def _all(
    function: Callable[[RankState], Awaitable[bool]], ranks: Sequence[RankState]
) -> bool:
    """Call a function for all ranks at once; tell whether it was true for all."""
    results: list[bool] = []

    async def call(rank: RankState) -> None:
        results.append(await function(rank))

    async with anyio.create_task_group() as tasks:
        for rank in ranks:
            tasks.start_soon(call, rank)
    return all(results)
