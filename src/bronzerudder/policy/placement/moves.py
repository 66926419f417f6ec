"""Single moves that relieve the most loaded rank of each layer, for all layers at once."""

from __future__ import annotations

from typing import NamedTuple

import numpy as np

from bronzerudder.policy.placement.layout import any_over_slots, count_replicas, sum_over_slots

CANDIDATE_RANKS = 24
_IMPOSSIBLE = np.inf


class PlacementState(NamedTuple):
    """A placement with its loads.

    Parameters
    ----------
    experts : numpy.ndarray
        Shape ``(layers, ranks, slots of a rank)``.
    replicas, shares : numpy.ndarray
        Shape ``(layers, experts)``: replicas of an expert, and the load of each of them.
    slot_loads : numpy.ndarray
        In the shape of ``experts``.
    rank_loads : numpy.ndarray
        Shape ``(layers, ranks)``.
    """

    experts: np.ndarray
    replicas: np.ndarray
    shares: np.ndarray
    slot_loads: np.ndarray
    rank_loads: np.ndarray


class _HottestRank(NamedTuple):
    """The most loaded rank of each layer, its experts, and the slots it may exchange with.

    ``held`` has shape ``(layers, experts of the rank, slots)``: whether the rank of a slot already
    holds the expert.
    """

    rank: np.ndarray
    load: np.ndarray
    experts: np.ndarray
    shares: np.ndarray
    slots: np.ndarray
    slot_experts: np.ndarray
    slot_loads: np.ndarray
    slot_rank_loads: np.ndarray
    held: np.ndarray


class _BestMove(NamedTuple):
    """The best move of one kind in each layer, and the peak that results from it.

    ``source`` is a slot of the most loaded rank, ``target`` an index into `_HottestRank.slots`.
    """

    peak: np.ndarray
    source: np.ndarray
    target: np.ndarray


def evaluate_placement(experts: np.ndarray, popularity: np.ndarray) -> PlacementState:
    """Compute the loads of a placement."""
    layers = experts.shape[0]
    replicas = count_replicas(experts, popularity.shape[1]).astype(popularity.dtype)
    shares = popularity / replicas
    first = np.arange(layers)[:, None, None] * popularity.shape[1]
    slot_loads = np.take(shares, experts + first, mode="clip")
    return PlacementState(experts, replicas, shares, slot_loads, sum_over_slots(slot_loads))


def move_once(
    state: PlacementState, non_improving_moves: np.ndarray
) -> tuple[np.ndarray, np.ndarray]:
    """Make the best move in each layer.

    A move either replaces a replicated expert on another rank by a replica of an expert of the
    most loaded rank (one load), or swaps an expert of the most loaded rank with a less loaded one
    of another rank (two loads). The move with the lowest resulting peak among the ranks involved
    is made. Where no move lowers the peak, an added replica may only pay off after the swaps that
    follow it: such a move, which does not improve the peak, is made while the layer may make one.

    Parameters
    ----------
    state : PlacementState
        The placement.
    non_improving_moves : numpy.ndarray
        Number of such moves that each layer may still make; updated in place.

    Returns
    -------
    tuple
        The new placement, and the number of experts to load in each layer: 0 without a move.
    """
    hottest = _find_hottest(state)
    replica_peaks = _replica_peaks(state, hottest)
    replicated = _pick_lowest(replica_peaks)
    non_improving_best = _best_non_improving(hottest, replica_peaks)
    swapped = _best_swap(hottest)
    replicate = (replicated.peak < hottest.load) & (replicated.peak <= swapped.peak)
    swap = (swapped.peak < hottest.load) & ~replicate
    non_improving = (
        (non_improving_moves > 0) & ~replicate & ~swap & np.isfinite(non_improving_best.peak)
    )
    non_improving_moves[non_improving] -= 1
    flat = state.experts.reshape(hottest.rank.size, -1).copy()
    _replicate(flat, hottest, replicated, replicate)
    _replicate(flat, hottest, non_improving_best, non_improving)
    rows = np.flatnonzero(swap)
    own = hottest.rank[rows] * state.experts.shape[2] + swapped.source[rows]
    other = hottest.slots[rows, swapped.target[rows]]
    flat[rows, own], flat[rows, other] = flat[rows, other], flat[rows, own]
    cost = (replicate | non_improving).astype(np.intp) + 2 * swap
    return flat.reshape(state.experts.shape), cost


def _replicate(
    flat: np.ndarray, hottest: _HottestRank, best: _BestMove, wanted: np.ndarray
) -> None:
    rows = np.flatnonzero(wanted)
    slots = hottest.slots[rows, best.target[rows]]
    flat[rows, slots] = hottest.experts[rows, best.source[rows]]


def _find_hottest(state: PlacementState) -> _HottestRank:
    layers, ranks, width = state.experts.shape
    rows = np.arange(layers)
    rank = state.rank_loads.argmax(axis=1)
    experts = state.experts[rows, rank]
    least_loaded = _least_loaded_ranks(state.rank_loads)
    slots = (least_loaded[:, :, None] * width + np.arange(width)).reshape(layers, -1)
    slot_experts = np.take_along_axis(state.experts.reshape(layers, -1), slots, axis=1)
    slot_loads = np.take_along_axis(state.slot_loads.reshape(layers, -1), slots, axis=1)
    loads = np.take_along_axis(state.rank_loads, least_loaded, axis=1)
    grouped = slot_experts.reshape(layers, 1, -1, width)
    held = any_over_slots(grouped == experts[:, :, None, None])
    return _HottestRank(
        rank,
        state.rank_loads[rows, rank],
        experts,
        np.take_along_axis(state.shares, experts, axis=1),
        slots,
        slot_experts,
        slot_loads,
        np.repeat(loads, width, axis=1),
        np.repeat(held, width, axis=2),
    )


def _least_loaded_ranks(loads: np.ndarray) -> np.ndarray:
    if loads.shape[1] <= CANDIDATE_RANKS:
        return np.broadcast_to(np.arange(loads.shape[1]), loads.shape)
    return np.argpartition(loads, CANDIDATE_RANKS, axis=1)[:, :CANDIDATE_RANKS]


def _replica_peaks(state: PlacementState, hottest: _HottestRank) -> np.ndarray:
    """Peak after placing a replica of each of the hottest rank's experts in each slot."""
    replicas = np.take_along_axis(state.replicas, hottest.experts, axis=1)
    reduced = hottest.shares * replicas / (replicas + 1)
    others = np.take_along_axis(_peak_after_removal(state), hottest.slot_experts, axis=1)
    remaining = hottest.slot_rank_loads - hottest.slot_loads
    peak = np.maximum(remaining[:, None, :] + reduced[:, :, None], others[:, None, :])
    own = hottest.load[:, None] - hottest.shares + reduced
    peak = np.maximum(peak, own[:, :, None])
    return np.where(hottest.held, _IMPOSSIBLE, peak)


def _best_non_improving(hottest: _HottestRank, replica_peaks: np.ndarray) -> _BestMove:
    """Pick the replica of the hottest rank's heaviest expert with the lowest resulting peak."""
    heaviest = hottest.shares == hottest.shares.max(axis=1, keepdims=True)
    return _pick_lowest(np.where(heaviest[:, :, None], replica_peaks, _IMPOSSIBLE))


def _peak_after_removal(state: PlacementState) -> np.ndarray:
    """Largest load among an expert's ranks after it loses one replica."""
    layers, _, width = state.experts.shape
    expert_count = state.shares.shape[1]
    peak = np.zeros(layers * expert_count, dtype=state.rank_loads.dtype)
    offsets = np.arange(layers)[:, None, None] * expert_count
    loads = np.repeat(state.rank_loads[:, :, None], width, axis=2)
    np.maximum.at(peak, (state.experts + offsets).ravel(), loads.ravel())
    rise = state.shares / np.maximum(state.replicas - 1, 1)
    peak = peak.reshape(layers, expert_count) + rise
    return np.where(state.replicas > 1, peak, _IMPOSSIBLE)


def _best_swap(hottest: _HottestRank) -> _BestMove:
    shift = hottest.shares[:, :, None] - hottest.slot_loads[:, None, :]
    peak = np.maximum(
        hottest.load[:, None, None] - shift, hottest.slot_rank_loads[:, None, :] + shift
    )
    on_hottest = any_over_slots(hottest.slot_experts[:, :, None] == hottest.experts[:, None, :])
    return _pick_lowest(np.where(hottest.held | on_hottest[:, None, :], _IMPOSSIBLE, peak))


def _pick_lowest(peak: np.ndarray) -> _BestMove:
    layers, _, slots = peak.shape
    flat = peak.reshape(layers, -1)
    best = flat.argmin(axis=1)
    return _BestMove(flat[np.arange(layers), best], best // slots, best % slots)
