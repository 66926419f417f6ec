"""The leader of a group: decides when the expert map changes, and runs the change.

The leader collects the reports of all agents. It plans a change only while the current state of
every rank is known, and if a better map would shorten the steps enough to pay for loading experts.

Before a change it checks that no other agent has claimed the group. A held step that no change of
its own explains was left behind by a failed leader and blocks the group, so it is settled first,
if necessary without the rank next to the failed leader.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio

from bronzerudder.expert_maps.api import Layout, RankCalls, RankExperts, RankFailure, RankState
from bronzerudder.expert_maps.change import (
    LOAD_TIMEOUT_S,
    ChangePlan,
    ChangeResult,
    FailedLeader,
    MapChanger,
)
from bronzerudder.expert_maps.counts import AgentCounts, CounterName
from bronzerudder.expert_maps.leadership import Leader, LeaderRecord
from bronzerudder.expert_maps.map_effect import MapEffect, PlannedEffect
from bronzerudder.expert_maps.messages import RankReport
from bronzerudder.expert_maps.scenarios import ScenarioWindow
from bronzerudder.expert_maps.shape import ExpertShape
from bronzerudder.observability.event_log import EventLog
from bronzerudder.platform.errors import StoreError

RankLister = Callable[[], Awaitable[tuple[str, ...]]]

CHECK_INTERVAL_S = 0.1
MAX_REPORT_AGE_S = 1.0
"""Agents report more than twice a second; a rank with two reports missing may be stalled, and a
change would wait for it."""
MIN_GAIN_S = 0.012
"""Time that a change must save in each step. Loading experts is expensive and slows steps by 15 %
for some tenths of a second; streamed events that are on time gain nothing from faster steps."""
INITIAL_MAP_VERSION = 0
"""Version that a group starts with. It places experts round-robin, so the first change always pays
and is planned even if steps are within their target."""
MIN_SCENARIOS = 12
"""Fewer scenarios are too noisy to plan by."""
CHANGE_PAUSE_S = 0.3
"""Pause between changes: reports must first show the new map and the load under it."""
REPLAN_DELAY_S = 4.0
REPLAN_SKEW_RATIO = 1.05
"""After a plan that did not gain enough, the next one is made after this delay, or once the skew
has risen by this factor."""
ORPHANED_HOLD_GRACE_S = 0.35
"""A step that is held while this leader runs no change was left behind by another leader. Agents
poll their ranks every 0.12 s, so reports still show the leader's own hold for this time after a
change."""
POLL_AFTER_S = 1.0
"""A rank is polled directly only after two reports are missing, as a direct query has a cost."""
POLL_INTERVAL_S = 0.5
LIST_INTERVAL_S = 5.0
RECORD_CHECK_INTERVAL_S = 1.0
"""Between checks of the record while agents do not report. They may report to another leader, which
can't change the map without the reports of the rank next to this one."""
SPARE_VERSIONS = 16
"""A leader claims the group again before fewer versions are left in its term."""
OTHER_GROUP_LIFETIME_S = 30.0
"""Time for which a rank that belongs to another group is not polled; it may join this group later,
as after a replacement at its address."""
MAX_FAILURE_PAUSE_S = 4.0
LOAD_TIMEOUT_FACTOR = 3.0
"""Loads may take this multiple of their estimated time, as other traffic shares the links."""


class _ReceivedState(NamedTuple):
    state: RankState
    at_s: float


class GroupLeader:
    """Receives the reports of a group's agents and sends orders to its ranks.

    Parameters
    ----------
    group : str
        Name of the group; other groups of the service have leaders of their own.
    ranks : RankCalls
        Queries ranks and sends them orders.
    own_address : str
        Rank next to this process.
    list_ranks : callable
        Reads the addresses of the ranks of the service.
    shape : ExpertShape
        Shape of the maps.
    record : LeaderRecord
        The store's record of the leader, to check that this process still leads.
    leader : Leader
        The claim of this process.
    previous : Leader
        The previous leader, which armed the rank next to it last; `NO_LEADER` if there was none.
    log : EventLog
        Gets a line for each step of a change.
    counts : AgentCounts
        Counts the results of changes, for the metrics.
    """

    def __init__(
        self,
        group: str,
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
        self._group = group
        self._counts = counts
        self._shape = shape
        self._record = record
        self._leader = leader
        self._previous = previous
        self._log = log
        self._ranks = ranks
        self._list_ranks = list_ranks
        self._listed_ranks: tuple[str, ...] = ()
        self._polled_at_s = 0.0
        self._listed_at_s = 0.0
        self._record_checked_at_s = 0.0
        self._changer = MapChanger(ranks, own_address, self._prepared_by, self._log_event)
        self._received: dict[str, _ReceivedState] = {}
        self._in_other_group_at_s: dict[str, float] = {}
        self._rank_experts: dict[str, RankExperts] = {}
        self._scenarios = ScenarioWindow(shape.sets * shape.experts)
        # Imported late to save memory, as only the leader needs the module.
        from bronzerudder.expert_maps.change_size import LoadTimes

        self._load_times = LoadTimes(shape.load_s)
        self._planned_loads = 0
        self._effect = MapEffect()
        self._unused_versions = iter(leader.versions)
        self._newest_version = leader.versions.start
        self._held_since_s: float | None = None
        self._next_change_at_s = 0.0
        self._failures = 0
        self._own_address = own_address
        self._last_step: tuple[int, float] | None = None
        self._steps_per_s = 15.0
        self._skew = 1.0
        self._replan_at_s = 0.0
        self._changed_at_s = 0.0
        self._last_change: tuple[int, int] | None = None
        self._rejected_skew = 0.0

    @property
    def term(self) -> int:
        """Term of this leader."""
        return self._leader.term

    @property
    def newest_version(self) -> int:
        """Highest version of a map that it has used itself or seen at a rank."""
        return self._newest_version

    @property
    def current_skew(self) -> float:
        """Largest over mean load of the ranks when last measured."""
        return self._skew

    def handle_report(self, report: RankReport) -> None:
        """Handle a report of an agent."""
        now_s = time.monotonic()
        state = report.state
        if state.group != self._group:
            self._received.pop(state.address, None)
            self._in_other_group_at_s[state.address] = now_s
            return
        self._received[state.address] = _ReceivedState(state, now_s)
        self._newest_version = max(self._newest_version, state.newest_version)
        if report.places is not None:
            self._rank_experts[state.address] = report.places
        if report.scenario is not None:
            self._scenarios.add(report.scenario, now_s)
        if state.address == self._own_address:
            self._update_step_rate(state.step, now_s)
            self._effect.observe_map(state.map_version, state.step, now_s)

    async def run(self) -> None:
        """Lead the group until another agent has claimed it, or a higher term is needed."""
        self._log_event("leading", term=self._leader.term)
        # Agents that still report to the previous leader need a moment to find this one, so no rank
        # is polled before `POLL_AFTER_S`.
        self._polled_at_s = time.monotonic() + POLL_AFTER_S - POLL_INTERVAL_S
        await self._refresh_rank_list()
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            all_report = await self._poll_missing()
            if self._needs_higher_term():
                return
            if not all_report and not await self._recheck_record():
                return
            ranks = self._complete_group()
            if ranks is None:
                await self._settle_without_previous_leader()
                continue
            if self._has_orphaned_hold(ranks):
                if not await self._still_leads():
                    return
                await self._settle(ranks)
                continue
            self._measure_effect(ranks, len(ranks))
            plan = await self._plan(ranks)
            if plan is None:
                continue
            if not await self._still_leads():
                return
            await self._change(ranks, plan)

    async def _poll_missing(self) -> bool:
        """Poll ranks whose agents do not report; return False if there are any.

        These agents may be stalled, cut off or not started, or follow another leader.
        """
        now_s = time.monotonic()
        if now_s - self._polled_at_s < POLL_INTERVAL_S or not self._received:
            return True
        self._polled_at_s = now_s
        if not self._listed_ranks or now_s - self._listed_at_s > LIST_INTERVAL_S:
            await self._refresh_rank_list()
        missing_addresses = []
        for address in self._listed_ranks:
            seen_at_s = self._in_other_group_at_s.get(address, -OTHER_GROUP_LIFETIME_S)
            if not self._is_fresh(address) and now_s - seen_at_s >= OTHER_GROUP_LIFETIME_S:
                missing_addresses.append(address)
        async with anyio.create_task_group() as tasks:
            for address in missing_addresses:
                tasks.start_soon(self._poll, address)
        return not missing_addresses

    async def _recheck_record(self) -> bool:
        """Whether this process still leads, by a check of the record unless one was just made."""
        now_s = time.monotonic()
        if now_s - self._record_checked_at_s < RECORD_CHECK_INTERVAL_S:
            return True
        self._record_checked_at_s = now_s
        return await self._still_leads()

    async def _refresh_rank_list(self) -> None:
        self._listed_at_s = time.monotonic()
        self._listed_ranks = await self._list_ranks()

    async def _poll(self, address: str) -> None:
        state = await self._ranks.state(address)
        if isinstance(state, RankFailure):
            self._log_event("rank could not be polled", address=address, reason=state.reason)
            return
        rank_experts = self._rank_experts.get(address)
        if rank_experts is None or rank_experts.map_version != state.map_version:
            answer = await self._ranks.experts(address)
            rank_experts = None if isinstance(answer, RankFailure) else answer
        self.handle_report(RankReport(state, None, rank_experts))

    def _is_fresh(self, address: str) -> bool:
        received = self._received.get(address)
        return received is not None and time.monotonic() - received.at_s < POLL_AFTER_S

    def _complete_group(self) -> list[RankState] | None:
        """All ranks of the group in order, or None while the current state of any is not known."""
        ranks = self._current_ranks()
        if not ranks or len(ranks) != next(iter(ranks.values())).size:
            return None
        if set(ranks) != set(range(len(ranks))):
            return None
        return [ranks[rank] for rank in range(len(ranks))]

    def _current_ranks(self) -> dict[int, RankState]:
        """Ranks, by number, that recently reported to be open in the newest epoch of the group."""
        oldest_s = time.monotonic() - MAX_REPORT_AGE_S
        fresh = [
            received.state for received in self._received.values() if received.at_s >= oldest_s
        ]
        epoch = max((state.epoch for state in fresh), default=-1)
        return {state.rank: state for state in fresh if state.epoch == epoch and state.is_open}

    def _has_orphaned_hold(self, ranks: list[RankState]) -> bool:
        """Whether a step is held that no change of this leader explains."""
        if all(state.held_step is None for state in ranks):
            self._held_since_s = None
            return False
        now_s = time.monotonic()
        if now_s - self._changed_at_s > ORPHANED_HOLD_GRACE_S:
            return True
        if self._held_since_s is None:
            self._held_since_s = now_s
        return now_s - self._held_since_s >= ORPHANED_HOLD_GRACE_S

    def _measure_effect(self, ranks: list[RankState], min_scenarios: int) -> None:
        """Log the effect of the last change if enough scenarios arrived since its map is in use."""
        now_s = time.monotonic()
        in_use_s = self._effect.in_use_s
        if in_use_s is None or self._scenarios.count_since(in_use_s, now_s) < min_scenarios:
            return
        layout = self._layout(ranks)
        if layout is None:
            return
        # Imported late to save memory, as only the leader needs it.
        from bronzerudder.expert_maps import planner, step_loads

        loads = planner.slice_loads(self._scenarios.slices(now_s, in_use_s), self._shape.sets)
        skew = step_loads.layout_skew(
            layout, loads, planner.relative_slowdowns([state.pace for state in ranks])
        )
        self._log_event("map measured", **self._effect.summarize(skew, now_s))

    async def _plan(self, ranks: list[RankState]) -> ChangePlan | None:
        """Plan a change; None if it is not due, or not worth its cost."""
        now_s = time.monotonic()
        step_s = 1.0 / self._steps_per_s
        if now_s < self._next_change_at_s or not self._may_change(ranks, step_s):
            return None
        slices = self._scenarios.slices(now_s)
        layout = self._layout(ranks)
        scenario_count = sum(len(held) for held in slices)
        if layout is None or scenario_count < min(MIN_SCENARIOS, len(ranks)):
            return None
        # Imported late to save memory, as only the leader needs it.
        from bronzerudder.expert_maps import planner, step_loads

        scenarios = planner.slice_loads(slices, self._shape.sets)
        slowdowns = planner.relative_slowdowns([state.pace for state in ranks])
        self._skew = step_loads.layout_skew(layout, scenarios, slowdowns)
        if (1.0 - 1.0 / self._skew) * step_s < MIN_GAIN_S:
            return None
        if now_s < self._replan_at_s and self._skew < REPLAN_SKEW_RATIO * self._rejected_skew:
            return None
        self._measure_effect(ranks, min_scenarios=1)
        newest_counts_s, oldest_counts_s = self._scenarios.newest_s, self._scenarios.oldest_s
        planned = await planner.plan_layout(
            layout, scenarios, slowdowns, self._shape.bounds, self._load_times
        )
        if (1.0 - planned.skew_after / planned.skew) * step_s < MIN_GAIN_S:
            self._replan_at_s = now_s + REPLAN_DELAY_S
            self._rejected_skew = planned.skew
            self._log_event(
                "map kept",
                skew=round(planned.skew, 3),
                skew_after=round(planned.skew_after, 3),
                step_s=round(step_s, 4),
                scenarios=scenario_count,
            )
            return None
        version = self._next_version()
        self._log_event(
            "map change planned",
            version=version,
            skew=round(planned.skew, 3),
            skew_after=round(planned.skew_after, 3),
            step_s=round(step_s, 4),
            scenarios=scenario_count,
            loads=planned.loads,
            expected_s=round(self._load_times.duration_s(planned.loads), 3),
            slowest_pace=max(state.pace for state in ranks),
            planning_s=round(time.monotonic() - now_s, 3),
            planning_cpu_s=round(planned.cpu_s, 3),
            oldest_post_s=round(self._oldest_report_s(ranks), 2),
        )
        self._effect.expect(
            PlannedEffect(version, planned.skew_after, step_s, newest_counts_s, oldest_counts_s)
        )
        fallback = self._next_version()
        self._planned_loads = planned.loads
        loading_s = LOAD_TIMEOUT_FACTOR * planned.loads * self._load_times.load_s
        return ChangePlan(
            version,
            fallback,
            planned.layout,
            layout,
            self._steps_per_s,
            max(LOAD_TIMEOUT_S, loading_s),
        )

    def _may_change(self, ranks: list[RankState], step_s: float) -> bool:
        """Whether steps are too long, and no earlier change is still to come into use."""
        if step_s <= self._shape.step_target_s and ranks[0].map_version != INITIAL_MAP_VERSION:
            return False
        if any(state.armed is not None for state in ranks):
            return False
        return self._shows_last_change(ranks)

    def _shows_last_change(self, ranks: list[RankState]) -> bool:
        """Whether all ranks report the map of the last change, or that the group formed again."""
        if self._last_change is None:
            return True
        epoch, version = self._last_change
        return ranks[0].epoch != epoch or all(state.map_version >= version for state in ranks)

    def _layout(self, ranks: list[RankState]) -> Layout | None:
        """Layout in use, or None while it is not known for all ranks."""
        version = ranks[0].map_version
        placements = []
        for state in ranks:
            rank_experts = self._rank_experts.get(state.address)
            if (
                rank_experts is None
                or state.map_version != version
                or rank_experts.map_version != version
            ):
                return None
            if not self._fits_shape(rank_experts):
                return None
            placements.append(rank_experts.experts)
        return [[experts[index] for experts in placements] for index in range(self._shape.sets)]

    def _fits_shape(self, rank_experts: RankExperts) -> bool:
        """Whether a rank holds experts that exist, and no more than it has slots for."""
        experts, slots = range(self._shape.experts), self._shape.bounds.slots_per_rank
        if len(rank_experts.experts) != self._shape.sets:
            return False
        return all(
            len(held) <= slots and all(expert in experts for expert in held)
            for held in rank_experts.experts
        )

    async def _change(self, ranks: list[RankState], plan: ChangePlan) -> None:
        started_s = time.monotonic()
        result = await self._changer.change(ranks, plan)
        now_s = time.monotonic()
        self._changed_at_s = now_s
        self._counts.increment(CounterName.MAP_CHANGES, result.value)
        self._log_event(
            "map change ended",
            version=plan.version,
            result=result.value,
            took_s=round(now_s - started_s, 3),
        )
        if result is ChangeResult.CHANGED:
            self._failures = 0
            self._last_change = (ranks[0].epoch, plan.version)
            self._load_times.record(self._planned_loads, now_s - started_s)
            self._next_change_at_s = now_s + CHANGE_PAUSE_S
            await self._mark_settled()
            return
        self._failures += 1
        self._next_change_at_s = now_s + min(
            MAX_FAILURE_PAUSE_S, CHANGE_PAUSE_S * 2**self._failures
        )

    async def _mark_settled(self) -> None:
        """Record once that no earlier change can take effect any more.

        That follows from this leader's first successful change, as every rank has accepted to
        prepare its map.
        """
        if self._leader.settled:
            return
        marked = await self._record.mark_settled(self._leader)
        if isinstance(marked, StoreError):
            self._log_event("settlement not recorded", reason=marked.reason)
            return
        self._leader = marked

    async def _settle(self, ranks: list[RankState]) -> None:
        layout = self._layout(ranks)
        if layout is None:
            self._log_event("held step not settled, map in use not known")
            return
        settled = await self._changer.settle(ranks, self._next_version(), layout)
        self._held_since_s = None
        self._log_event("held step settlement ended", settled=settled)

    async def _still_leads(self) -> bool:
        """Whether no other agent has claimed the group; assumed if the store is unreachable.

        Safety does not depend on it: of two leaders, ranks obey the one with the higher term.
        """
        recorded = await self._record.read()
        if isinstance(recorded, StoreError):
            self._log_event("leadership not confirmed", reason=recorded.reason)
            return True
        if (recorded.term, recorded.address) == (self._leader.term, self._leader.address):
            return True
        self._log_event("no longer leading", term=self._leader.term, present=recorded.term)
        return False

    async def _settle_without_previous_leader(self) -> None:
        """Settle a change of the previous leader while the rank next to it is unreachable."""
        ranks = [state for _, state in sorted(self._current_ranks().items())]
        if not ranks or len(ranks) != ranks[0].size - 1:
            return
        if any(state.address == self._previous.rank_address for state in ranks):
            return
        if self._previous.rank_address not in self._listed_ranks or not self._has_orphaned_hold(
            ranks
        ):
            return
        layout = self._layout([*ranks])
        if layout is None or not await self._still_leads():
            return
        # The layout only has to be valid, so the missing rank gets the experts that no other holds.
        missing = next(iter(set(range(ranks[0].size)) - {state.rank for state in ranks}))
        used = self._experts_of_missing_rank(layout)
        for held, experts in zip(layout, used, strict=True):
            held.insert(missing, experts)
        failed_leader = FailedLeader(self._previous.versions, self._previous.settled)
        settled = await self._changer.settle(ranks, self._next_version(), layout, failed_leader)
        self._held_since_s = None
        self._log_event(
            "held step settlement ended without the previous leader's rank", settled=settled
        )

    def _experts_of_missing_rank(self, layout: Layout) -> list[list[int]]:
        """Experts that no reachable rank holds, by set; expert 0 if there are none."""
        missing = []
        for held in layout:
            placed = {expert for experts in held for expert in experts}
            unplaced = [expert for expert in range(self._shape.experts) if expert not in placed]
            missing.append(unplaced or [0])
        return missing

    def _next_version(self) -> int:
        version = next(self._unused_versions)
        self._newest_version = max(self._newest_version, version)
        return version

    def _needs_higher_term(self) -> bool:
        """Whether ranks refuse the versions of this leader, or too few are left."""
        limit = self._leader.versions.stop
        is_refused = self._changer.was_outdated
        if self._newest_version < limit - SPARE_VERSIONS and not is_refused:
            return False
        self._log_event(
            "higher term needed",
            term=self._leader.term,
            newest_version=self._newest_version,
            version_limit=limit,
            refused=is_refused,
        )
        return True

    def _prepared_by(self, version: int) -> set[str]:
        return {
            address
            for address, received in self._received.items()
            if received.state.prepared_version == version
        }

    def _oldest_report_s(self, ranks: list[RankState]) -> float:
        oldest_s = min(self._received[state.address].at_s for state in ranks)
        return time.monotonic() - oldest_s

    def _update_step_rate(self, step: int, now_s: float) -> None:
        last = self._last_step
        self._last_step = (step, now_s)
        if last is None or now_s <= last[1] or step <= last[0]:
            return
        self._steps_per_s = (step - last[0]) / (now_s - last[1])

    def _log_event(self, event: str, **fields: object) -> None:
        self._log.state(event, **fields)
