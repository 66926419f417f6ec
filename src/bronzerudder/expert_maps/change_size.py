"""Decides how much of a better placement one change of map loads.

It answers demand that shifts about as fast as experts can be loaded. A change comes into force only
once its last expert is loaded, so a large one arrives when demand has moved on. Therefore the most
valuable loads go first: a change takes as many as shorten the steps most per second that it takes,
and further ones follow in the next change. Where loading is fast compared with the exchange of
orders, this is nearly the whole placement.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import numpy as np

from bronzerudder.expert_maps.api import Layout

EXPECTED_OVERHEAD_S = 0.5
"""Time of the orders of a change, expected before any was measured."""
MIN_OVERHEAD_S = 0.05
"""Lower bound, in case few measured changes fit a line with a negative overhead."""
EXPECTED_LOADS = 10
"""Size of the expected change, in experts of the busiest rank."""
EXPECTATION_WEIGHT = 0.01
"""Weight of the expectation, in measured changes. It decides while all changes were of one size."""
RECORD_DECAY = 0.8
"""Factor by which a measured change counts less after each later one."""
MAX_MEASURED = 50
"""Measured changes that are kept; older ones have no weight left."""


class LoadTimes:
    """Estimates how long a change takes: its orders, and the loads of the busiest rank.

    Fits a line to the measured changes.

    Parameters
    ----------
    expected_load_s : float
        Time to load one expert, expected before any was measured, in seconds.
    """

    def __init__(self, expected_load_s: float) -> None:
        weight = EXPECTATION_WEIGHT
        self._expected = [
            (weight, 0.0, EXPECTED_OVERHEAD_S),
            (weight, EXPECTED_LOADS, EXPECTED_OVERHEAD_S + EXPECTED_LOADS * expected_load_s),
        ]
        self._measured: list[tuple[float, float, float]] = []
        self._overhead_s = EXPECTED_OVERHEAD_S
        self._load_s = expected_load_s

    @property
    def load_s(self) -> float:
        """Time to load one expert, in seconds."""
        return self._load_s

    def duration_s(self, loads: int) -> float:
        """Return the time of a change whose busiest rank loads this number of experts."""
        return self._overhead_s + loads * self._load_s

    def record(self, loads: int, took_s: float) -> None:
        """Record a change whose busiest rank loaded this number of experts."""
        decayed = [(weight * RECORD_DECAY, *rest) for weight, *rest in self._measured]
        self._measured = [*decayed, (1.0, float(loads), took_s)][-MAX_MEASURED:]
        points = np.array([*self._expected, *self._measured])
        weights, numbers, times_s = points.T
        mean_number = np.average(numbers, weights=weights)
        mean_s = np.average(times_s, weights=weights)
        deviations = numbers - mean_number
        variance = (weights * deviations**2).sum()
        slope_s = (weights * deviations * (times_s - mean_s)).sum() / variance
        self._load_s = max(0.0, float(slope_s))
        self._overhead_s = max(MIN_OVERHEAD_S, float(mean_s - self._load_s * mean_number))


class SetImprovement(NamedTuple):
    """A better placement of one set.

    Parameters
    ----------
    index : int
        Of the set.
    placement : list
        Experts by rank.
    saved : float
        Decrease of the largest rank's load, summed over scenarios.
    loads : numpy.ndarray
        Experts that each rank must load.
    """

    index: int
    placement: list[list[int]]
    saved: float
    loads: np.ndarray


class SizedChange(NamedTuple):
    """A part of the improvements that are made together.

    Parameters
    ----------
    layout : list
        Experts by set and rank.
    rate : float
        Decrease of the largest loads per second that the change takes.
    loads : int
        Experts that the busiest rank must load.
    """

    layout: Layout
    rate: float
    loads: int


def choose_sets(
    layout: Layout, improvements: Sequence[SetImprovement], times: LoadTimes
) -> SizedChange | None:
    """Choose the sets whose improvements save most per second; None if no set gains."""
    gaining = [item for item in improvements if item.saved > 0.0]
    gaining.sort(key=lambda item: item.saved / max(1, item.loads.max()), reverse=True)
    best: SizedChange | None = None
    chosen = [*layout]
    saved = 0.0
    loads = np.zeros(len(layout[0]), dtype=int)
    for item in gaining:
        chosen[item.index] = item.placement
        saved += item.saved
        loads = loads + item.loads
        busiest = int(loads.max())
        rate = saved / times.duration_s(busiest)
        if best is None or rate > best.rate:
            best = SizedChange([*chosen], rate, busiest)
    return best
