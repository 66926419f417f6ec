"""What the requests of a group chose lately, as scenarios that a map is planned for."""

from __future__ import annotations

import collections
import math
from typing import NamedTuple

import msgspec

from bronzerudder.expert_maps.api import RankCounts

WINDOW_S = 1.2
"""Demand shifts within seconds; what was chosen before the last shift misleads."""
SLICE_S = 0.2
"""A few steps of the group. What all ranks chose in one slice is close to the load of a step."""
LEAST_SLICE_SHARE = 0.25
"""Slices with less than this part of the usual number of choices are too uneven to plan by."""
MAX_LEVEL = 15
"""Largest share of a scenario, so that two take a byte: links beside ranks are narrow."""
LEVEL_BITS = 4


class Scenario(msgspec.Struct, frozen=True, array_like=True):
    """What the requests of one rank chose for a while.

    Parameters
    ----------
    weight : int
        Choices in all.
    levels : bytes
        Choices of each expert, by set: the square root, relative to the most frequent one at
        `MAX_LEVEL`, two experts a byte with the first one in the upper half.
    """

    weight: int
    levels: bytes


class ScenarioTaker:
    """Turns the counts of one rank into scenarios."""

    def __init__(self) -> None:
        self._last: RankCounts | None = None

    def take(self, told: RankCounts) -> Scenario | None:
        """Return what was chosen since the last call; None where nothing was or can be told."""
        last, self._last = self._last, told
        # A group that formed again, or a rank that started anew, counts from zero.
        if last is None or last.epoch != told.epoch or len(last.counts) != len(told.counts):
            return None
        pairs = zip(told.counts, last.counts, strict=True)
        fresh = [max(0, count - before) for count, before in pairs]
        weight = sum(fresh)
        if not weight:
            return None
        return Scenario(weight, pack_levels(fresh))


def pack_levels(counts: list[int]) -> bytes:
    """Pack counts, of which at least one is not 0, as levels."""
    scale = MAX_LEVEL / math.sqrt(max(counts))
    levels = [round(math.sqrt(count) * scale) for count in counts]
    if len(levels) % 2:
        levels.append(0)
    pairs = zip(levels[::2], levels[1::2], strict=True)
    return bytes(first << LEVEL_BITS | second for first, second in pairs)


class _Held(NamedTuple):
    at_s: float
    scenario: Scenario


class ScenarioWindow:
    """Scenarios of all ranks of a group.

    Parameters
    ----------
    size : int
        Experts of all sets; scenarios of another size are passed over.
    """

    def __init__(self, size: int) -> None:
        self._packed_size = (size + 1) // 2
        self._held: collections.deque[_Held] = collections.deque()

    def add(self, scenario: Scenario, now_s: float) -> None:
        """Take in a scenario; `now_s` is a monotonic time in seconds."""
        if len(scenario.levels) == self._packed_size:
            self._held.append(_Held(now_s, scenario))

    def slices(self, now_s: float) -> list[list[Scenario]]:
        """Return the scenarios of the window by the slice in which they came.

        A step sums up what the requests on all ranks choose, so a slice, not the scenario of one
        rank, stands for a step.
        """
        while self._held and self._held[0].at_s < now_s - WINDOW_S:
            self._held.popleft()
        by_slice: dict[int, list[Scenario]] = {}
        for held in self._held:
            by_slice.setdefault(int((now_s - held.at_s) / SLICE_S), []).append(held.scenario)
        weights = {number: sum(item.weight for item in held) for number, held in by_slice.items()}
        least = LEAST_SLICE_SHARE * max(weights.values(), default=0)
        return [by_slice[number] for number in sorted(by_slice) if weights[number] >= least]
