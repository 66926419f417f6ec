"""What the requests of a group chose lately, as scenarios that a map is planned for."""

from __future__ import annotations

import collections
from typing import NamedTuple

import msgspec

from bronzerudder.expert_maps.api import RankCounts

WINDOW_S = 4.0
"""Demand shifts within seconds, and most topics of the traffic are seen in this time."""
MAX_SCENARIOS = 60
"""The largest ones; they take the most time, and more of them cost processor time to plan with."""
PEAK_SHARE = 255
"""Largest share of a scenario, so that each takes a byte: links beside ranks are narrow."""


class Scenario(msgspec.Struct, frozen=True, array_like=True):
    """What the requests of one rank chose for a while.

    A step is dominated by the few prompts that are read in it, and each prompt is of one topic. So
    the average over all ranks says little about any step, while the choices of one rank in half a
    second are close to those of one prompt.

    Parameters
    ----------
    weight : int
        Choices in all.
    shares : bytes
        Choices of each expert, by set, relative to the most frequent one at `PEAK_SHARE`.
    """

    weight: int
    shares: bytes


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
        scale = PEAK_SHARE / max(fresh)
        return Scenario(weight, bytes(round(count * scale) for count in fresh))


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
        self._size = size
        self._held: collections.deque[_Held] = collections.deque()

    def add(self, scenario: Scenario, now_s: float) -> None:
        """Take in a scenario; `now_s` is a monotonic time in seconds."""
        if len(scenario.shares) == self._size:
            self._held.append(_Held(now_s, scenario))

    def largest(self, now_s: float) -> list[Scenario]:
        """Return the scenarios of the window that take the most time."""
        while self._held and self._held[0].at_s < now_s - WINDOW_S:
            self._held.popleft()
        scenarios = [held.scenario for held in self._held]
        scenarios.sort(key=lambda scenario: scenario.weight, reverse=True)
        return scenarios[:MAX_SCENARIOS]
