"""Arranges the slots of a map by rank, and computes rank loads and skew."""

from __future__ import annotations

import math
from typing import NamedTuple

import numpy as np

from bronzerudder.policy.placement.errors import PlacementError, PlacementErrorKind
from bronzerudder.policy.placement.expert_map import INDEX_DTYPE, ExpertMap, build_map


class RankLayout(NamedTuple):
    """A map's slots arranged by rank.

    Parameters
    ----------
    experts : numpy.ndarray
        Shape ``(layers, ranks, slots of a rank)``.
    slots : numpy.ndarray
        Shape ``(ranks, slots of a rank)``: the index of each slot in the map.
    """

    experts: np.ndarray
    slots: np.ndarray


def layout_of_map(expert_map: ExpertMap) -> RankLayout | PlacementError:
    """Arrange a map's slots by rank; ``SHAPE`` when ranks differ in their number of slots."""
    ranks = expert_map.rank_count
    per_rank = np.bincount(expert_map.slot_ranks, minlength=ranks)
    if per_rank.min() != per_rank.max():
        return PlacementError(PlacementErrorKind.SHAPE, "ranks differ in their number of slots")
    slots = np.argsort(expert_map.slot_ranks, kind="stable").reshape(ranks, per_rank[0])
    return RankLayout(expert_map.experts[:, slots].astype(np.intp), slots)


def build_next_map(
    active: ExpertMap, layout: RankLayout, experts: np.ndarray
) -> ExpertMap | PlacementError:
    """Build the map that follows ``active`` from experts arranged by rank."""
    flat = np.empty_like(active.experts)
    flat[:, layout.slots.ravel()] = experts.reshape(experts.shape[0], -1).astype(INDEX_DTYPE)
    return build_map(active.version + 1, active.expert_count, flat, active.slot_ranks)


def initial_map(
    ranks: int, slots_per_rank: int, experts: int, layers: int
) -> ExpertMap | PlacementError:
    """Build the first map of a group: experts in round-robin order, replicas as even as possible.

    Parameters
    ----------
    ranks, slots_per_rank, experts, layers : int
        Shape of the group; it needs at least as many slots as experts.
    """
    rank = np.arange(ranks)[:, None]
    column = np.arange(slots_per_rank)[None, :]
    columns_until_repeat = experts // math.gcd(ranks, experts)
    one_layer = (rank + column * ranks + column // columns_until_repeat) % experts
    table = np.broadcast_to(one_layer.ravel(), (layers, one_layer.size))
    return build_map(0, experts, table, np.arange(one_layer.size) // slots_per_rank)


def count_replicas(experts: np.ndarray, expert_count: int) -> np.ndarray:
    """Count the slots of each expert, in shape ``(layers, experts)``."""
    layers = experts.shape[0]
    offsets = np.arange(layers).reshape(layers, *([1] * (experts.ndim - 1))) * expert_count
    counts = np.bincount((experts + offsets).ravel(), minlength=layers * expert_count)
    return counts.reshape(layers, expert_count)


def rank_loads(experts: np.ndarray, popularity: np.ndarray) -> np.ndarray:
    """Compute each rank's load in each layer; replicas of an expert share its load evenly.

    Parameters
    ----------
    experts : numpy.ndarray
        Shape ``(layers, ranks, slots of a rank)``.
    popularity : numpy.ndarray
        Shape ``(layers, experts)``, in any unit.

    Returns
    -------
    numpy.ndarray
        Shape ``(layers, ranks)``, in the unit of ``popularity``.
    """
    shares = popularity / count_replicas(experts, popularity.shape[1])
    layers = experts.shape[0]
    flat = np.take_along_axis(shares, experts.reshape(layers, -1), axis=1)
    return sum_over_slots(flat.reshape(experts.shape))


def sum_over_slots(values: np.ndarray) -> np.ndarray:
    """Sum over the last axis; for few slots this is faster than a numpy reduction."""
    total = values[..., 0].copy()
    for slot in range(1, values.shape[-1]):
        total += values[..., slot]
    return total


def any_over_slots(marks: np.ndarray) -> np.ndarray:
    """Logical OR over the last axis; see `sum_over_slots`."""
    found = marks[..., 0].copy()
    for slot in range(1, marks.shape[-1]):
        found |= marks[..., slot]
    return found


def min_over_slots(values: np.ndarray) -> np.ndarray:
    """Minimum over the last axis; see `sum_over_slots`."""
    lowest = values[..., 0].copy()
    for slot in range(1, values.shape[-1]):
        np.minimum(lowest, values[..., slot], out=lowest)
    return lowest


def step_skew(loads: np.ndarray) -> float:
    """Ratio of a lock-step group's step time to that of a perfectly balanced one.

    All ranks wait for each other in every layer, so each layer takes as long as its peak load.

    Parameters
    ----------
    loads : numpy.ndarray
        Shape ``(layers, ranks)``.
    """
    mean_load = float(loads.mean(axis=1).sum())
    if mean_load <= 0:
        return 1.0
    return float(loads.max(axis=1).sum()) / mean_load


def slots_to_load(active: np.ndarray, proposed: np.ndarray) -> np.ndarray:
    """Mark the slots whose expert weights their rank has to load.

    A rank loads an expert once, and not if it already holds it in any slot of the layer.

    Parameters
    ----------
    active, proposed : numpy.ndarray
        Shape ``(layers, ranks, slots of a rank)``.

    Returns
    -------
    numpy.ndarray
        Booleans in the same shape.
    """
    needed = ~any_over_slots(proposed[..., :, None] == active[..., None, :])
    for slot in range(1, proposed.shape[2]):
        repeated = any_over_slots(proposed[..., :slot] == proposed[..., slot : slot + 1])
        needed[..., slot] &= ~repeated
    return needed


def keep_slots(active: np.ndarray, proposed: np.ndarray) -> np.ndarray:
    """Reorder the slots within each rank so that experts that stay on it keep their slots."""
    width = active.shape[2]
    result = np.full_like(proposed, -1)
    placed = np.zeros(proposed.shape, dtype=bool)
    for slot in range(width):
        for candidate in range(width):
            match = proposed[..., candidate] == active[..., slot]
            match &= ~placed[..., candidate] & (result[..., slot] < 0)
            result[..., slot] = np.where(match, proposed[..., candidate], result[..., slot])
            placed[..., candidate] |= match
    empty = np.argsort(result >= 0, axis=2, kind="stable")
    unplaced = np.argsort(placed, axis=2, kind="stable")
    ordered = np.take_along_axis(proposed, unplaced, axis=2)
    open_slots = np.take_along_axis(result, empty, axis=2)
    filled = np.where(open_slots < 0, ordered, open_slots)
    np.put_along_axis(result, empty, filled, axis=2)
    return result
