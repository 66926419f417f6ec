"""Local search for the few expert moves that shorten the steps of a group most.

It adapts the placement to a shift of demand while the group serves, so each rank may load only a
few experts. A step lasts as long as its most loaded rank, set by set. Most moves leave the largest
load unchanged, which makes it a poor cost function; so the search minimizes the sum of a high power
of all loads, over a few scenarios.

Sets are independent of each other, but all are searched in the same array operations: by
themselves they are so small that the calls would take longer than the arithmetic.

"Load" means the work that requests bring to an expert or a rank; loading an expert into memory is
called so in full. Arrays are indexed by scenario, set, rank and slot, in this order.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

import numpy as np

from bronzerudder.expert_maps.api import Layout

NORM_ORDER = 8
"""Exponent of the loads; a higher one sees only the largest load, a lower one the average."""
MAX_MOVES = 120
"""Bounds the search time; 72 ranks that may load two experts each need fewer moves."""
HOT_RANKS = 3
HOT_EXPERTS = 3
"""Ranks, and experts of each, that are tried for a move; the best is nearly always among them."""
COLD_RANKS = 8
"""Ranks that are tried as its target."""
MIN_MOVE_GAIN = 0.003
"""A move must lower the cost of a set, which approximates its share of the step time, by this
fraction to be worth loading an expert."""


class _Kind(enum.IntEnum):
    """What becomes of the expert of a hot rank that a cold rank gets.

    ``COPY``: both ranks share its load. ``MOVE``: the hot rank drops it. ``SWAP``: the hot rank
    drops it, and gets the expert that the cold rank evicts.
    """

    COPY = 0
    MOVE = 1
    SWAP = 2


class _Problem(NamedTuple):
    """What does not change while sets are searched.

    Parameters
    ----------
    demand : numpy.ndarray
        Shape ``(scenarios, sets, experts + 1)``: load of each expert, in units of a scenario's mean
        load per rank. The last column stands for empty slots, and is 0.
    slowdowns : numpy.ndarray
        Shape ``(ranks,)``: time that a rank takes for a load of one.
    initial : numpy.ndarray
        Shape ``(sets, ranks, experts + 1)``: whether a rank holds an expert before the search.
    """

    demand: np.ndarray
    slowdowns: np.ndarray
    initial: np.ndarray

    @property
    def empty(self) -> int:
        """Number that stands for an empty slot in place of an expert."""
        return self.demand.shape[2] - 1

    def select(self, sets: np.ndarray) -> _Problem:
        """Return the problem of some sets."""
        return _Problem(self.demand[:, sets], self.slowdowns, self.initial[sets])

    def count_loads(self, holding: np.ndarray) -> np.ndarray:
        """Return how many experts each rank must load, in shape ``(sets, ranks)``."""
        return (holding & ~self.initial)[:, :, :-1].sum(axis=2)

    def evaluate(self, slots: np.ndarray) -> _Placement:
        """Return the placement with the given slots."""
        numbers = np.arange(len(slots))[:, None, None]
        replicas = _sum_by_expert(slots, np.ones(slots.shape), self.empty).astype(int)
        replicas[:, self.empty] = 1
        replicas = np.maximum(replicas, 1)
        shares = (self.demand / replicas)[:, numbers, slots]
        powers = _eighth_power(shares.sum(axis=3) * self.slowdowns)
        costs = (powers.sum(axis=2) ** (1.0 / NORM_ORDER)).sum(axis=0)
        return _Placement(slots, replicas, shares, costs)


class _Placement(NamedTuple):
    """Experts of some sets, and the loads that follow.

    Parameters
    ----------
    slots : numpy.ndarray
        Shape ``(sets, ranks, slots)``: expert in each slot; the number of experts if it is empty.
    replicas : numpy.ndarray
        Shape ``(sets, experts + 1)``: ranks that hold an expert, at least 1.
    shares : numpy.ndarray
        Shape ``(scenarios, sets, ranks, slots)``: load that a rank has from a slot.
    costs : numpy.ndarray
        Shape ``(sets,)``: approximate step time, summed over scenarios.
    """

    slots: np.ndarray
    replicas: np.ndarray
    shares: np.ndarray
    costs: np.ndarray

    def select(self, sets: np.ndarray) -> _Placement:
        """Return the placement of some sets."""
        return _Placement(
            self.slots[sets], self.replicas[sets], self.shares[:, sets], self.costs[sets]
        )

    def replace(self, sets: np.ndarray, other: _Placement) -> None:
        """Replace the placement of some sets."""
        self.slots[sets] = other.slots
        self.replicas[sets] = other.replicas
        self.shares[:, sets] = other.shares
        self.costs[sets] = other.costs


class _Candidates(NamedTuple):
    """Experts of hot ranks, in shape ``(sets, candidates)``: expert, its rank, and its slot there.

    The candidates of one rank are adjacent.
    """

    experts: np.ndarray
    ranks: np.ndarray
    slots: np.ndarray


class _Moves(NamedTuple):
    """One move of each of some sets, in shape ``(sets,)``.

    Parameters
    ----------
    gains : numpy.ndarray
        Approximate decrease of the sum of powers.
    kinds : numpy.ndarray
        A `_Kind`.
    experts, hot_ranks, hot_slots : numpy.ndarray
        The expert, and where it is.
    targets, target_slots : numpy.ndarray
        Where it goes.
    evicted : numpy.ndarray
        Expert that was there.
    """

    gains: np.ndarray
    kinds: np.ndarray
    experts: np.ndarray
    hot_ranks: np.ndarray
    hot_slots: np.ndarray
    targets: np.ndarray
    target_slots: np.ndarray
    evicted: np.ndarray

    def select(self, sets: np.ndarray) -> _Moves:
        """Return the moves of some sets."""
        return _Moves(*[values[sets] for values in self])


def _eighth_power(loads: np.ndarray) -> np.ndarray:
    """Return the eighth power; the argument is overwritten."""
    np.multiply(loads, loads, out=loads)
    np.multiply(loads, loads, out=loads)
    np.multiply(loads, loads, out=loads)
    return loads


def _normalize(scenarios: np.ndarray, ranks: int) -> np.ndarray:
    """Return the demand of a `_Problem`; scenarios without any load stay 0."""
    scenarios = np.asarray(scenarios, dtype=np.float64).transpose(1, 0, 2)
    totals = scenarios.sum(axis=2, keepdims=True)
    totals[totals <= 0.0] = 1.0
    demand = np.zeros((*scenarios.shape[:2], scenarios.shape[2] + 1))
    demand[:, :, :-1] = scenarios * (ranks / totals)
    return demand


def _holding_of(slots: np.ndarray, empty: int) -> np.ndarray:
    """Return whether a rank holds an expert, in shape ``(sets, ranks, experts + 1)``."""
    holding = np.zeros((*slots.shape[:2], empty + 1), dtype=bool)
    np.put_along_axis(holding, slots, True, axis=2)
    return holding


def _sum_by_expert(slots: np.ndarray, values: np.ndarray, empty: int) -> np.ndarray:
    """Sum values of slots by set and expert."""
    columns = empty + 1
    first_columns = (np.arange(len(slots)) * columns)[:, None, None]
    sums = np.bincount(
        (slots + first_columns).ravel(), weights=values.ravel(), minlength=len(slots) * columns
    )
    return sums.reshape(len(slots), columns)


class LayoutSearch:
    """Improves the placement of all sets of a layout.

    Parameters
    ----------
    layout : list
        Experts by set and rank, as held now.
    scenarios : numpy.ndarray
        Shape ``(sets, scenarios, experts)``: load of each expert.
    slowdowns : numpy.ndarray
        Shape ``(ranks,)``: time that a rank takes for a load of one.
    slots_per_rank : int
        Experts of a set that a rank can hold.
    """

    def __init__(
        self, layout: Layout, scenarios: np.ndarray, slowdowns: np.ndarray, slots_per_rank: int
    ) -> None:
        self._layout = layout
        demand = _normalize(scenarios, len(layout[0]))
        self._empty = scenarios.shape[2]
        self._set_numbers = np.arange(len(layout))
        self._initial_slots = self._fill_slots(layout, slots_per_rank)
        initial = _holding_of(self._initial_slots, self._empty)
        self._problem = _Problem(demand, slowdowns, initial)
        self._placement = self._problem.evaluate(self._initial_slots.copy())

    def improve(self, loads_per_change: int) -> None:
        """Make moves until none is worthwhile.

        Parameters
        ----------
        loads_per_change : int
            Experts of each set that a rank may load, counted from the initial layout.
        """
        sets = self._set_numbers
        for _ in range(MAX_MOVES):
            if not len(sets):
                return
            sets = sets[self._make_best_moves(sets, loads_per_change)]

    def layout(self) -> Layout:
        """Return the layout found; experts that stay keep their order."""
        changed = (self._placement.slots != self._initial_slots).any(axis=2)
        layout = [list(held) for held in self._layout]
        for index, rank in zip(*np.nonzero(changed), strict=True):
            before = self._layout[index][rank]
            held = set(self._placement.slots[index, rank].tolist())
            held.discard(self._empty)
            staying = [expert for expert in before if expert in held]
            layout[index][rank] = staying + sorted(held.difference(before))
        return layout

    def loads(self) -> np.ndarray:
        """Return how many experts each rank must load, in shape ``(sets, ranks)``."""
        return self._problem.count_loads(_holding_of(self._placement.slots, self._empty))

    def _fill_slots(self, layout: Layout, slots_per_rank: int) -> np.ndarray:
        slots = np.full((len(layout), len(layout[0]), slots_per_rank), self._empty)
        for index, ranks in enumerate(layout):
            for rank, held in enumerate(ranks):
                slots[index, rank, : len(held)] = held
        return slots

    def _make_best_moves(self, sets: np.ndarray, loads_per_change: int) -> np.ndarray:
        """Make the best worthwhile move of each of some sets; return which sets had one."""
        found = _MoveFinder(
            self._problem.select(sets), self._placement.select(sets), loads_per_change
        )
        moved = np.zeros(len(sets), dtype=bool)
        for moves in found.best_moves():
            tried = np.flatnonzero(~moved & (moves.gains > 0.0))
            if len(tried):
                moved[tried] = self._apply_worthwhile(sets[tried], moves.select(tried))
        return moved

    def _apply_worthwhile(self, sets: np.ndarray, moves: _Moves) -> np.ndarray:
        """Make the moves whose exact loads show that they are worth their cost."""
        slots = self._placement.slots[sets]
        numbers = np.arange(len(sets))
        slots[numbers, moves.targets, moves.target_slots] = moves.experts
        dropped = np.flatnonzero(moves.kinds != _Kind.COPY)
        left = np.where(moves.kinds == _Kind.SWAP, moves.evicted, self._empty)
        slots[dropped, moves.hot_ranks[dropped], moves.hot_slots[dropped]] = left[dropped]
        placement = self._problem.select(sets).evaluate(slots)
        worthwhile = placement.costs <= self._placement.costs[sets] * (1.0 - MIN_MOVE_GAIN)
        accepted = np.flatnonzero(worthwhile)
        self._placement.replace(sets[accepted], placement.select(accepted))
        return worthwhile


class _MoveFinder:
    """Finds the best move of each hot rank, for some sets of a search."""

    def __init__(self, problem: _Problem, placement: _Placement, loads_per_change: int) -> None:
        self._empty = problem.empty
        self._slowdowns = problem.slowdowns
        self._demand = problem.demand
        self._initial = problem.initial
        self._placement = placement
        self._holding = _holding_of(placement.slots, problem.empty)
        self._may_load = problem.count_loads(self._holding) < loads_per_change
        self._loads = self._placement.shares.sum(axis=3)
        self._powers = _eighth_power(self._loads * self._slowdowns)
        self._rank_costs = self._powers.sum(axis=0)
        # Index arrays that select along the dimension of sets.
        self._by_set = np.arange(len(placement.slots))[:, None]
        self._by_set_3d = self._by_set[:, :, None]
        self._by_set_4d = self._by_set_3d[:, :, :, None]

    def best_moves(self) -> list[_Moves]:
        """Return the best move of each hot rank, the best one of each set first."""
        candidates = self._choose_candidates()
        targets = self._choose_targets()
        gains = self._gains(candidates, targets)
        kinds, sets, candidate_count, target_count, slot_count = gains.shape
        ranks = min(HOT_RANKS, self._loads.shape[2])
        per_rank = candidate_count // ranks
        grouped = gains.reshape(kinds, sets, ranks, per_rank, target_count, slot_count)
        by_rank = grouped.transpose(1, 2, 0, 3, 4, 5)
        flat = by_rank.reshape(sets, ranks, -1)
        best = flat.argmax(axis=2)
        best_gains = np.take_along_axis(flat, best[:, :, None], axis=2)[:, :, 0]
        moves = []
        numbers = np.arange(sets)
        for hot in np.argsort(-best_gains, axis=1).T:
            kind, offset, target, slot = np.unravel_index(best[numbers, hot], by_rank.shape[2:])
            candidate = hot * per_rank + offset
            target_rank = targets[numbers, target]
            moves.append(
                _Moves(
                    best_gains[numbers, hot],
                    kind,
                    candidates.experts[numbers, candidate],
                    candidates.ranks[numbers, candidate],
                    candidates.slots[numbers, candidate],
                    target_rank,
                    slot,
                    self._placement.slots[numbers, target_rank, slot],
                )
            )
        return moves

    def _choose_candidates(self) -> _Candidates:
        hot = np.argsort(-self._rank_costs, axis=1)[:, :HOT_RANKS]
        shares = self._placement.shares[:, self._by_set, hot].sum(axis=0)
        slots = np.argsort(-shares, axis=2)[:, :, :HOT_EXPERTS]
        experts = np.take_along_axis(self._placement.slots[self._by_set, hot], slots, axis=2)
        ranks = np.broadcast_to(hot[:, :, None], slots.shape)
        sets = len(hot)
        return _Candidates(
            experts.reshape(sets, -1), ranks.reshape(sets, -1), slots.reshape(sets, -1)
        )

    def _choose_targets(self) -> np.ndarray:
        costs = np.where(self._may_load, self._rank_costs, np.inf)
        return np.argsort(costs, axis=1)[:, :COLD_RANKS]

    def _gains(self, candidates: _Candidates, targets: np.ndarray) -> np.ndarray:
        """Return the gains in shape ``(kinds, sets, candidates, targets, slots)``."""
        by_set, experts, hot = self._by_set, candidates.experts, candidates.ranks
        evicted = self._placement.slots[by_set, targets]
        freed = self._placement.shares[:, by_set, targets]
        eviction_costs = self._eviction_costs(targets, evicted)
        demand = self._demand[:, by_set, experts]
        replicas = self._placement.replicas[by_set, experts]
        share, shared = demand / replicas, demand / (replicas + 1)
        copied = self._target_costs(targets, freed, shared)
        moved = self._target_costs(targets, freed, share)
        gains = np.empty((len(_Kind), *copied.shape))
        saved = self._saved_by_copy(experts, share - shared)
        gains[_Kind.COPY] = saved[:, :, None, None] - copied - eviction_costs
        hot_loads, hot_slowdowns = self._loads[:, by_set, hot], self._slowdowns[hot]
        hot_costs = self._rank_costs[by_set, hot]
        saved = hot_costs - _eighth_power((hot_loads - share) * hot_slowdowns).sum(axis=0)
        gains[_Kind.MOVE] = saved[:, :, None, None] - moved - eviction_costs
        swapped = (hot_loads - share)[:, :, :, None, None] + freed[:, :, None]
        after = _eighth_power(swapped * hot_slowdowns[:, :, None, None]).sum(axis=0)
        gains[_Kind.SWAP] = hot_costs[:, :, None, None] - after - moved
        gains[_Kind.SWAP][~self._can_swap(hot, evicted)] = -np.inf
        gains[:, ~self._can_load(experts, targets)] = -np.inf
        return gains

    def _eviction_costs(self, targets: np.ndarray, evicted: np.ndarray) -> np.ndarray:
        """Return the cost that evicting an expert adds at its other holders.

        In shape ``(sets, 1, targets, slots)``; infinite for an expert without another holder.
        """
        slots, shares = self._placement.slots, self._placement.shares
        replicas = self._placement.replicas[self._by_set_3d, slots]
        is_alone = replicas < 2
        # A replica less adds this to the load of each remaining one.
        added_loads = shares / np.maximum(replicas - 1, 1)
        after = _eighth_power(
            (self._loads[..., None] + added_loads) * self._slowdowns[:, None]
        ).sum(axis=0)
        added = after - self._rank_costs[..., None]
        added[is_alone] = 0.0
        by_expert = _sum_by_expert(slots, added, self._empty)
        costs = by_expert[self._by_set_3d, evicted] - added[self._by_set, targets]
        costs[is_alone[self._by_set, targets]] = np.inf
        costs[evicted == self._empty] = 0.0
        return costs[:, None]

    def _target_costs(
        self, targets: np.ndarray, freed: np.ndarray, share: np.ndarray
    ) -> np.ndarray:
        """Return the cost added at targets, in shape ``(sets, candidates, targets, slots)``."""
        slowdowns = self._slowdowns[targets]
        loads = self._loads[:, self._by_set, targets]
        rest = (loads[..., None] - freed) * slowdowns[..., None]
        added = share[..., None, None] * slowdowns[:, None, :, None]
        after = _eighth_power(rest[:, :, None] + added).sum(axis=0)
        return after - self._rank_costs[self._by_set, targets][:, None, :, None]

    def _saved_by_copy(self, experts: np.ndarray, saved_loads: np.ndarray) -> np.ndarray:
        """Return the cost that another replica saves at the holders of its expert."""
        holds = self._holding.transpose(0, 2, 1)[self._by_set, experts]
        lowered = (self._loads[:, :, None] - saved_loads[..., None]) * self._slowdowns
        after = _eighth_power(lowered).sum(axis=0)
        return ((self._rank_costs[:, None] - after) * holds).sum(axis=2)

    def _can_load(self, experts: np.ndarray, targets: np.ndarray) -> np.ndarray:
        """Return whether targets may load experts, in shape ``(sets, candidates, targets)``."""
        holds = self._holding[self._by_set_3d, targets[:, None], experts[:, :, None]]
        may_load = self._may_load[self._by_set, targets]
        return ~holds & may_load[:, None] & (experts != self._empty)[:, :, None]

    def _can_swap(self, hot: np.ndarray, evicted: np.ndarray) -> np.ndarray:
        """Return whether hot ranks may get what targets evict, in the shape of gains."""
        ranks, experts = hot[:, :, None, None], evicted[:, None]
        holds = self._holding[self._by_set_4d, ranks, experts]
        held_initially = self._initial[self._by_set_4d, ranks, experts]
        may_load = self._may_load[self._by_set, hot][:, :, None, None]
        return ~holds & (held_initially | may_load) & (experts != self._empty)
