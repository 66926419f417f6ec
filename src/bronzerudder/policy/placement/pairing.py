"""Swaps experts between heavy and light ranks, many pairs at once, for large groups."""

from __future__ import annotations

import numpy as np

from bronzerudder.policy.placement.layout import any_over_slots
from bronzerudder.policy.placement.moves import PlacementState

PAIRED_RANK_FRACTION = 0.125
_IMPOSSIBLE = np.inf


def swap_in_pairs(state: PlacementState, rotation: int) -> tuple[np.ndarray, np.ndarray]:
    """Pair the heaviest ranks with the lightest and make each pair's best swap.

    A pair swaps when its heavier rank is above the swap threshold and the swap lowers the larger
    load of the two.

    Parameters
    ----------
    state : PlacementState
        The placement.
    rotation : int
        Index of the round; each round pairs the heavy ranks with other light ones.

    Returns
    -------
    tuple
        The new placement, and the number of experts to load in each layer.
    """
    layers, ranks, width = state.experts.shape
    pairs = max(1, int(ranks * PAIRED_RANK_FRACTION))
    order = np.argsort(state.rank_loads, axis=1)
    light = np.roll(order[:, : 2 * pairs], rotation * pairs // 2, axis=1)[:, :pairs]
    heavy = order[:, ::-1][:, :pairs]
    peak = _peaks_of_swaps(state, heavy, light).reshape(layers, pairs, width * width)
    best = peak.argmin(axis=2)
    lowest = np.take_along_axis(peak, best[:, :, None], axis=2)[:, :, 0]
    heavy_loads = np.take_along_axis(state.rank_loads, heavy, axis=1)
    improves = (lowest < heavy_loads) & (heavy_loads > _swap_threshold(state.rank_loads))
    rows, columns = np.nonzero(improves)
    given = heavy[rows, columns] * width + best[rows, columns] // width
    taken = light[rows, columns] * width + best[rows, columns] % width
    flat = state.experts.reshape(layers, -1).copy()
    flat[rows, given], flat[rows, taken] = flat[rows, taken], flat[rows, given]
    return flat.reshape(state.experts.shape), 2 * improves.sum(axis=1)


def _swap_threshold(loads: np.ndarray) -> np.ndarray:
    """Midpoint of the mean and the peak load; only ranks above it swap."""
    return (loads.max(axis=1, keepdims=True) + loads.mean(axis=1, keepdims=True)) / 2


def _peaks_of_swaps(state: PlacementState, heavy: np.ndarray, light: np.ndarray) -> np.ndarray:
    """Larger load of each pair after each swap of one slot against one slot."""
    rows = np.arange(heavy.shape[0])[:, None]
    heavy_experts = state.experts[rows, heavy]
    light_experts = state.experts[rows, light]
    given = state.slot_loads[rows, heavy][..., :, None]
    taken = state.slot_loads[rows, light][..., None, :]
    shift = given - taken
    heavy_load = state.rank_loads[rows, heavy][..., None, None]
    light_load = state.rank_loads[rows, light][..., None, None]
    peak = np.maximum(heavy_load - shift, light_load + shift)
    same = heavy_experts[..., :, None] == light_experts[..., None, :]
    repeated = (
        any_over_slots(same)[..., :, None] | any_over_slots(same.swapaxes(-1, -2))[..., None, :]
    )
    return np.where(repeated, _IMPOSSIBLE, peak)
