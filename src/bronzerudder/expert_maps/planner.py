"""Plans the next map from the recent expert choices of requests."""

from __future__ import annotations

import functools
import time
from collections.abc import Callable
from typing import NamedTuple, TypeVar

import anyio.lowlevel
import anyio.to_thread
import numpy as np

from bronzerudder.expert_maps.api import Layout
from bronzerudder.expert_maps.change_size import (
    LoadTimes,
    SetImprovement,
    SizedChange,
    choose_sets,
    count_loads,
)
from bronzerudder.expert_maps.scenarios import LEVEL_BITS, MAX_LEVEL, Scenario
from bronzerudder.expert_maps.search import StepLoads, improve_set, measure
from bronzerudder.expert_maps.shape import MapBounds

MIN_SLOWDOWN = 0.1
"""Lower bound, in case a rank reports zero or a negative value."""

_Result = TypeVar("_Result")


class PlannedLayout(NamedTuple):
    """A layout, and what it changes.

    Parameters
    ----------
    layout : list
        Experts by set and rank.
    skew, skew_after : float
        Largest over mean load of a step, before and after.
    loads : int
        Experts that the busiest rank must load.
    cpu_s : float
        Processor time of the search, in seconds.
    """

    layout: Layout
    skew: float
    skew_after: float
    loads: int
    cpu_s: float = 0.0


def slice_loads(slices: list[list[Scenario]], sets: int) -> np.ndarray:
    """Return the load of each expert in shape ``(sets, slices, experts)``."""
    rows = [np.sum([_unpack(scenario) for scenario in held], axis=0) for held in slices]
    table = np.stack(rows)
    size = table.shape[1] // sets * sets
    return table[:, :size].reshape(len(rows), sets, -1).transpose(1, 0, 2)


def _unpack(scenario: Scenario) -> np.ndarray:
    """Return the number of choices of each expert, as approximated by its level."""
    packed = np.frombuffer(scenario.levels, dtype=np.uint8)
    levels = np.empty(2 * len(packed))
    levels[::2] = packed >> LEVEL_BITS
    levels[1::2] = packed & MAX_LEVEL
    squared = levels * levels
    return squared * (scenario.weight / squared.sum())


def relative_slowdowns(slowdowns: list[float]) -> np.ndarray:
    """Return the time that each rank takes per unit of load, relative to the fastest rank."""
    table = np.asarray(slowdowns, dtype=np.float64)
    return table / max(table.min(), MIN_SLOWDOWN)


def layout_skew(layout: Layout, scenarios: np.ndarray, slowdowns: np.ndarray) -> float:
    """Largest over mean load of a step, over all sets and scenarios."""
    pairs = zip(layout, scenarios, strict=True)
    return _skew([measure(held, loads, slowdowns) for held, loads in pairs])


async def plan_layout(
    layout: Layout,
    scenarios: np.ndarray,
    slowdowns: np.ndarray,
    bounds: MapBounds,
    times: LoadTimes,
) -> PlannedLayout:
    """Plan the change that shortens the steps most per second that it takes.

    Sets are improved in a worker thread, so that agents' reports are answered meanwhile.

    Parameters
    ----------
    scenarios : numpy.ndarray
        Shape ``(sets, scenarios, experts)``: load of each expert.
    slowdowns : numpy.ndarray
        Shape ``(ranks,)``: time that a rank takes for a load of one.
    times : LoadTimes
        How long changes take.
    """
    best: SizedChange | None = None
    cpu_s = 0.0
    loads_per_change = 1
    while loads_per_change <= bounds.loads_per_change:
        sized_bounds = bounds._replace(loads_per_change=loads_per_change)
        improvements = []
        for index, held in enumerate(layout):
            improve = functools.partial(
                _improve, index, held, scenarios[index], slowdowns, sized_bounds
            )
            improvement, improve_cpu_s = await anyio.to_thread.run_sync(_timed(improve))
            improvements.append(improvement)
            cpu_s += improve_cpu_s
        sized = choose_sets(layout, improvements, times)
        if sized is None or (best is not None and sized.rate <= best.rate):
            break
        best = sized
        loads_per_change *= 2
    skew = layout_skew(layout, scenarios, slowdowns)
    if best is None:
        return PlannedLayout(layout, skew, skew, 0, cpu_s)
    skew_after = layout_skew(best.layout, scenarios, slowdowns)
    return PlannedLayout(best.layout, skew, skew_after, best.loads, cpu_s)


def _timed(function: Callable[[], _Result]) -> Callable[[], tuple[_Result, float]]:
    """Return a function that also returns the processor time that it takes, in seconds."""

    def run() -> tuple[_Result, float]:
        started_s = time.thread_time()
        result = function()
        return result, time.thread_time() - started_s

    return run


def _improve(
    index: int,
    held: list[list[int]],
    scenarios: np.ndarray,
    slowdowns: np.ndarray,
    bounds: MapBounds,
) -> SetImprovement:
    placement = improve_set(held, scenarios, slowdowns, bounds)
    before = measure(held, scenarios, slowdowns).largest
    after = measure(placement, scenarios, slowdowns).largest
    return SetImprovement(index, placement, before - after, count_loads(held, placement))


def _skew(loads: list[StepLoads]) -> float:
    mean = sum(load.mean for load in loads)
    return sum(load.largest for load in loads) / mean if mean > 0 else 1.0
