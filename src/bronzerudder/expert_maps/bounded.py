"""Moves experts in small changes, each within what a rank may load at once.

It answers a shift of demand while the group serves: each change takes the largest ranks down, a few
loads at a time, instead of one large change that takes long to load.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

MAX_STEPS = 40
"""Steps for one set of layers; later ones gain little and cost processor time."""
HOT_EXPERTS = 4
COLD_RANKS = 6
"""Candidates looked at in each step; the best move is nearly always among them."""
LEAST_STEP_GAIN = 0.01
"""A step that lowers the largest load by less is not worth a load."""
EVEN_ENOUGH = 1.05
"""A set whose largest load is this close to the mean is left alone."""


class Bounds(NamedTuple):
    """What a rank can take.

    Parameters
    ----------
    places : int
        Experts that a rank holds of each set.
    loads : int
        Experts of each set that a rank may load for one change.
    """

    places: int
    loads: int


class _Move(NamedTuple):
    """Expert ``expert`` goes to rank ``to``, which may drop one; ``leaves`` names ranks it leaves."""

    expert: int
    to: int
    drops: int | None
    leaves: int | None
    gives_back: bool


def skew(layout: Sequence[Sequence[Sequence[int]]], popularity: Sequence[Sequence[float]]) -> float:
    """Time of a step over that of an even placement: largest over mean load, over all sets.

    Parameters
    ----------
    layout : sequence
        Experts by set and rank.
    popularity : sequence
        Load of each expert, by set; in any unit.
    """
    largest = 0.0
    mean = 0.0
    for ranks, loads_of in zip(layout, popularity, strict=True):
        loads = rank_loads(ranks, loads_of)
        largest += max(loads)
        mean += sum(loads) / len(loads)
    return largest / mean if mean > 0 else 1.0


def rank_loads(ranks: Sequence[Sequence[int]], popularity: Sequence[float]) -> list[float]:
    """Load of each rank of one set; ranks that hold an expert share its load evenly."""
    holders = [0] * len(popularity)
    for experts in ranks:
        for expert in experts:
            holders[expert] += 1
    loads = []
    for experts in ranks:
        loads.append(sum(popularity[expert] / holders[expert] for expert in experts))
    return loads


def improve_set(
    ranks: Sequence[Sequence[int]], popularity: Sequence[float], bounds: Bounds
) -> list[list[int]]:
    """Lower the largest load of one set as far as one change allows.

    Parameters
    ----------
    ranks : sequence
        Experts that each rank holds now.
    popularity : sequence
        Load of each expert.
    bounds : Bounds
        What a rank can take.

    Returns
    -------
    list
        Experts that each rank is to hold, in the order of ``ranks``.
    """
    search = _Search(ranks, popularity, bounds)
    for _ in range(MAX_STEPS):
        if not search.step():
            break
    return search.result()


class _Search:
    def __init__(
        self, ranks: Sequence[Sequence[int]], popularity: Sequence[float], bounds: Bounds
    ) -> None:
        self._before = [list(experts) for experts in ranks]
        self._held = [set(experts) for experts in ranks]
        self._popularity = popularity
        self._bounds = bounds
        self._holders: list[set[int]] = [set() for _ in popularity]
        for rank, experts in enumerate(self._held):
            for expert in experts:
                self._holders[expert].add(rank)
        self._loads = rank_loads(self._before, popularity)
        self._loaded: list[set[int]] = [set() for _ in ranks]

    def result(self) -> list[list[int]]:
        """Placement reached; experts that stay keep their order."""
        result = []
        for before, held in zip(self._before, self._held, strict=True):
            kept = [expert for expert in before if expert in held]
            result.append(kept + sorted(held.difference(before)))
        return result

    def step(self) -> bool:
        """Make the best move for the most loaded rank; tell whether there was one."""
        loads = self._loads
        hot = max(range(len(loads)), key=loads.__getitem__)
        if loads[hot] * len(loads) <= EVEN_ENOUGH * sum(loads):
            return False
        best: _Move | None = None
        best_peak = loads[hot] * (1.0 - LEAST_STEP_GAIN)
        for move in self._moves(hot):
            peak = self._peak_after(move)
            if peak < best_peak:
                best, best_peak = move, peak
        if best is None:
            return False
        for rank, change in self._changes(best).items():
            loads[rank] += change
        self._apply(best)
        return True

    def _moves(self, hot: int) -> list[_Move]:
        held = self._held
        shares = sorted(held[hot], key=self._share, reverse=True)[:HOT_EXPERTS]
        order = sorted(range(len(held)), key=self._loads.__getitem__)
        moves = []
        for expert in shares:
            takers = [rank for rank in order if self._can_load(rank, expert)][:COLD_RANKS]
            for rank in takers:
                moves.extend(self._moves_to(hot, expert, rank))
        return moves

    def _moves_to(self, hot: int, expert: int, rank: int) -> list[_Move]:
        moves = []
        drops: list[int | None] = [None]
        if len(self._held[rank]) >= self._bounds.places:
            drops = [item for item in self._held[rank] if len(self._holders[item]) > 1]
        for drop in drops:
            moves.append(_Move(expert, rank, drop, None, False))
            moves.append(_Move(expert, rank, drop, hot, False))
        for item in self._held[rank]:
            if item not in self._held[hot] and self._can_load(hot, item):
                moves.append(_Move(expert, rank, item, hot, True))
        return moves

    def _can_load(self, rank: int, expert: int) -> bool:
        if expert in self._held[rank]:
            return False
        if expert in self._before[rank]:
            return True
        return len(self._loaded[rank]) < self._bounds.loads

    def _share(self, expert: int) -> float:
        return self._popularity[expert] / len(self._holders[expert])

    def _peak_after(self, move: _Move) -> float:
        """Largest load among the ranks that a move changes."""
        return max(self._loads[rank] + change for rank, change in self._changes(move).items())

    def _changes(self, move: _Move) -> dict[int, float]:
        """Change of load by rank."""
        changes: dict[int, float] = {}
        after = set(self._holders[move.expert])
        after.add(move.to)
        after.discard(-1 if move.leaves is None else move.leaves)
        self._add_changes(changes, move.expert, after)
        if move.drops is not None:
            remaining = set(self._holders[move.drops])
            remaining.discard(move.to)
            if move.gives_back and move.leaves is not None:
                remaining.add(move.leaves)
            self._add_changes(changes, move.drops, remaining)
        return changes

    def _add_changes(self, changes: dict[int, float], expert: int, after: set[int]) -> None:
        before = self._holders[expert]
        old = self._popularity[expert] / len(before)
        new = self._popularity[expert] / len(after)
        for rank in before:
            changes[rank] = changes.get(rank, 0.0) - old
        for rank in after:
            changes[rank] = changes.get(rank, 0.0) + new

    def _apply(self, move: _Move) -> None:
        self._give(move.to, move.expert)
        if move.leaves is not None:
            self._take(move.leaves, move.expert)
        if move.drops is None:
            return
        self._take(move.to, move.drops)
        if move.gives_back and move.leaves is not None:
            self._give(move.leaves, move.drops)

    def _give(self, rank: int, expert: int) -> None:
        self._held[rank].add(expert)
        self._holders[expert].add(rank)
        if expert not in self._before[rank]:
            self._loaded[rank].add(expert)

    def _take(self, rank: int, expert: int) -> None:
        self._held[rank].discard(expert)
        self._holders[expert].discard(rank)
        self._loaded[rank].discard(expert)
