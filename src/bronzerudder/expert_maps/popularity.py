"""Follows what the requests of a group choose."""

from __future__ import annotations

import math

from bronzerudder.expert_maps.api import RankCounts

HALF_LIFE_S = 2.5
"""Demand shifts within seconds, and a second of a group's traffic has enough tokens to see it."""


class ChoiceFollower:
    """Averages the rates at which experts are chosen, over all ranks of a group.

    Parameters
    ----------
    sets, experts : int
        Sets of layers, and experts in each.
    """

    def __init__(self, sets: int, experts: int) -> None:
        self._sets = sets
        self._experts = experts
        self._totals = [0.0] * (sets * experts)
        self._last: dict[str, list[int]] = {}
        self._epoch = -1
        self._decayed_at_s: float | None = None

    @property
    def popularity(self) -> list[list[float]]:
        """Weighted choices of each expert, by set."""
        count = self._experts
        return [self._totals[index * count : (index + 1) * count] for index in range(self._sets)]

    @property
    def weight(self) -> float:
        """Sum of all weighted choices; small when there is little to go by."""
        return sum(self._totals)

    def observe(self, rank: str, told: RankCounts, now_s: float) -> None:
        """Take in the counts of a rank; a rank that started anew counts from zero."""
        if len(told.counts) != len(self._totals):
            return
        self._decay(now_s)
        if told.epoch != self._epoch:
            self._epoch = told.epoch
            self._last.clear()
        last = self._last.get(rank)
        self._last[rank] = told.counts
        if last is None:
            return
        for index, count in enumerate(told.counts):
            fresh = count - last[index]
            if fresh > 0:
                self._totals[index] += fresh

    def _decay(self, now_s: float) -> None:
        if self._decayed_at_s is None:
            self._decayed_at_s = now_s
            return
        elapsed_s = now_s - self._decayed_at_s
        if elapsed_s < HALF_LIFE_S / 10:
            return
        self._decayed_at_s = now_s
        factor = math.exp(-math.log(2) * elapsed_s / HALF_LIFE_S)
        self._totals = [total * factor for total in self._totals]
