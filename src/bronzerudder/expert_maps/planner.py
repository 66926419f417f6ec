"""Plans the next map from the recent expert choices of requests."""

from __future__ import annotations

import functools
import time
from typing import NamedTuple

import anyio.to_thread
import numpy as np

from bronzerudder.expert_maps.api import Layout
from bronzerudder.expert_maps.change_size import (
    LoadTimes,
    SetImprovement,
    SizedChange,
    choose_sets,
)
from bronzerudder.expert_maps.scenarios import LEVEL_BITS, MAX_LEVEL, Scenario
from bronzerudder.expert_maps.search import LayoutSearch
from bronzerudder.expert_maps.shape import MapBounds
from bronzerudder.expert_maps.step_loads import layout_skew, rank_loads

MIN_SLOWDOWN = 0.1
"""Lower bound, in case a rank reports zero or a negative value."""


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


async def plan_layout(
    layout: Layout,
    scenarios: np.ndarray,
    slowdowns: np.ndarray,
    bounds: MapBounds,
    times: LoadTimes,
) -> PlannedLayout:
    """Plan the change that shortens the steps most per second that it takes.

    The search runs in a worker thread, so that agents' reports are answered meanwhile.

    Parameters
    ----------
    scenarios : numpy.ndarray
        Shape ``(sets, scenarios, experts)``: load of each expert.
    slowdowns : numpy.ndarray
        Shape ``(ranks,)``: time that a rank takes for a load of one.
    times : LoadTimes
        How long changes take.
    """
    plan = functools.partial(_plan_layout, layout, scenarios, slowdowns, bounds, times)
    return await anyio.to_thread.run_sync(plan)


def _plan_layout(
    layout: Layout,
    scenarios: np.ndarray,
    slowdowns: np.ndarray,
    bounds: MapBounds,
    times: LoadTimes,
) -> PlannedLayout:
    started_s = time.thread_time()
    search = LayoutSearch(layout, scenarios, slowdowns, bounds.slots_per_rank)
    largest_before = _largest_loads(layout, scenarios, slowdowns)
    best: SizedChange | None = None
    loads_per_change = 1
    while loads_per_change <= bounds.loads_per_change:
        search.improve(loads_per_change)
        found = search.layout()
        saved = largest_before - _largest_loads(found, scenarios, slowdowns)
        improvements = [
            SetImprovement(index, placement, float(saved[index]), loads)
            for index, (placement, loads) in enumerate(zip(found, search.loads(), strict=True))
        ]
        sized = choose_sets(layout, improvements, times)
        if sized is None or (best is not None and sized.rate <= best.rate):
            break
        best = sized
        loads_per_change *= 2
    skew = layout_skew(layout, scenarios, slowdowns)
    skew_after, loads = skew, 0
    if best is not None:
        layout, loads = best.layout, best.loads
        skew_after = layout_skew(layout, scenarios, slowdowns)
    return PlannedLayout(layout, skew, skew_after, loads, time.thread_time() - started_s)


def _largest_loads(layout: Layout, scenarios: np.ndarray, slowdowns: np.ndarray) -> np.ndarray:
    """Return the load of the most loaded rank by set, summed over scenarios."""
    return rank_loads(layout, scenarios, slowdowns).max(axis=2).sum(axis=1)
