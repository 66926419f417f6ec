"""Changes the expert map of a group of ranks in two phases, so that no step uses two maps.

The first of these actions of the leader prepares the change, the others commit it:

1. Prepare: every rank loads the new map. This can fail without consequences.
2. Hold: one rank keeps the group from beginning a step some steps ahead. Ranks switch when that
   step begins, so none switches before all are armed.
3. Check, right before arming, that all ranks still respond. If the check fails, nothing is armed
   yet, and the step is released immediately. A rank that fails later, between its arming and its
   answer, keeps the step held until it responds again.
4. Arm: every rank accepts to switch to the prepared map when the held step begins.
5. Release: the step may begin. Usually this is before the step is due, so the group does not pause.

Commit rule: a step is released only in one of two cases.

1. Every rank has accepted the arming for this step. No leader disarms a rank then, see below.
2. Every rank has since accepted to prepare a higher version. A rank refuses to prepare while it is
   armed, and to arm for a version that a later preparation has replaced. So no rank is armed, and
   an order to arm that is still in flight will be refused.

Settling, when a leader failed during a change: its successor reads the state of all ranks. If all
are armed alike, it completes the change (case 1). Otherwise it aborts it (case 2): it prepares a
higher version on the ranks that are not armed, so that the failed leader can't complete the change
any more, and only then disarms the others and prepares it there too. Versions begin with the
leader's term, which belongs to one claim only (see `leadership`), so an order of another leader
can't be mistaken for one of the current leader.

Two leaders at a time, as after a loss of claims by the store: all versions of one are higher than
those of the other. A rank that has accepted a preparation of the higher leader refuses all of the
lower one, so the lower one can neither complete a change nor settle one. It finds itself outdated
and stops.

Failure of the leader's whole instance: it makes the rank next to it unreachable too. That rank is
therefore armed last, once all others have accepted. As long as any other rank can be kept from
arming, the leader's rank is not armed for that change and never will be, so a successor can settle
without it. It could still be armed by another leader: an earlier one whose change was never
settled, or a later one whose claim the store has lost. Both are ruled out if another rank is armed
for a map of the failed leader, as every rank must have accepted that preparation before any was
armed. Otherwise two facts together rule them out: the failed leader recorded on the store that
everything earlier was settled, and another rank has loaded a map of the failed leader and none of
a later one, which every rank must have loaded before any was armed.
"""

from __future__ import annotations

import collections
import enum
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

import anyio
import msgspec

from bronzerudder.expert_maps.api import (
    Layout,
    OrderResult,
    RankFailure,
    RankOrders,
    RankState,
)

PREPARE_TIMEOUT_S = 1.2
"""Time for all ranks to accept the order to load, over narrow links and with some orders lost."""
LOAD_TIMEOUT_S = 4.0
"""Time for all ranks to finish loading, unless their loads are known to take longer."""
LOAD_CHECK_INTERVAL_S = 0.05
HOLD_TIMEOUT_S = 1.0
ARM_TIMEOUT_S = 20.0
"""An order without an answer may be executed up to 12 s later; the step stays held until then."""
RETRY_INTERVAL_S = 0.02
MAX_HOLD_LEAD_S = 0.25
"""How far ahead the held step is until orders were timed, and at most. All take some hundredths of
a second, and some are retried. The old map stays in use until then."""
MIN_HOLD_LEAD_S = 0.05
HOLD_LEAD_FACTOR = 1.5
"""The lead is this multiple of the longest recent time to arm all ranks, so that a step is due
only after its release."""
TIMED_ARMINGS = 8
"""Changes whose time to arm all ranks counts as recent."""
MIN_LEAD_STEPS = 2
LONG_HOLD_LEAD_S = 0.6
"""Used if earlier orders of this change got no answer; leaves time for several retries."""
READ_TIMEOUT_S = 1.0
MAX_CONCURRENT_READS = 8
"""With more concurrent reads, answers over a narrow link arrive after their timeout."""
REPORT_LAG_S = 0.3
"""A rank's state as read from another instance can be this old."""


class ChangeResult(enum.Enum):
    """How a change ended.

    ``NOT_PREPARED`` and ``NOT_HELD`` mean that nothing was armed. ``ABORTED`` means that not all
    ranks confirmed their arming and the change was settled, which completes it if all are armed
    after all; ``UNSETTLED``, that settling failed as well and must be tried again.
    """

    CHANGED = "changed"
    NOT_PREPARED = "not-prepared"
    NOT_HELD = "not-held"
    ABORTED = "taken-back"
    UNSETTLED = "unsettled"


class ChangePlan(NamedTuple):
    """One change of map.

    Parameters
    ----------
    version, fallback_version : int
        Of the new map, and of the preparation that replaces it if the change has to be aborted.
    layout : list
        Experts by set and rank.
    previous : list
        Layout in use, which is prepared again as the fallback.
    steps_per_s : float
        Rate at which the group makes steps.
    load_timeout_s : float
        Time for all ranks to finish loading.
    """

    version: int
    fallback_version: int
    layout: Layout
    previous: Layout
    steps_per_s: float
    load_timeout_s: float = LOAD_TIMEOUT_S


class FailedLeader(NamedTuple):
    """The previous leader, when the rank next to it is unreachable.

    Parameters
    ----------
    versions : range
        Versions that it may have used for maps.
    settled : bool
        Whether it had recorded that no change of an earlier leader was left unfinished.
    """

    versions: range
    settled: bool


LogEvent = Callable[..., None]


class MapChanger:
    """Sends the orders of a change, and settles unfinished changes.

    Parameters
    ----------
    orders : RankOrders
        Sends orders to ranks.
    own_address : str
        Rank next to this process, which is armed last.
    prepared_by : callable
        Returns the addresses of the ranks that have reported a version as loaded.
    log_event : callable
        Writes a log line: an event and fields.
    """

    def __init__(
        self,
        orders: RankOrders,
        own_address: str,
        prepared_by: Callable[[int], set[str]],
        log_event: LogEvent,
    ) -> None:
        self._orders = orders
        self._own_address = own_address
        self._prepared_by = prepared_by
        self._log_event = log_event
        self._unanswered = 0
        self._arming_times_s: collections.deque[float] = collections.deque(maxlen=TIMED_ARMINGS)
        self._was_outdated = False
        self._ruled_out: tuple[int, FailedLeader] | None = None

    @property
    def was_outdated(self) -> bool:
        """Whether a rank refused a map because it has had a higher version."""
        return self._was_outdated

    async def change(self, ranks: Sequence[RankState], plan: ChangePlan) -> ChangeResult:
        """Switch all ranks to another map, or abort the change."""
        version = plan.version
        self._unanswered = 0
        self._ruled_out = None
        self._orders.set_ranks(ranks, self._own_address)
        started_s = time.monotonic()
        if not await self._prepare_all(ranks, version, plan.layout):
            return ChangeResult.NOT_PREPARED
        prepared_s = time.monotonic()
        if not await self._await_loads(ranks, version, plan.load_timeout_s):
            return ChangeResult.NOT_PREPARED
        loaded_s = time.monotonic()
        holder = self._choose_holder(ranks, version)
        step = await self._hold(holder, plan.steps_per_s)
        if step is None:
            return ChangeResult.NOT_HELD
        held_at_s = time.monotonic()
        if not await _all_succeed(self._orders.is_reachable, ranks):
            await self._release(holder, step)
            self._log_event("a rank is unreachable, map not armed", version=version, step=step)
            return ChangeResult.NOT_HELD
        own = [rank for rank in ranks if rank.address == self._own_address]
        others = [rank for rank in ranks if rank.address != self._own_address]
        armed = await self._arm_all(others, version, step)
        if armed and await self._arm_all(own, version, step):
            self._arming_times_s.append(time.monotonic() - loaded_s)
            await self._release(holder, step)
            self._log_event(
                "map armed",
                version=version,
                step=step,
                prepare_s=round(prepared_s - started_s, 3),
                load_s=round(loaded_s - prepared_s, 3),
                hold_s=round(held_at_s - loaded_s, 3),
                arm_s=round(time.monotonic() - held_at_s, 3),
            )
            return ChangeResult.CHANGED
        self._log_event("map not armed by all ranks", version=version, step=step)
        settled = await self.settle(ranks, plan.fallback_version, plan.previous)
        return ChangeResult.ABORTED if settled else ChangeResult.UNSETTLED

    async def settle(
        self,
        ranks: Sequence[RankState],
        version: int,
        layout: Layout,
        failed_leader: FailedLeader | None = None,
    ) -> bool:
        """Complete or abort an unfinished change, and release held steps.

        Parameters
        ----------
        ranks : sequence of RankState
            All ranks of the group.
        version : int
            Higher than any version that a rank has prepared.
        layout : list
            Layout in use.
        failed_leader : FailedLeader or None
            The previous leader, if the rank next to it is unreachable and missing in `ranks`; None
            if `ranks` is complete.

        Returns
        -------
        bool
            Whether the change is settled and no step is held any more.
        """
        self._orders.set_ranks(ranks, self._own_address)
        # The ranks' states may not show the effect of a recent order yet.
        await anyio.sleep(REPORT_LAG_S)
        states = await self._read_states(ranks)
        if states is None:
            return False
        if failed_leader is not None:
            if not self._rules_out_others(states, failed_leader):
                self._log_event("the unreachable rank may be armed by another leader")
                return False
            states = _without_new_holds(states, ranks)
        armings = {state.armed for state in states}
        if len(armings) == 1 and None not in armings:
            if failed_leader is not None:
                self._log_event("all reachable ranks are armed, waiting for the unreachable one")
                return False
            self._log_event("unfinished change is armed by all ranks", armed=str(armings.pop()))
            return await self._release_all(states)
        if not await self._abort(states, version, layout):
            return False
        return await self._release_all(states)

    def _rules_out_others(self, states: Sequence[RankState], failed_leader: FailedLeader) -> bool:
        """Whether the unreachable rank can't be armed by a leader other than the failed one.

        The result is kept until this leader changes the map, as settling replaces the evidence.
        """
        evidence = (states[0].epoch, failed_leader)
        if evidence == self._ruled_out:
            return True
        if not _shows_change_of(states, failed_leader):
            return False
        self._ruled_out = evidence
        return True

    async def _abort(self, states: Sequence[RankState], version: int, layout: Layout) -> bool:
        """Make an unfinished change impossible to complete, and disarm its ranks."""
        free = [state for state in states if state.armed is None]
        if not free:
            self._log_event("ranks are armed for different maps")
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
        """Choose the rank that holds the step.

        It is on another instance than this process, so that a successor can reach and release it.
        """
        others = [rank for rank in ranks if rank.address != self._own_address]
        return others[version % len(others)] if others else ranks[0]

    async def _prepare_all(self, ranks: Sequence[RankState], version: int, layout: Layout) -> bool:
        spread_results = await self._orders.prepare_many(ranks, version, layout)
        missing = [
            rank for rank in ranks if spread_results.get(rank.address) is not OrderResult.ACCEPTED
        ]

        if spread_results and missing:
            self._log_event("map not relayed to all ranks", version=version, missing=len(missing))

        async def prepare(rank: RankState) -> bool:
            def send() -> Awaitable[OrderResult]:
                return self._orders.prepare(rank, version, layout)

            result = await self._send_until_certain(send, PREPARE_TIMEOUT_S)
            if result is OrderResult.ACCEPTED:
                return True
            # An unanswered order may have been executed, and its retry refused as a duplicate.
            await anyio.sleep(REPORT_LAG_S)
            state = await self._orders.state(rank.address)
            if isinstance(state, RankFailure):
                return False
            if state.prepared_version == version:
                return True
            if result is OrderResult.REFUSED and state.epoch == rank.epoch and state.armed is None:
                self._was_outdated = True
            return False

        return await _all_succeed(prepare, missing)

    async def _await_loads(
        self, ranks: Sequence[RankState], version: int, timeout_s: float
    ) -> bool:
        wanted = {rank.address for rank in ranks}
        with anyio.move_on_after(timeout_s):
            while True:
                if wanted <= self._prepared_by(version):
                    return True
                await anyio.sleep(LOAD_CHECK_INTERVAL_S)
        return False

    async def _hold(self, holder: RankState, steps_per_s: float) -> int | None:
        # Only the local rank reports the current step; states of others lag behind.
        state = await self._orders.state(self._own_address)
        if isinstance(state, RankFailure) or state.held_step is not None:
            return None
        lead_s = LONG_HOLD_LEAD_S if self._unanswered else self._hold_lead_s()
        step = state.step + MIN_LEAD_STEPS + int(steps_per_s * lead_s)
        result = await self._send_until_certain(
            lambda: self._orders.hold(holder, step), HOLD_TIMEOUT_S
        )
        return step if result is OrderResult.ACCEPTED else None

    def _hold_lead_s(self) -> float:
        if not self._arming_times_s:
            return MAX_HOLD_LEAD_S
        lead_s = HOLD_LEAD_FACTOR * max(self._arming_times_s)
        return min(max(lead_s, MIN_HOLD_LEAD_S), MAX_HOLD_LEAD_S)

    async def _arm_all(self, ranks: Sequence[RankState], version: int, step: int) -> bool:
        async def arm(rank: RankState) -> bool:
            def send() -> Awaitable[OrderResult]:
                return self._orders.arm(rank, version, step)

            return await self._send_until_certain(send, ARM_TIMEOUT_S) is OrderResult.ACCEPTED

        return await _all_succeed(arm, ranks)

    async def _disarm(self, rank: RankState, version: int) -> bool:
        result = await self._send_until_certain(
            lambda: self._orders.disarm(rank, version), ARM_TIMEOUT_S
        )
        return result is OrderResult.ACCEPTED

    async def _release(self, rank: RankState, step: int) -> bool:
        result = await self._send_until_certain(
            lambda: self._orders.release(rank, step), ARM_TIMEOUT_S
        )
        return result is OrderResult.ACCEPTED

    async def _release_all(self, states: Sequence[RankState]) -> bool:
        released = True
        for state in states:
            if state.held_step is None:
                continue
            self._log_event("releasing a held step", rank=state.rank, step=state.held_step)
            released = await self._release(state, state.held_step) and released
        return released

    async def _read_states(self, ranks: Sequence[RankState]) -> list[RankState] | None:
        states: list[RankState] = []

        limit = anyio.Semaphore(MAX_CONCURRENT_READS)

        async def read(rank: RankState) -> bool:
            state = await self._read_state(rank, limit)
            if isinstance(state, RankFailure):
                self._log_event("rank does not answer", rank=rank.rank, reason=state.reason)
                return False
            if (state.group, state.epoch) != (rank.group, rank.epoch):
                return False
            states.append(state)
            return True

        if not await _all_succeed(read, ranks):
            return None
        return states

    async def _read_state(self, rank: RankState, limit: anyio.Semaphore) -> RankState | RankFailure:
        """Query a rank until it answers or the time is up; a single answer may just be late."""
        until_s = time.monotonic() + READ_TIMEOUT_S
        while True:
            async with limit:
                state = await self._orders.state(rank.address)
            if isinstance(state, RankState) or time.monotonic() >= until_s:
                return state
            await anyio.sleep(RETRY_INTERVAL_S)

    async def _send_until_certain(
        self, send: Callable[[], Awaitable[OrderResult]], timeout_s: float
    ) -> OrderResult:
        """Retry an order until its result is known or the time is up."""
        until_s = time.monotonic() + timeout_s
        unknown = False
        while True:
            result = await send()
            if result in (OrderResult.ACCEPTED, OrderResult.REFUSED):
                return result
            if result is OrderResult.UNKNOWN:
                unknown = True
                self._unanswered += 1
            if time.monotonic() >= until_s:
                return OrderResult.UNKNOWN if unknown else OrderResult.UNSENT
            await anyio.sleep(RETRY_INTERVAL_S)


def _shows_change_of(states: Sequence[RankState], failed_leader: FailedLeader) -> bool:
    """Whether a rank proves that no leader but the failed one can have armed the missing rank."""
    versions = failed_leader.versions
    for state in states:
        if state.armed is not None and state.armed.version in versions:
            return True
        if failed_leader.settled and state.prepared_version in versions:
            return True
    return False


def _without_new_holds(
    states: Sequence[RankState], earlier: Sequence[RankState]
) -> list[RankState]:
    """Hide holds that were not there earlier: another leader may have made them since."""
    known = {(state.address, state.held_step) for state in earlier}
    settled = []
    for state in states:
        if (state.address, state.held_step) not in known:
            state = msgspec.structs.replace(state, held_step=None)
        settled.append(state)
    return settled


async def _all_succeed(
    function: Callable[[RankState], Awaitable[bool]], ranks: Sequence[RankState]
) -> bool:
    """Call a function concurrently for all ranks; return whether it was true for all."""
    results: list[bool] = []

    async def call(rank: RankState) -> None:
        results.append(await function(rank))

    async with anyio.create_task_group() as tasks:
        for rank in ranks:
            tasks.start_soon(call, rank)
    return all(results)
