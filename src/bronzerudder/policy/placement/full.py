"""Recomputes the whole placement in each interval."""

from __future__ import annotations

import numpy as np

from bronzerudder.policy.placement.api import (
    LoadAllowance,
    NoChange,
    NoChangeKind,
    PlacementParameters,
    PlacementPolicy,
    Proposal,
)
from bronzerudder.policy.placement.errors import PlacementError
from bronzerudder.policy.placement.expert_map import ExpertMap
from bronzerudder.policy.placement.layout import (
    build_next_map,
    keep_slots,
    layout_of_map,
    rank_loads,
    slots_to_load,
)


class FullPlacement(PlacementPolicy):
    """Greedy placement from scratch: replicas for the hottest experts, packed largest first.

    It ignores the cost of moving experts and the allowance, so it serves as the baseline for skew.
    An expert that stays on its rank keeps its slot.
    """

    def __init__(self, parameters: PlacementParameters) -> None:
        self._parameters = parameters

    def decide(
        self, active: ExpertMap, popularity: np.ndarray, allowance: LoadAllowance
    ) -> Proposal | NoChange:
        """Propose a placement computed independently of the active one."""
        layout = layout_of_map(active)
        if isinstance(layout, PlacementError):
            return NoChange(NoChangeKind.SHAPE, layout.reason)
        _, ranks, width = layout.experts.shape
        replicas = apportion_replicas(popularity, ranks * width, ranks)
        placed = pack_replicas(popularity, replicas, ranks, width)
        experts = keep_slots(layout.experts, placed)
        count = int(slots_to_load(layout.experts, experts).sum())
        if not count:
            return NoChange(NoChangeKind.BALANCED, "the placement would not change")
        before = rank_loads(layout.experts, popularity)
        after = rank_loads(experts, popularity)
        gain = (before.max(axis=1) - after.max(axis=1)).sum() / before.mean(axis=1).sum()
        proposed = build_next_map(active, layout, experts)
        if isinstance(proposed, PlacementError):
            return NoChange(NoChangeKind.SHAPE, proposed.reason)
        return Proposal(proposed, count, count * self._parameters.expert_bytes, float(gain))


def apportion_replicas(popularity: np.ndarray, slots: int, max_replicas: int) -> np.ndarray:
    """Give each expert one slot, then each further slot to the expert of the most loaded replica.

    Parameters
    ----------
    popularity : numpy.ndarray
        Shape ``(layers, experts)``.
    slots : int
        Slots in each layer.
    max_replicas : int
        Largest useful number of replicas, one per rank; exceeded only to fill remaining slots.

    Returns
    -------
    numpy.ndarray
        Number of replicas of each expert, in the shape of ``popularity``.
    """
    layers, experts = popularity.shape
    replicas = np.ones((layers, experts), dtype=np.intp)
    shares = popularity.astype(np.float64)
    rows = np.arange(layers)
    for _ in range(slots - experts):
        hottest = shares.argmax(axis=1)
        replicas[rows, hottest] += 1
        count = replicas[rows, hottest]
        # Negative shares: experts at the limit get the remaining slots last, and evenly.
        shares[rows, hottest] = np.where(
            count < max_replicas, popularity[rows, hottest] / count, -count
        )
    return replicas


def pack_replicas(
    popularity: np.ndarray, replicas: np.ndarray, ranks: int, width: int
) -> np.ndarray:
    """Place replicas, largest first, each on the least loaded rank without its expert.

    Returns
    -------
    numpy.ndarray
        Experts in shape ``(layers, ranks, width)``.
    """
    layers, expert_count = popularity.shape
    shares = popularity / replicas
    order = np.argsort(-shares, axis=1, kind="stable")
    ordered_counts = np.take_along_axis(replicas, order, axis=1)
    sequence = np.repeat(order.ravel(), ordered_counts.ravel()).reshape(layers, ranks * width)
    sizes = np.take_along_axis(shares, sequence, axis=1)
    result = np.zeros((layers, ranks, width), dtype=np.intp)
    used = np.zeros((layers, ranks), dtype=np.intp)
    loads = np.zeros((layers, ranks))
    penalties = np.zeros((layers, expert_count, ranks))
    rows = np.arange(layers)
    for position in range(ranks * width):
        expert = sequence[:, position]
        rank = (loads + penalties[rows, expert]).argmin(axis=1)
        slot = used[rows, rank]
        result[rows, rank, slot] = expert
        used[rows, rank] = slot + 1
        loads[rows, rank] += sizes[:, position]
        penalties[rows, expert, rank] = _DUPLICATE_PENALTY
        loads[rows[slot + 1 == width], rank[slot + 1 == width]] = np.inf
    return result


_DUPLICATE_PENALTY = 1e12
