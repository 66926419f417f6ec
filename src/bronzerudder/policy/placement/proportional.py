"""Brings replica counts towards popularity, for groups with far more slots than experts."""

from __future__ import annotations

import numpy as np

from bronzerudder.policy.placement.layout import any_slot, least_slot
from bronzerudder.policy.placement.moves import Scene

DONOR_SHARE = 0.25
LEAST_DONORS = 24
_IMPOSSIBLE = np.inf


def convert_slots(
    scene: Scene, popularity: np.ndarray, conversions: int
) -> tuple[np.ndarray, np.ndarray]:
    """Turn slots of other experts into replicas of each layer's expert with the most loaded ones.

    An expert gives up a slot only if its remaining replicas then carry less than those of the most
    loaded one do now; among such slots the one that leaves the lightest ranks is taken. Only the
    likeliest `DONOR_SHARE` of the ranks are looked at. A layer is left alone once it has none.

    Returns
    -------
    tuple
        The new placement, and the experts to load in each layer.
    """
    layers, ranks, width = scene.experts.shape
    rows = np.arange(layers)
    first = rows * popularity.shape[1]
    donors = _likely_donors(scene)
    loads = np.take_along_axis(scene.rank_loads, donors, axis=1)
    # One index over all layers makes the gather and the comparison below plain and fast.
    indices = scene.experts[rows[:, None], donors] + first[:, None, None]
    replicas = scene.replicas.copy()
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
    experts = scene.experts.copy()
    experts[rows[:, None], donors] = indices - first[:, None, None]
    return experts, cost


def _likely_donors(scene: Scene) -> np.ndarray:
    """Pick ranks that are light and hold an expert that can spare a replica."""
    layers, ranks, _ = scene.experts.shape
    count = max(int(ranks * DONOR_SHARE), min(LEAST_DONORS, ranks))
    if count == ranks:
        return np.broadcast_to(np.arange(ranks), (layers, ranks))
    first = np.arange(layers)[:, None, None] * scene.replicas.shape[1]
    rises = scene.shares / np.maximum(scene.replicas - 1, 1)
    rises = np.where(scene.replicas > 1, rises, _IMPOSSIBLE)
    keys = scene.rank_loads + least_slot(np.take(rises, scene.experts + first, mode="clip"))
    return np.argpartition(keys, count, axis=1)[:, :count]


def _donor_costs(
    popularity: np.ndarray, replicas: np.ndarray, shares: np.ndarray, gained: np.ndarray
) -> np.ndarray:
    """Cost of taking a replica from each expert; infinite for experts that must not lose one.

    It is the change of load of the rank that gives it up, and the rise at those that hold others.
    """
    with np.errstate(divide="ignore"):
        reduced = popularity / (replicas - 1)
    hottest = shares.max(axis=1, keepdims=True)
    return np.where(reduced < hottest, gained[:, None] + reduced - 2 * shares, _IMPOSSIBLE)
