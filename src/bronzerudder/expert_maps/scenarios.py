"""Recent expert choices of a group's requests, as load scenarios that a map is planned for."""

from __future__ import annotations

import math

import msgspec

from bronzerudder.expert_maps.api import RankCounts

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
