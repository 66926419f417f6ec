"""Leads a group: decides when its map changes, and changes it."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio

from bronzerudder.expert_maps.api import Layout, RankCalls, RankFailure, RankPlaces, RankState
from bronzerudder.expert_maps.change import ChangePlan, ChangeResult, LostLeader, MapChanger
from bronzerudder.expert_maps.counts import AgentCounts, Counted
from bronzerudder.expert_maps.leadership import Leader, LeaderRecord
from bronzerudder.expert_maps.posts import RankPost
from bronzerudder.expert_maps.scenarios import ScenarioWindow
from bronzerudder.expert_maps.shape import ExpertShape
from bronzerudder.observability.event_log import EventLog
from bronzerudder.platform.errors import StoreError

RankLister = Callable[[], Awaitable[tuple[str, ...]]]

CHECK_INTERVAL_S = 0.1
MAX_POST_AGE_S = 1.0
"""Agents post more than twice a second; a rank whose agent missed two posts may stand still, and a
change would wait for it."""
LEAST_GAIN_S = 0.012
"""Time of a step that a change must save. Loading slows steps by 15 in 100 for some tenths of a
second and loads are dear; events that come a little sooner than in time help no caller."""
FIRST_MAP = 0
"""Version that a group starts with. It places experts in turn, so the first change always pays."""
LEAST_SCENARIOS = 12
"""Scenarios to go by; fewer are noise."""
CHANGE_PAUSE_S = 0.3
"""After a change, before the next: posts must show the new map and the load on it."""
KEPT_FOR_S = 4.0
KEPT_SKEW_MARGIN = 1.05
"""After a plan that was not worth its loads there is no other one for this time, unless the skew
rises by this factor."""
HELD_GRACE_S = 0.35
"""A step that is held while this leader changes nothing was left behind. Agents look at their ranks
every 0.12 s, so posts show the hold of a change of its own for this time after it has ended."""
ASK_AFTER_S = 1.0
"""A rank whose agent was silent for two posts is asked itself, which is priced."""
ASK_INTERVAL_S = 0.5
LIST_INTERVAL_S = 5.0
VERSIONS_PER_TERM = 100_000
MAX_FAILURE_PAUSE_S = 4.0


class _Told(NamedTuple):
    state: RankState
    at_s: float


class GroupLeader:
    """Takes the posts of a group's agents and gives orders to its ranks.

    Parameters
    ----------
    ranks : RankCalls
        Speaks with ranks.
    own_address : str
        Rank beside this process.
    list_ranks : callable
        Reads the addresses of the ranks of the service.
    shape : ExpertShape
        Shape of the maps.
    record : LeaderRecord
        Says whether this process still leads.
    leader : Leader
        The claim by which it leads.
    previous : Leader
        The leader before, which armed the rank beside it last; `NOBODY` if there was none.
    log : EventLog
        Takes a line for each step of a change.
    counts : AgentCounts
        Takes the results of changes, for the metrics.
    """

    def __init__(
        self,
        ranks: RankCalls,
        own_address: str,
        list_ranks: RankLister,
        shape: ExpertShape,
        record: LeaderRecord,
        leader: Leader,
        previous: Leader,
        log: EventLog,
        counts: AgentCounts,
    ) -> None:
        self._counts = counts
        self._shape = shape
        self._record = record
        self._leader = leader
        self._previous = previous
        self._log = log
        self._ranks = ranks
        self._list_ranks = list_ranks
        self._known: tuple[str, ...] = ()
        self._asked_at_s = 0.0
        self._listed_at_s = 0.0
        self._changer = MapChanger(ranks, own_address, self._prepared_by, self._note)
        self._told: dict[str, _Told] = {}
        self._places: dict[str, RankPlaces] = {}
        self._scenarios = ScenarioWindow(shape.sets * shape.experts)
        self._versions = 0
        self._held_since_s: float | None = None
        self._not_before_s = 0.0
        self._failures = 0
        self._own_address = own_address
        self._pace: tuple[int, float] | None = None
        self._steps_per_s = 15.0
        self._skew = 1.0
        self._kept_until_s = 0.0
        self._changed_at_s = 0.0
        self._kept_skew = 0.0

    @property
    def term(self) -> int:
        """Term of this leader."""
        return self._leader.term

    @property
    def current_skew(self) -> float:
        """Largest over mean load when last looked at."""
        return self._skew

    def take(self, post: RankPost) -> None:
        """Take in what an agent tells."""
        now_s = time.monotonic()
        state = post.state
        self._told[state.address] = _Told(state, now_s)
        if post.places is not None:
            self._places[state.address] = post.places
        if post.scenario is not None:
            self._scenarios.add(post.scenario, now_s)
        if state.address == self._own_address:
            self._note_pace(state.step, now_s)

    async def run(self) -> None:
        """Lead until another agent does."""
        self._note("leading", term=self._leader.term)
        # Agents that still post to the leader before need a moment to find this one.
        self._asked_at_s = time.monotonic() + ASK_AFTER_S - ASK_INTERVAL_S
        await self._list_known()
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            await self._ask_missing()
            ranks = self._whole_group()
            if ranks is None:
                await self._settle_without_previous()
                continue
            if self._is_held_too_long(ranks):
                if not await self._still_leads():
                    return
                await self._settle(ranks)
                continue
            plan = await self._plan(ranks)
            if plan is None:
                continue
            if not await self._still_leads():
                return
            await self._change(ranks, plan)

    async def _ask_missing(self) -> None:
        """Ask the ranks whose agents do not post; they may be frozen, cut off or not started."""
        now_s = time.monotonic()
        if now_s - self._asked_at_s < ASK_INTERVAL_S or not self._told:
            return
        self._asked_at_s = now_s
        if not self._known or now_s - self._listed_at_s > LIST_INTERVAL_S:
            await self._list_known()
        silent = [address for address in self._known if not self._is_fresh(address)]
        async with anyio.create_task_group() as tasks:
            for address in silent:
                tasks.start_soon(self._ask, address)

    async def _list_known(self) -> None:
        self._listed_at_s = time.monotonic()
        self._known = await self._list_ranks()

    async def _ask(self, address: str) -> None:
        state = await self._ranks.state(address)
        if isinstance(state, RankFailure):
            self._note("rank not asked", address=address, reason=state.reason)
            return
        places = self._places.get(address)
        if places is None or places.map_version != state.map_version:
            found = await self._ranks.places(address)
            places = None if isinstance(found, RankFailure) else found
        self.take(RankPost(state, None, places))

    def _is_fresh(self, address: str) -> bool:
        told = self._told.get(address)
        return told is not None and time.monotonic() - told.at_s < ASK_AFTER_S

    def _whole_group(self) -> list[RankState] | None:
        """All ranks of the group in order, or None while any is not known to be in it."""
        ranks = self._open_ranks()
        if not ranks or sorted(ranks) != list(range(next(iter(ranks.values())).size)):
            return None
        return [ranks[rank] for rank in range(len(ranks))]

    def _open_ranks(self) -> dict[int, RankState]:
        """Ranks that are known to be in the present epoch of the group."""
        oldest_s = time.monotonic() - MAX_POST_AGE_S
        fresh = [told.state for told in self._told.values() if told.at_s >= oldest_s]
        epoch = max((state.epoch for state in fresh), default=-1)
        return {state.rank: state for state in fresh if state.epoch == epoch and state.is_open}

    def _is_held_too_long(self, ranks: list[RankState]) -> bool:
        if all(state.held_step is None for state in ranks):
            self._held_since_s = None
            return False
        now_s = time.monotonic()
        if now_s - self._changed_at_s > HELD_GRACE_S:
            return True
        if self._held_since_s is None:
            self._held_since_s = now_s
        return now_s - self._held_since_s >= HELD_GRACE_S

    async def _plan(self, ranks: list[RankState]) -> ChangePlan | None:
        """Decide whether a change is worth it now."""
        now_s = time.monotonic()
        step_s = 1.0 / self._steps_per_s
        if now_s < self._not_before_s:
            return None
        if step_s <= self._shape.step_target_s and ranks[0].map_version != FIRST_MAP:
            return None
        if any(state.armed is not None for state in ranks):
            return None
        slices = self._scenarios.slices(now_s)
        layout = self._layout(ranks)
        seen = sum(len(held) for held in slices)
        if layout is None or seen < min(LEAST_SCENARIOS, len(ranks)):
            return None
        # Imported here, as only the leader needs it and it takes memory.
        from bronzerudder.expert_maps import planner

        scenarios = planner.slice_loads(slices, self._shape.sets)
        paces = planner.rank_paces([state.pace for state in ranks])
        self._skew = planner.layout_skew(layout, scenarios, paces)
        if (1.0 - 1.0 / self._skew) * step_s < LEAST_GAIN_S:
            return None
        if now_s < self._kept_until_s and self._skew < KEPT_SKEW_MARGIN * self._kept_skew:
            return None
        planned = await planner.plan_layout(layout, scenarios, paces, self._shape.bounds)
        if (1.0 - planned.skew_after / planned.skew) * step_s < LEAST_GAIN_S:
            self._kept_until_s = now_s + KEPT_FOR_S
            self._kept_skew = planned.skew
            self._note(
                "map kept",
                skew=round(planned.skew, 3),
                skew_after=round(planned.skew_after, 3),
                step_s=round(step_s, 4),
                scenarios=seen,
            )
            return None
        version = self._next_version()
        self._note(
            "map change planned",
            version=version,
            skew=round(planned.skew, 3),
            skew_after=round(planned.skew_after, 3),
            step_s=round(step_s, 4),
            scenarios=seen,
            slowest_pace=max(state.pace for state in ranks),
            planning_s=round(time.monotonic() - now_s, 3),
            oldest_post_s=round(self._oldest_post_s(ranks), 2),
        )
        fallback = self._next_version()
        return ChangePlan(version, fallback, planned.layout, layout, self._steps_per_s)

    def _layout(self, ranks: list[RankState]) -> Layout | None:
        """Map in use, or None while it is not known of all ranks."""
        version = ranks[0].map_version
        by_rank = []
        for state in ranks:
            places = self._places.get(state.address)
            if places is None or state.map_version != version or places.map_version != version:
                return None
            if len(places.experts) != self._shape.sets:
                return None
            by_rank.append(places.experts)
        return [[experts[index] for experts in by_rank] for index in range(self._shape.sets)]

    async def _change(self, ranks: list[RankState], plan: ChangePlan) -> None:
        started_s = time.monotonic()
        result = await self._changer.change(ranks, plan)
        now_s = time.monotonic()
        self._changed_at_s = now_s
        self._counts.note(Counted.MAP_CHANGES, result.value)
        self._note(
            "map change ended",
            version=plan.version,
            result=result.value,
            took_s=round(now_s - started_s, 3),
        )
        if result is ChangeResult.CHANGED:
            self._failures = 0
            self._not_before_s = now_s + CHANGE_PAUSE_S
            await self._mark_settled()
            return
        self._failures += 1
        self._not_before_s = now_s + min(MAX_FAILURE_PAUSE_S, CHANGE_PAUSE_S * 2**self._failures)

    async def _mark_settled(self) -> None:
        """Note once that all ranks have accepted a preparation of this leader."""
        if self._leader.settled:
            return
        marked = await self._record.mark_settled(self._leader)
        if isinstance(marked, StoreError):
            self._note("settlement not noted", reason=marked.reason)
            return
        self._leader = marked

    async def _settle(self, ranks: list[RankState]) -> None:
        layout = self._layout(ranks)
        if layout is None:
            self._note("held step not settled yet, the map in use is not known")
            return
        settled = await self._changer.settle(ranks, self._next_version(), layout)
        self._held_since_s = None
        self._note("held step looked after", settled=settled)

    async def _still_leads(self) -> bool:
        """Whether no other agent has claimed the group; an unreachable store changes nothing.

        Safety does not depend on it: orders of an earlier leader are refused by version.
        """
        found = await self._record.read()
        if isinstance(found, StoreError):
            self._note("leadership not confirmed", reason=found.reason)
            return True
        if (found.term, found.address) == (self._leader.term, self._leader.address):
            return True
        self._note("not leading any more", term=self._leader.term, present=found.term)
        return False

    async def _settle_without_previous(self) -> None:
        """Settle a change of the leader before while that leader's own rank does not answer."""
        ranks = [state for _, state in sorted(self._open_ranks().items())]
        if not ranks or len(ranks) != ranks[0].size - 1:
            return
        if any(state.address == self._previous.rank_address for state in ranks):
            return
        if self._previous.rank_address not in self._known or not self._is_held_too_long(ranks):
            return
        layout = self._layout([*ranks])
        if layout is None or not await self._still_leads():
            return
        # The preparation only has to be valid, so the missing rank may stand anywhere in it.
        missing = next(iter(set(range(ranks[0].size)) - {state.rank for state in ranks}))
        used = self._experts_of_missing(layout)
        for held, experts in zip(layout, used, strict=True):
            held.insert(missing, experts)
        term = self._previous.term
        versions = range(term * VERSIONS_PER_TERM, (term + 1) * VERSIONS_PER_TERM)
        lost = LostLeader(versions, self._previous.settled)
        settled = await self._changer.settle(ranks, self._next_version(), layout, lost)
        self._held_since_s = None
        self._note("held step looked after without the last leader's rank", settled=settled)

    def _experts_of_missing(self, layout: Layout) -> list[list[int]]:
        """Experts that no other rank holds, by set; the missing rank must hold them."""
        missing = []
        for held in layout:
            placed = {expert for experts in held for expert in experts}
            alone = [expert for expert in range(self._shape.experts) if expert not in placed]
            missing.append(alone or [0])
        return missing

    def _next_version(self) -> int:
        self._versions += 1
        return self._leader.term * VERSIONS_PER_TERM + self._versions

    def _prepared_by(self, version: int) -> set[str]:
        return {
            address
            for address, told in self._told.items()
            if told.state.prepared_version == version
        }

    def _oldest_post_s(self, ranks: list[RankState]) -> float:
        oldest_s = min(self._told[state.address].at_s for state in ranks)
        return time.monotonic() - oldest_s

    def _note_pace(self, step: int, now_s: float) -> None:
        last = self._pace
        self._pace = (step, now_s)
        if last is None or now_s <= last[1] or step <= last[0]:
            return
        self._steps_per_s = (step - last[0]) / (now_s - last[1])

    def _note(self, event: str, **fields: object) -> None:
        self._log.state(event, **fields)
