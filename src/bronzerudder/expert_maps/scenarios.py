"""Recent expert choices of a group's requests, as load scenarios that a map is planned for."""

from __future__ import annotations

import collections
import math
from typing import NamedTuple

import msgspec

from bronzerudder.expert_maps.api import RankCounts

WINDOW_S = 1.2
"""Demand shifts within seconds; choices from before the last shift mislead the planner."""
SLICE_S = 0.2
"""A few steps; the choices of all ranks in one slice approximate the load of a step."""
MIN_SLICE_FRACTION = 0.25
"""Slices with less than this fraction of the largest slice's choices are too noisy to plan by."""
MAX_LEVEL = 15
"""Highest level of an expert. Two levels fit in a byte, as the links of ranks are narrow."""
LEVEL_BITS = 4


class Scenario(msgspec.Struct, frozen=True, array_like=True):
    """Experts that the requests of one rank chose in some period.

    Parameters
    ----------
    weight : int
        Total number of choices.
    levels : bytes
        Level of each expert, by set: the square root of its number of choices, scaled so that the
        most frequent expert has `MAX_LEVEL`. A byte holds two levels, the first in its upper half.
    """

    weight: int
    levels: bytes


class ScenarioSampler:
    """Turns successive counts of one rank into scenarios."""

    def __init__(self) -> None:
        self._last: RankCounts | None = None

    def sample(self, current: RankCounts) -> Scenario | None:
        """Return the choices since the last call; None if there were none or they are not known."""
        last, self._last = self._last, current
        # Counts restart from zero when a group forms again or a rank restarts.
        if last is None or last.epoch != current.epoch or len(last.counts) != len(current.counts):
            return None
        pairs = zip(current.counts, last.counts, strict=True)
        increments = [max(0, count - before) for count, before in pairs]
        weight = sum(increments)
        if not weight:
            return None
        return Scenario(weight, pack_levels(increments))


def pack_levels(counts: list[int]) -> bytes:
    """Pack counts, of which at least one is not 0, as levels."""
    scale = MAX_LEVEL / math.sqrt(max(counts))
    levels = [round(math.sqrt(count) * scale) for count in counts]
    if len(levels) % 2:
        levels.append(0)
    pairs = zip(levels[::2], levels[1::2], strict=True)
    return bytes(first << LEVEL_BITS | second for first, second in pairs)


class _TimedScenario(NamedTuple):
    at_s: float
    scenario: Scenario


class ScenarioWindow:
    """Scenarios of all ranks of a group.

    Parameters
    ----------
    size : int
        Number of experts in all sets; scenarios of another size are ignored.
    """

    def __init__(self, size: int) -> None:
        self._packed_size = (size + 1) // 2
        self._scenarios: collections.deque[_TimedScenario] = collections.deque()

    def add(self, scenario: Scenario, now_s: float) -> None:
        """Add a scenario; `now_s` is a monotonic time in seconds."""
        if len(scenario.levels) == self._packed_size:
            self._scenarios.append(_TimedScenario(now_s, scenario))

    @property
    def newest_s(self) -> float:
        """Monotonic time at which the newest scenario arrived; 0 if there is none."""
        return self._scenarios[-1].at_s if self._scenarios else 0.0

    @property
    def oldest_s(self) -> float:
        """Monotonic time at which the oldest scenario arrived; 0 if there is none."""
        return self._scenarios[0].at_s if self._scenarios else 0.0

    def count_since(self, since_s: float, now_s: float) -> int:
        """Return the number of scenarios of the window that arrived since a monotonic time."""
        self._drop_old(now_s)
        return sum(held.at_s >= since_s for held in self._scenarios)

    def slices(self, now_s: float, since_s: float = -math.inf) -> list[list[Scenario]]:
        """Return the scenarios of the window, grouped by the slice in which they arrived.

        The load of a step is the sum over all ranks, so it is approximated by a slice rather than
        by the scenario of one rank.

        Parameters
        ----------
        now_s, since_s : float
            Monotonic times; scenarios that arrived before `since_s` are left out.
        """
        self._drop_old(now_s)
        by_slice: dict[int, list[Scenario]] = {}
        for held in self._scenarios:
            if held.at_s < since_s:
                continue
            by_slice.setdefault(int((now_s - held.at_s) / SLICE_S), []).append(held.scenario)
        weights = {number: sum(item.weight for item in held) for number, held in by_slice.items()}
        min_weight = MIN_SLICE_FRACTION * max(weights.values(), default=0)
        return [by_slice[number] for number in sorted(by_slice) if weights[number] >= min_weight]

    def _drop_old(self, now_s: float) -> None:
        while self._scenarios and self._scenarios[0].at_s < now_s - WINDOW_S:
            self._scenarios.popleft()
