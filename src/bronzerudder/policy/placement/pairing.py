"""Swaps between heavy and light ranks, many pairs at once, for groups of many ranks."""

from __future__ import annotations

import numpy as np

from bronzerudder.policy.placement.layout import any_slot
from bronzerudder.policy.placement.moves import Scene

PAIRED_SHARE = 0.125
_IMPOSSIBLE = np.inf


def swap_in_pairs(scene: Scene, turn: int) -> tuple[np.ndarray, np.ndarray]:
    """Pair the heaviest ranks with the lightest and make each pair's best swap.

    A pair swaps when its heavier rank is among those that set the peak, and the swap lowers the
    larger load of the two.

    Parameters
    ----------
    scene : Scene
        The placement.
    turn : int
        Each turn pairs the heavy ranks with other light ones.

    Returns
    -------
    tuple
        The new placement, and the experts to load in each layer.
    """
    layers, ranks, width = scene.experts.shape
    pairs = max(1, int(ranks * PAIRED_SHARE))
    order = np.argsort(scene.rank_loads, axis=1)
    light = np.roll(order[:, : 2 * pairs], turn * pairs // 2, axis=1)[:, :pairs]
    heavy = order[:, ::-1][:, :pairs]
    peak = _peaks_of_swaps(scene, heavy, light).reshape(layers, pairs, width * width)
    best = peak.argmin(axis=2)
    lowest = np.take_along_axis(peak, best[:, :, None], axis=2)[:, :, 0]
    heavy_loads = np.take_along_axis(scene.rank_loads, heavy, axis=1)
    helps = (lowest < heavy_loads) & (heavy_loads > _level(scene.rank_loads))
    rows, columns = np.nonzero(helps)
    given = heavy[rows, columns] * width + best[rows, columns] // width
    taken = light[rows, columns] * width + best[rows, columns] % width
    flat = scene.experts.reshape(layers, -1).copy()
    flat[rows, given], flat[rows, taken] = flat[rows, taken], flat[rows, given]
    return flat.reshape(scene.experts.shape), 2 * helps.sum(axis=1)


def _level(loads: np.ndarray) -> np.ndarray:
    """Load halfway from the mean to the largest; only ranks above it are worth a swap yet."""
    return (loads.max(axis=1, keepdims=True) + loads.mean(axis=1, keepdims=True)) / 2


def _peaks_of_swaps(scene: Scene, heavy: np.ndarray, light: np.ndarray) -> np.ndarray:
    """Larger load of each pair after each swap of one slot against one slot."""
    rows = np.arange(heavy.shape[0])[:, None]
    heavy_experts = scene.experts[rows, heavy]
    light_experts = scene.experts[rows, light]
    given = scene.slot_loads[rows, heavy][..., :, None]
    taken = scene.slot_loads[rows, light][..., None, :]
    shift = given - taken
    heavy_load = scene.rank_loads[rows, heavy][..., None, None]
    light_load = scene.rank_loads[rows, light][..., None, None]
    peak = np.maximum(heavy_load - shift, light_load + shift)
    same = heavy_experts[..., :, None] == light_experts[..., None, :]
    repeated = any_slot(same)[..., :, None] | any_slot(same.swapaxes(-1, -2))[..., None, :]
    return np.where(repeated, _IMPOSSIBLE, peak)
