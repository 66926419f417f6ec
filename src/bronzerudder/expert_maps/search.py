"""Searches for the few loads that make the steps of a group shortest.

It answers a shift of demand while the group serves. A step lasts as long as its most loaded rank,
set by set. The largest load alone is a poor guide for a search, as most moves leave it as it is; so
the search lessens the sum of a high power of all loads, over a few scenarios.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import numpy as np

from bronzerudder.expert_maps.shape import MapBounds

POWER = 8
"""Of the loads; higher ones see only the largest load, lower ones the average."""
MAX_STEPS = 120
"""Bounds the time for one set of layers; 72 ranks that load two experts each need fewer."""
HOT_RANKS = 3
HOT_EXPERTS = 3
"""Tried in turn for a move; the best one is nearly always among them."""
LEAST_MOVE_GAIN = 0.003
"""A move that shortens a set's part of the steps by less is not worth a load."""
EMPTY = -1


class StepLoads(NamedTuple):
    """Sums over scenarios: of the largest rank's load, and of the mean load, in any unit."""

    largest: float
    mean: float


class _Move(NamedTuple):
    """An expert goes to a rank.

    Parameters
    ----------
    gain : float
        By which the sum of powers gets smaller.
    expert, to : int
        What goes where.
    drops : int
        Expert that the rank gives up for it; `EMPTY` if it has room.
    leaves : bool
        Whether the expert leaves the hot rank.
    swaps : bool
        Whether the dropped expert goes to the hot rank.
    """

    gain: float
    expert: int
    to: int
    drops: int
    leaves: bool
    swaps: bool


def measure(ranks: Sequence[Sequence[int]], scenarios: np.ndarray, paces: np.ndarray) -> StepLoads:
    """Measure a placement of one set.

    Parameters
    ----------
    ranks : sequence
        Experts that each rank holds; ranks that hold an expert share its load evenly.
    scenarios : numpy.ndarray
        Shape ``(scenarios, experts)``: load of each expert.
    paces : numpy.ndarray
        Shape ``(ranks,)``: time that a rank takes for a load of one.
    """
    loads = _rank_loads(_holding(ranks, scenarios.shape[1]), scenarios) * paces
    return StepLoads(float(loads.max(axis=1).sum()), float(loads.mean(axis=1).sum()))


def improve_set(
    ranks: Sequence[Sequence[int]],
    scenarios: np.ndarray,
    paces: np.ndarray,
    bounds: MapBounds,
) -> list[list[int]]:
    """Shorten the steps as far as one change of map allows.

    Parameters
    ----------
    ranks : sequence
        Experts that each rank holds now.
    scenarios : numpy.ndarray
        Shape ``(scenarios, experts)``: load of each expert.
    paces : numpy.ndarray
        Shape ``(ranks,)``: time that a rank takes for a load of one.
    bounds : MapBounds
        What a rank can take.

    Returns
    -------
    list
        Experts that each rank is to hold, in the order of ``ranks``.
    """
    search = _Search(ranks, scenarios, paces, bounds)
    for _ in range(MAX_STEPS):
        if not search.step():
            break
    return search.result()


def _holding(ranks: Sequence[Sequence[int]], experts: int) -> np.ndarray:
    """Return in shape ``(ranks, experts)`` whether a rank holds an expert."""
    holding = np.zeros((len(ranks), experts), dtype=bool)
    for rank, held in enumerate(ranks):
        holding[rank, list(held)] = True
    return holding


def _rank_loads(holding: np.ndarray, scenarios: np.ndarray) -> np.ndarray:
    """Return loads in shape ``(scenarios, ranks)``."""
    return (scenarios / holding.sum(axis=0)) @ holding.T


def _power(loads: np.ndarray) -> np.ndarray:
    squared = loads * loads
    fourth = squared * squared
    return fourth * fourth


class _Search:
    """One set's search; loads are in units of a scenario's mean load."""

    def __init__(
        self,
        ranks: Sequence[Sequence[int]],
        scenarios: np.ndarray,
        paces: np.ndarray,
        bounds: MapBounds,
    ) -> None:
        scenarios = np.asarray(scenarios, dtype=np.float64)
        scenarios = scenarios[scenarios.sum(axis=1) > 0]
        self._scenarios = scenarios * (len(ranks) / scenarios.sum(axis=1, keepdims=True))
        self._order = [list(held) for held in ranks]
        self._paces = paces
        self._bounds = bounds
        self._before = _holding(ranks, scenarios.shape[1])
        self._holding = self._before.copy()
        self._slots = np.full((len(ranks), bounds.places), EMPTY)
        for rank, held in enumerate(ranks):
            self._slots[rank, : len(held)] = held
        self._loads = _rank_loads(self._holding, self._scenarios)
        self._cost = self._measure(self._loads)

    def result(self) -> list[list[int]]:
        """Placement reached; experts that stay keep their order."""
        result = []
        for before, holding in zip(self._order, self._holding, strict=True):
            held = set(np.flatnonzero(holding).tolist())
            kept = [expert for expert in before if expert in held]
            result.append(kept + sorted(held.difference(before)))
        return result

    def step(self) -> bool:
        """Make the best move of a hot rank; tell whether there was one worth a load."""
        if not len(self._scenarios):
            return False
        heat = self._power_of(self._loads).sum(axis=0)
        dropping = self._costs_of_dropping()
        for hot in np.argsort(-heat)[:HOT_RANKS].tolist():
            move = self._best_move(hot, dropping)
            if move is not None and self._try(hot, move):
                return True
        return False

    def _power_of(self, loads: np.ndarray) -> np.ndarray:
        return _power(loads * self._paces)

    def _measure(self, loads: np.ndarray) -> float:
        return float((self._power_of(loads).sum(axis=1) ** (1.0 / POWER)).sum())

    def _costs_of_dropping(self) -> np.ndarray:
        """Return in shape ``(ranks, experts)`` what the other holders' loads then add."""
        count = self._holding.sum(axis=0)
        rank, expert = np.nonzero(self._holding & (count > 1))
        copies = count[expert]
        more = self._scenarios[:, expert] * (1.0 / (copies - 1) - 1.0 / copies)
        paces = self._paces[rank]
        loads = self._loads[:, rank]
        added = (_power((loads + more) * paces) - _power(loads * paces)).sum(axis=0)
        by_expert = np.bincount(expert, weights=added, minlength=len(count))
        costs = np.zeros(self._holding.shape)
        costs[rank, expert] = by_expert[expert] - added
        return costs

    def _best_move(self, hot: int, dropping: np.ndarray) -> _Move | None:
        held = np.flatnonzero(self._holding[hot])
        count = self._holding.sum(axis=0)
        shares = self._scenarios[:, held].sum(axis=0) / count[held]
        best: _Move | None = None
        for expert in held[np.argsort(-shares)][:HOT_EXPERTS].tolist():
            for leaves in (False, True):
                move = self._best_target(hot, expert, leaves, count, dropping)
                if move is not None and (best is None or move.gain > best.gain):
                    best = move
        return best

    def _best_target(
        self, hot: int, expert: int, leaves: bool, count: np.ndarray, dropping: np.ndarray
    ) -> _Move | None:
        """Find the best rank for an expert, and what it drops."""
        takers = np.flatnonzero(self._can_load(expert))
        if not len(takers):
            return None
        copies = count[expert]
        part = self._scenarios[:, expert] / (copies if leaves else copies + 1)
        relief = self._relief(hot, expert, leaves, part)
        drops = self._slots[takers]
        empty = drops == EMPTY
        given_up = self._scenarios[:, drops] / count[drops]
        given_up[:, empty] = 0.0
        paces = self._paces[takers][:, None]
        loads = self._loads[:, takers][:, :, None]
        before = _power(loads * paces)
        after = _power((loads + part[:, None, None] - given_up) * paces)
        costs = (after - before).sum(axis=0)
        plain = costs + np.where(empty, 0.0, dropping[takers[:, None], drops])
        plain[~empty & (count[drops] < 2)] = np.inf
        best = self._choose(expert, takers, drops, relief - plain, leaves, False)
        if not leaves:
            return best
        swap = costs + self._cost_of_taking(hot, given_up, part)
        swap[empty | ~self._can_take(hot, drops)] = np.inf
        swapped = self._choose(expert, takers, drops, -swap, leaves, True)
        if best is None or (swapped is not None and swapped.gain > best.gain):
            return swapped
        return best

    def _choose(
        self,
        expert: int,
        takers: np.ndarray,
        drops: np.ndarray,
        gains: np.ndarray,
        leaves: bool,
        swaps: bool,
    ) -> _Move | None:
        at = int(gains.argmax())
        gain = float(gains.flat[at])
        if gain <= 0.0:
            return None
        row, column = divmod(at, drops.shape[1])
        return _Move(gain, expert, int(takers[row]), int(drops[row, column]), leaves, swaps)

    def _relief(self, hot: int, expert: int, leaves: bool, part: np.ndarray) -> float:
        """Return what the present holders' loads then save."""
        holders = [hot] if leaves else np.flatnonzero(self._holding[:, expert])
        loads = self._loads[:, holders]
        now = self._scenarios[:, expert] / self._holding[:, expert].sum()
        less = now if leaves else now - part
        paces = self._paces[holders]
        return float((_power(loads * paces) - _power((loads - less[:, None]) * paces)).sum())

    def _cost_of_taking(self, hot: int, given_up: np.ndarray, part: np.ndarray) -> np.ndarray:
        """Return what the hot rank's load adds if it swaps an expert for each of others."""
        load = self._loads[:, hot][:, None, None]
        pace = self._paces[hot]
        after = _power((load - part[:, None, None] + given_up) * pace)
        return (after - _power(load * pace)).sum(axis=0)

    def _can_load(self, expert: int) -> np.ndarray:
        """Tell for each rank whether it may take an expert."""
        fresh = (self._holding & ~self._before).sum(axis=1) < self._bounds.loads
        return ~self._holding[:, expert] & (self._before[:, expert] | fresh)

    def _can_take(self, rank: int, experts: np.ndarray) -> np.ndarray:
        """Tell for each expert whether a rank may take it."""
        fresh = (self._holding[rank] & ~self._before[rank]).sum() < self._bounds.loads
        return ~self._holding[rank][experts] & (self._before[rank][experts] | fresh)

    def _try(self, hot: int, move: _Move) -> bool:
        """Make a move if it is worth a load by the exact loads."""
        holding = self._holding.copy()
        holding[move.to, move.expert] = True
        if move.leaves:
            holding[hot, move.expert] = False
        if move.drops != EMPTY:
            holding[move.to, move.drops] = False
        if move.swaps:
            holding[hot, move.drops] = True
        loads = _rank_loads(holding, self._scenarios)
        cost = self._measure(loads)
        if cost > self._cost * (1.0 - LEAST_MOVE_GAIN):
            return False
        self._holding, self._loads, self._cost = holding, loads, cost
        for rank in (hot, move.to):
            held = np.flatnonzero(holding[rank])
            self._slots[rank] = EMPTY
            self._slots[rank, : len(held)] = held
        return True
