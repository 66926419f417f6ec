"""Brings replica counts towards popularity, for groups with far more slots than experts."""

from __future__ import annotations

import numpy as np

from bronzerudder.policy.placement.layout import any_slot
from bronzerudder.policy.placement.moves import Scene

_IMPOSSIBLE = np.inf


def convert_slots(
    scene: Scene, popularity: np.ndarray, conversions: int
) -> tuple[np.ndarray, np.ndarray]:
    """Turn slots of other experts into replicas of each layer's expert with the most loaded ones.

    An expert gives up a slot only if its remaining replicas then carry no more than those of the
    expert that gains; among such slots the one that leaves the lightest rank is taken. A layer is
    left alone once it has none.

    Returns
    -------
    tuple
        The new placement, and the experts to load in each layer.
    """
    layers, ranks, width = scene.experts.shape
    expert_count = popularity.shape[1]
    rows = np.arange(layers)
    first = rows * expert_count
    # One index over all layers makes the gather and the comparison below plain and fast.
    indices = scene.experts + first[:, None, None]
    replicas = scene.replicas.copy()
    loads = scene.rank_loads.copy()
    cost = np.zeros(layers, dtype=np.intp)
    for _ in range(conversions):
        shares = popularity / replicas
        hot = shares.argmax(axis=1)
        gained = popularity[rows, hot] / (replicas[rows, hot] + 1)
        costs = _donor_costs(popularity, replicas, shares, gained)
        holds_hot = any_slot(indices == (first + hot)[:, None, None])
        rank_costs = np.where(holds_hot, _IMPOSSIBLE, loads)
        scores = np.take(costs, indices, mode="clip")
        scores += rank_costs[:, :, None]
        scores = scores.reshape(layers, -1)
        slot = scores.argmin(axis=1)
        chosen = rows[np.isfinite(scores[rows, slot])]
        if not chosen.size:
            break
        hot, rank, place = hot[chosen], slot[chosen] // width, slot[chosen] % width
        cold = indices[chosen, rank, place] - first[chosen]
        indices[chosen, rank, place] = first[chosen] + hot
        replicas[chosen, hot] += 1
        replicas[chosen, cold] -= 1
        loads[chosen, rank] += gained[chosen] - shares[chosen, cold]
        cost[chosen] += 1
    return indices - first[:, None, None], cost


def _donor_costs(
    popularity: np.ndarray, replicas: np.ndarray, shares: np.ndarray, gained: np.ndarray
) -> np.ndarray:
    """Change of a rank's load when it gives up an expert; infinite for experts that must not."""
    with np.errstate(divide="ignore"):
        reduced = popularity / (replicas - 1)
    return np.where(reduced <= gained[:, None], gained[:, None] - shares, _IMPOSSIBLE)
