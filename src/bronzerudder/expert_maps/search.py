"""Searches for the few loads that make the steps of a group shortest.

It answers a shift of demand while the group serves. A step lasts as long as its most loaded rank,
so what counts is the sum of the largest loads over many scenarios, not the largest load of their
average.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import NamedTuple

import numpy as np

from bronzerudder.expert_maps.shape import MapBounds

MAX_STEPS = 40
"""Moves for one set of layers; later ones gain little and cost processor time."""
HOT_RANKS = 2
HOT_EXPERTS = 3
COLD_RANKS = 6
"""Candidates looked at for each move; the best one is nearly always among them."""
LEAST_MOVE_GAIN = 0.01
"""A move that shortens a set's part of the steps by less is not worth a load."""
MEAN_WEIGHT = 0.5
"""Weight of a rank's mean load against how often it is the largest, when looking for cold ranks."""


class StepLoads(NamedTuple):
    """Sums over scenarios: of the largest rank's load, and of the mean load, in any unit."""

    largest: float
    mean: float


class _Move(NamedTuple):
    """An expert goes to a rank.

    Parameters
    ----------
    expert, to : int
        What goes where.
    drops : int or None
        Expert that the rank gives up for it.
    leaves : int or None
        Rank that the expert leaves; None if it stays there as well.
    swaps : bool
        Whether the dropped expert goes to the rank that is left.
    """

    expert: int
    to: int
    drops: int | None
    leaves: int | None
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
    loads = _rank_loads(ranks, scenarios, paces)
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


def _rank_loads(
    ranks: Sequence[Sequence[int]], scenarios: np.ndarray, paces: np.ndarray
) -> np.ndarray:
    """Return loads in shape ``(scenarios, ranks)``."""
    shares = np.zeros((scenarios.shape[1], len(ranks)))
    for rank, experts in enumerate(ranks):
        shares[list(experts), rank] = 1.0
    shares /= shares.sum(axis=1, keepdims=True)
    return (scenarios @ shares) * paces


class _Search:
    def __init__(
        self,
        ranks: Sequence[Sequence[int]],
        scenarios: np.ndarray,
        paces: np.ndarray,
        bounds: MapBounds,
    ) -> None:
        self._before = [list(experts) for experts in ranks]
        self._held = [set(experts) for experts in ranks]
        self._scenarios = np.asarray(scenarios, dtype=np.float64)
        self._bounds = bounds
        self._holders: list[set[int]] = [set() for _ in range(self._scenarios.shape[1])]
        for rank, experts in enumerate(self._held):
            for expert in experts:
                self._holders[expert].add(rank)
        self._paces = paces.tolist()
        self._loads = _rank_loads(self._before, self._scenarios, paces)
        self._cost = float(self._loads.max(axis=1).sum())

    def result(self) -> list[list[int]]:
        """Placement reached; experts that stay keep their order."""
        result = []
        for before, held in zip(self._before, self._held, strict=True):
            kept = [expert for expert in before if expert in held]
            result.append(kept + sorted(held.difference(before)))
        return result

    def step(self) -> bool:
        """Make the best move; tell whether there was one worth a load."""
        best: _Move | None = None
        best_cost = self._cost * (1.0 - LEAST_MOVE_GAIN)
        for move in self._moves():
            cost = float(self._loads_after(move).max(axis=1).sum())
            if cost < best_cost:
                best, best_cost = move, cost
        if best is None:
            return False
        self._loads = self._loads_after(best)
        self._cost = best_cost
        self._apply(best)
        return True

    def _moves(self) -> Iterator[_Move]:
        largest = self._loads.argmax(axis=1)
        heat = np.bincount(largest, weights=self._loads.max(axis=1), minlength=len(self._held))
        cold = np.argsort(heat + MEAN_WEIGHT * self._loads.sum(axis=0)).tolist()
        for hot in np.argsort(-heat)[:HOT_RANKS].tolist():
            chosen = largest == hot
            if not chosen.any() or not self._held[hot]:
                continue
            loads = self._scenarios[chosen].sum(axis=0)
            shares = {item: loads[item] / len(self._holders[item]) for item in self._held[hot]}
            for expert in sorted(shares, key=shares.__getitem__, reverse=True)[:HOT_EXPERTS]:
                takers = [rank for rank in cold if self._can_load(rank, expert)]
                for rank in takers[:COLD_RANKS]:
                    yield from self._moves_to(hot, expert, rank)

    def _moves_to(self, hot: int, expert: int, rank: int) -> Iterator[_Move]:
        drops: list[int | None] = [None]
        if len(self._held[rank]) >= self._bounds.places:
            drops = [item for item in self._held[rank] if len(self._holders[item]) > 1]
        for drop in drops:
            yield _Move(expert, rank, drop, None, False)
            yield _Move(expert, rank, drop, hot, False)
        for item in self._held[rank]:
            if self._can_load(hot, item):
                yield _Move(expert, rank, item, hot, True)

    def _can_load(self, rank: int, expert: int) -> bool:
        if expert in self._held[rank]:
            return False
        if expert in self._before[rank]:
            return True
        return len(self._held[rank].difference(self._before[rank])) < self._bounds.loads

    def _loads_after(self, move: _Move) -> np.ndarray:
        loads = self._loads.copy()
        after = set(self._holders[move.expert])
        after.add(move.to)
        if move.leaves is not None:
            after.discard(move.leaves)
        self._shift(loads, move.expert, after)
        if move.drops is not None:
            remaining = set(self._holders[move.drops])
            remaining.discard(move.to)
            if move.swaps and move.leaves is not None:
                remaining.add(move.leaves)
            self._shift(loads, move.drops, remaining)
        return loads

    def _shift(self, loads: np.ndarray, expert: int, after: set[int]) -> None:
        """Change the loads by an expert's holders becoming others."""
        before = self._holders[expert]
        load = self._scenarios[:, expert]
        old = load / len(before)
        new = load / len(after)
        for rank in before:
            loads[:, rank] -= old * self._paces[rank]
        for rank in after:
            loads[:, rank] += new * self._paces[rank]

    def _apply(self, move: _Move) -> None:
        self._give(move.to, move.expert)
        if move.leaves is not None:
            self._take(move.leaves, move.expert)
        if move.drops is None:
            return
        self._take(move.to, move.drops)
        if move.swaps and move.leaves is not None:
            self._give(move.leaves, move.drops)

    def _give(self, rank: int, expert: int) -> None:
        self._held[rank].add(expert)
        self._holders[expert].add(rank)

    def _take(self, rank: int, expert: int) -> None:
        self._held[rank].discard(expert)
        self._holders[expert].discard(rank)
