"""Local search for the few expert moves that shorten the steps of a group most.

It adapts the placement to a shift of demand while the group serves, so each rank may load only a
few experts. A step lasts as long as its most loaded rank, set by set. Most moves leave the largest
load unchanged, which makes it a poor cost function; so the search minimizes the sum of a high power
of all loads, over a few scenarios.

"Load" means the work that requests bring to an expert or a rank; loading an expert into memory is
called so in full.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import numpy as np

from bronzerudder.expert_maps.shape import MapBounds

NORM_ORDER = 8
"""Exponent of the loads; a higher one sees only the largest load, a lower one the average."""
MAX_MOVES = 120
"""Bounds the search time for one set; 72 ranks that may load two experts each need fewer."""
HOT_RANKS = 3
HOT_EXPERTS = 3
"""Ranks, and experts of each, that are tried for a move; the best is nearly always among them."""
MIN_MOVE_GAIN = 0.003
"""A move must lower the cost of a set, which approximates its share of the step time, by this
fraction to be worth loading an expert."""
EMPTY = -1


class StepLoads(NamedTuple):
    """Sums over scenarios: of the largest rank's load, and of the mean load, in any unit."""

    largest: float
    mean: float


class _Move(NamedTuple):
    """Puts an expert of a hot rank on another rank.

    Parameters
    ----------
    gain : float
        Decrease of the sum of powers.
    expert, target : int
        The expert, and the rank that gets it.
    evicted : int
        Expert that the target evicts for it; `EMPTY` if it has a free slot.
    is_moved : bool
        Whether the hot rank drops the expert; otherwise both ranks then share its load.
    is_swap : bool
        Whether the hot rank gets the evicted expert.
    """

    gain: float
    expert: int
    target: int
    evicted: int
    is_moved: bool
    is_swap: bool


def measure(
    ranks: Sequence[Sequence[int]], scenarios: np.ndarray, slowdowns: np.ndarray
) -> StepLoads:
    """Measure the loads of a placement of one set.

    Parameters
    ----------
    ranks : sequence
        Experts that each rank holds; ranks that hold an expert share its load evenly.
    scenarios : numpy.ndarray
        Shape ``(scenarios, experts)``: load of each expert.
    slowdowns : numpy.ndarray
        Shape ``(ranks,)``: time that a rank takes for a load of one.
    """
    loads = _rank_loads(_build_holding(ranks, scenarios.shape[1]), scenarios) * slowdowns
    return StepLoads(float(loads.max(axis=1).sum()), float(loads.mean(axis=1).sum()))


def improve_set(
    ranks: Sequence[Sequence[int]],
    scenarios: np.ndarray,
    slowdowns: np.ndarray,
    bounds: MapBounds,
) -> list[list[int]]:
    """Shorten the steps as far as one change of map allows.

    Parameters
    ----------
    ranks : sequence
        Experts that each rank holds now.
    scenarios : numpy.ndarray
        Shape ``(scenarios, experts)``: load of each expert.
    slowdowns : numpy.ndarray
        Shape ``(ranks,)``: time that a rank takes for a load of one.
    bounds : MapBounds
        Limits of a rank.

    Returns
    -------
    list
        Experts that each rank is to hold, in the order of ``ranks``.
    """
    search = _Search(ranks, scenarios, slowdowns, bounds)
    for _ in range(MAX_MOVES):
        if not search.make_best_move():
            break
    return search.result()


def _build_holding(ranks: Sequence[Sequence[int]], experts: int) -> np.ndarray:
    """Return whether a rank holds an expert, in shape ``(ranks, experts)``."""
    holding = np.zeros((len(ranks), experts), dtype=bool)
    for rank, held in enumerate(ranks):
        holding[rank, list(held)] = True
    return holding


def _rank_loads(holding: np.ndarray, scenarios: np.ndarray) -> np.ndarray:
    """Return the loads of ranks in shape ``(scenarios, ranks)``."""
    return (scenarios / holding.sum(axis=0)) @ holding.T


def _eighth_power(loads: np.ndarray) -> np.ndarray:
    squared = loads * loads
    fourth = squared * squared
    return fourth * fourth


class _Search:
    """Search for one set; loads are in units of a scenario's mean load per rank."""

    def __init__(
        self,
        ranks: Sequence[Sequence[int]],
        scenarios: np.ndarray,
        slowdowns: np.ndarray,
        bounds: MapBounds,
    ) -> None:
        scenarios = np.asarray(scenarios, dtype=np.float64)
        scenarios = scenarios[scenarios.sum(axis=1) > 0]
        self._scenarios = scenarios * (len(ranks) / scenarios.sum(axis=1, keepdims=True))
        self._initial_order = [list(held) for held in ranks]
        self._slowdowns = slowdowns
        self._bounds = bounds
        self._initial = _build_holding(ranks, scenarios.shape[1])
        self._holding = self._initial.copy()
        self._slots = np.full((len(ranks), bounds.slots_per_rank), EMPTY)
        for rank, held in enumerate(ranks):
            self._slots[rank, : len(held)] = held
        self._loads = _rank_loads(self._holding, self._scenarios)
        self._cost = self._cost_of(self._loads)

    def result(self) -> list[list[int]]:
        """Return the placement found; experts that stay keep their order."""
        result = []
        for before, holding in zip(self._initial_order, self._holding, strict=True):
            held = set(np.flatnonzero(holding).tolist())
            staying = [expert for expert in before if expert in held]
            result.append(staying + sorted(held.difference(before)))
        return result

    def make_best_move(self) -> bool:
        """Make the best move of a hot rank; return whether there was a worthwhile one."""
        if not len(self._scenarios):
            return False
        rank_costs = self._step_time_powers(self._loads).sum(axis=0)
        eviction_costs = self._eviction_costs()
        for hot in np.argsort(-rank_costs)[:HOT_RANKS].tolist():
            move = self._best_move(hot, eviction_costs)
            if move is not None and self._apply_if_worthwhile(hot, move):
                return True
        return False

    def _step_time_powers(self, loads: np.ndarray) -> np.ndarray:
        return _eighth_power(loads * self._slowdowns)

    def _cost_of(self, loads: np.ndarray) -> float:
        return float((self._step_time_powers(loads).sum(axis=1) ** (1.0 / NORM_ORDER)).sum())

    def _eviction_costs(self) -> np.ndarray:
        """Return the cost that evicting an expert adds at its other holders, by rank and expert."""
        count = self._holding.sum(axis=0)
        rank, expert = np.nonzero(self._holding & (count > 1))
        replicas = count[expert]
        added_load = self._scenarios[:, expert] * (1.0 / (replicas - 1) - 1.0 / replicas)
        slowdowns = self._slowdowns[rank]
        loads = self._loads[:, rank]
        added = (
            _eighth_power((loads + added_load) * slowdowns) - _eighth_power(loads * slowdowns)
        ).sum(axis=0)
        by_expert = np.bincount(expert, weights=added, minlength=len(count))
        costs = np.zeros(self._holding.shape)
        costs[rank, expert] = by_expert[expert] - added
        return costs

    def _best_move(self, hot: int, eviction_costs: np.ndarray) -> _Move | None:
        held = np.flatnonzero(self._holding[hot])
        count = self._holding.sum(axis=0)
        shares = self._scenarios[:, held].sum(axis=0) / count[held]
        best: _Move | None = None
        for expert in held[np.argsort(-shares)][:HOT_EXPERTS].tolist():
            for is_moved in (False, True):
                move = self._best_target(hot, expert, is_moved, count, eviction_costs)
                if move is not None and (best is None or move.gain > best.gain):
                    best = move
        return best

    def _best_target(
        self, hot: int, expert: int, is_moved: bool, count: np.ndarray, eviction_costs: np.ndarray
    ) -> _Move | None:
        """Find the best target for an expert, and the expert that it evicts."""
        targets = np.flatnonzero(self._can_load(expert))
        if not len(targets):
            return None
        replicas = count[expert]
        share = self._scenarios[:, expert] / (replicas if is_moved else replicas + 1)
        saved_cost = self._saved_cost(hot, expert, is_moved, share)
        evicted = self._slots[targets]
        empty = evicted == EMPTY
        freed = self._scenarios[:, evicted] / count[evicted]
        freed[:, empty] = 0.0
        slowdowns = self._slowdowns[targets][:, None]
        loads = self._loads[:, targets][:, :, None]
        before = _eighth_power(loads * slowdowns)
        after = _eighth_power((loads + share[:, None, None] - freed) * slowdowns)
        costs = (after - before).sum(axis=0)
        move_costs = costs + np.where(empty, 0.0, eviction_costs[targets[:, None], evicted])
        move_costs[~empty & (count[evicted] < 2)] = np.inf
        best = self._choose(expert, targets, evicted, saved_cost - move_costs, is_moved, False)
        if not is_moved:
            return best
        swap_costs = costs + self._swap_costs(hot, freed, share)
        swap_costs[empty | ~self._can_hold(hot, evicted)] = np.inf
        swapped = self._choose(expert, targets, evicted, -swap_costs, is_moved, True)
        if best is None or (swapped is not None and swapped.gain > best.gain):
            return swapped
        return best

    def _choose(
        self,
        expert: int,
        targets: np.ndarray,
        evicted: np.ndarray,
        gains: np.ndarray,
        is_moved: bool,
        is_swap: bool,
    ) -> _Move | None:
        index = int(gains.argmax())
        gain = float(gains.flat[index])
        if gain <= 0.0:
            return None
        row, column = divmod(index, evicted.shape[1])
        return _Move(gain, expert, int(targets[row]), int(evicted[row, column]), is_moved, is_swap)

    def _saved_cost(self, hot: int, expert: int, is_moved: bool, share: np.ndarray) -> float:
        """Return the cost that a move saves at the current holders of its expert."""
        holders = [hot] if is_moved else np.flatnonzero(self._holding[:, expert])
        loads = self._loads[:, holders]
        current_share = self._scenarios[:, expert] / self._holding[:, expert].sum()
        removed = current_share if is_moved else current_share - share
        slowdowns = self._slowdowns[holders]
        return float(
            (
                _eighth_power(loads * slowdowns)
                - _eighth_power((loads - removed[:, None]) * slowdowns)
            ).sum()
        )

    def _swap_costs(self, hot: int, freed: np.ndarray, share: np.ndarray) -> np.ndarray:
        """Return the cost that is added at the hot rank if it gets the evicted expert."""
        load = self._loads[:, hot][:, None, None]
        slowdown = self._slowdowns[hot]
        after = _eighth_power((load - share[:, None, None] + freed) * slowdown)
        return (after - _eighth_power(load * slowdown)).sum(axis=0)

    def _can_load(self, expert: int) -> np.ndarray:
        """Return for each rank whether it may get an expert: held initially, or may load it."""
        may_load = (self._holding & ~self._initial).sum(axis=1) < self._bounds.loads_per_change
        return ~self._holding[:, expert] & (self._initial[:, expert] | may_load)

    def _can_hold(self, rank: int, experts: np.ndarray) -> np.ndarray:
        """Return for each expert whether a rank may get it, see `_can_load`."""
        may_load = (
            self._holding[rank] & ~self._initial[rank]
        ).sum() < self._bounds.loads_per_change
        return ~self._holding[rank][experts] & (self._initial[rank][experts] | may_load)

    def _apply_if_worthwhile(self, hot: int, move: _Move) -> bool:
        """Make a move if the exact loads show that it is worth its cost."""
        holding = self._holding.copy()
        holding[move.target, move.expert] = True
        if move.is_moved:
            holding[hot, move.expert] = False
        if move.evicted != EMPTY:
            holding[move.target, move.evicted] = False
        if move.is_swap:
            holding[hot, move.evicted] = True
        loads = _rank_loads(holding, self._scenarios)
        cost = self._cost_of(loads)
        if cost > self._cost * (1.0 - MIN_MOVE_GAIN):
            return False
        self._holding, self._loads, self._cost = holding, loads, cost
        for rank in (hot, move.target):
            held = np.flatnonzero(holding[rank])
            self._slots[rank] = EMPTY
            self._slots[rank, : len(held)] = held
        return True
