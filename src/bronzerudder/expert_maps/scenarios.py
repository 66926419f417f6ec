"""Remembers what the requests of a group chose lately."""

from __future__ import annotations

import collections

from bronzerudder.expert_maps.api import RankCounts

WINDOW_S = 4.0
"""Demand shifts within seconds, and most topics of the traffic are seen in this time."""
MAX_SCENARIOS = 60
"""The largest ones; they take the most time, and more of them cost processor time to plan with."""


class _Sample:
    def __init__(self, at_s: float, counts: list[int]) -> None:
        self.at_s = at_s
        self.counts = counts
        self.weight = sum(counts)


class ScenarioRecorder:
    """Keeps what each rank's requests chose between two posts, as one scenario each.

    A step is dominated by the few prompts that are read in it, and each prompt is of one topic. So
    the average over all ranks says little about any step, while the choices of one rank in half a
    second are close to those of one prompt.

    Parameters
    ----------
    sets, experts : int
        Sets of layers, and experts in each.
    """

    def __init__(self, sets: int, experts: int) -> None:
        self._size = sets * experts
        self._last: dict[str, list[int]] = {}
        self._epoch = -1
        self._samples: collections.deque[_Sample] = collections.deque()

    def observe(self, rank: str, told: RankCounts, now_s: float) -> None:
        """Take in the counts of a rank; a rank that started anew counts from zero."""
        if len(told.counts) != self._size:
            return
        if told.epoch != self._epoch:
            self._epoch = told.epoch
            self._last.clear()
        last = self._last.get(rank)
        self._last[rank] = told.counts
        while self._samples and self._samples[0].at_s < now_s - WINDOW_S:
            self._samples.popleft()
        if last is None:
            return
        fresh = [max(0, count - before) for count, before in zip(told.counts, last, strict=True)]
        sample = _Sample(now_s, fresh)
        if sample.weight:
            self._samples.append(sample)

    def largest(self, now_s: float) -> list[list[int]]:
        """Scenarios of the window that take the most time; each has the choices of all sets."""
        recent = [sample for sample in self._samples if sample.at_s >= now_s - WINDOW_S]
        recent.sort(key=lambda sample: sample.weight, reverse=True)
        return [sample.counts for sample in recent[:MAX_SCENARIOS]]
