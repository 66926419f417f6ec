"""Adjusts replica counts to popularity, for groups with far more slots than experts."""

from __future__ import annotations

import numpy as np

from bronzerudder.policy.placement.layout import any_over_slots, min_over_slots
from bronzerudder.policy.placement.moves import PlacementState

DONOR_RANK_FRACTION = 0.25
MIN_DONOR_RANKS = 24
_IMPOSSIBLE = np.inf


def convert_slots(
    state: PlacementState, popularity: np.ndarray, conversions: int
) -> tuple[np.ndarray, np.ndarray]:
    """Convert slots into replicas of the expert with the highest load per replica in each layer.

    An expert gives up a slot only if the load of each remaining replica stays below that of the
    hottest expert's replicas now. Of these slots the one whose conversion results in the lowest
    rank loads is chosen. Only the `DONOR_RANK_FRACTION` of ranks most likely to have such a slot
    are searched. Layers without such a slot do not change.

    Returns
    -------
    tuple
        The new placement, and the number of experts to load in each layer.
    """
    layers, ranks, width = state.experts.shape
    rows = np.arange(layers)
    first = rows * popularity.shape[1]
    donors = _likely_donors(state)
    loads = np.take_along_axis(state.rank_loads, donors, axis=1)
    # Expert indices that are unique across layers make the lookups below simple and fast.
    indices = state.experts[rows[:, None], donors] + first[:, None, None]
    replicas = state.replicas.copy()
    cost = np.zeros(layers, dtype=np.intp)
    for _ in range(conversions):
        shares = popularity / replicas
        hot_expert = shares.argmax(axis=1)
        gained = popularity[rows, hot_expert] / (replicas[rows, hot_expert] + 1)
        costs = _donor_costs(popularity, replicas, shares, gained)
        holds_hot_expert = any_over_slots(indices == (first + hot_expert)[:, None, None])
        rank_costs = np.where(holds_hot_expert, _IMPOSSIBLE, loads)
        scores = np.take(costs, indices, mode="clip")
        scores += rank_costs[:, :, None]
        scores = scores.reshape(layers, -1)
        slot = scores.argmin(axis=1)
        chosen = rows[np.isfinite(scores[rows, slot])]
        if not chosen.size:
            break
        hot_expert, rank, column = hot_expert[chosen], slot[chosen] // width, slot[chosen] % width
        donor_expert = indices[chosen, rank, column] - first[chosen]
        indices[chosen, rank, column] = first[chosen] + hot_expert
        replicas[chosen, hot_expert] += 1
        replicas[chosen, donor_expert] -= 1
        loads[chosen, rank] += gained[chosen] - shares[chosen, donor_expert]
        cost[chosen] += 1
    experts = state.experts.copy()
    experts[rows[:, None], donors] = indices - first[:, None, None]
    return experts, cost


def _likely_donors(state: PlacementState) -> np.ndarray:
    """Pick lightly loaded ranks that hold an expert which can spare a replica."""
    layers, ranks, _ = state.experts.shape
    count = max(int(ranks * DONOR_RANK_FRACTION), min(MIN_DONOR_RANKS, ranks))
    if count == ranks:
        return np.broadcast_to(np.arange(ranks), (layers, ranks))
    first = np.arange(layers)[:, None, None] * state.replicas.shape[1]
    rises = state.shares / np.maximum(state.replicas - 1, 1)
    rises = np.where(state.replicas > 1, rises, _IMPOSSIBLE)
    keys = state.rank_loads + min_over_slots(np.take(rises, state.experts + first, mode="clip"))
    return np.argpartition(keys, count, axis=1)[:, :count]


def _donor_costs(
    popularity: np.ndarray, replicas: np.ndarray, shares: np.ndarray, gained: np.ndarray
) -> np.ndarray:
    """Cost of taking a replica from each expert; infinite for experts that must not lose one.

    It is the load change of the converted slot's rank plus the rise at ranks with other replicas.
    """
    with np.errstate(divide="ignore"):
        reduced = popularity / (replicas - 1)
    hottest = shares.max(axis=1, keepdims=True)
    return np.where(reduced < hottest, gained[:, None] + reduced - 2 * shares, _IMPOSSIBLE)
