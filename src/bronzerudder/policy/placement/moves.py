"""Single moves against the largest rank of each layer, tried for all layers at once."""

from __future__ import annotations

from typing import NamedTuple

import numpy as np

from bronzerudder.policy.placement.layout import any_slot, count_replicas, sum_slots

CANDIDATE_RANKS = 24
_IMPOSSIBLE = np.inf


class Scene(NamedTuple):
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


class _Hot(NamedTuple):
    """The largest rank of each layer, its experts, and the slots that may trade with it."""

    rank: np.ndarray
    load: np.ndarray
    experts: np.ndarray
    shares: np.ndarray
    slots: np.ndarray
    slot_experts: np.ndarray
    slot_loads: np.ndarray
    slot_rank_loads: np.ndarray
    held: np.ndarray


class _Best(NamedTuple):
    """The best move of one sort in each layer: the peak it leaves, and what it touches."""

    peak: np.ndarray
    source: np.ndarray
    target: np.ndarray


def look_at(experts: np.ndarray, popularity: np.ndarray) -> Scene:
    """Work out the loads of a placement."""
    layers = experts.shape[0]
    replicas = count_replicas(experts, popularity.shape[1]).astype(popularity.dtype)
    shares = popularity / replicas
    first = np.arange(layers)[:, None, None] * popularity.shape[1]
    slot_loads = np.take(shares, experts + first, mode="clip")
    return Scene(experts, replicas, shares, slot_loads, sum_slots(slot_loads))


def move_once(scene: Scene, detours: np.ndarray) -> tuple[np.ndarray, np.ndarray]:
    """Make the best move in each layer.

    A move either turns a slot elsewhere, whose expert has another replica, into a further replica
    of one of the largest rank's experts (one load), or swaps an expert of the largest rank with a
    lighter one elsewhere (two loads). The one that leaves the lower peak among the ranks it
    touches is taken. Where no move lowers the peak, a further replica may have to come first and
    the swaps that make room for it afterwards: such a detour is made while the layer has any left.

    Parameters
    ----------
    scene : Scene
        The placement.
    detours : numpy.ndarray
        Detours left to each layer; updated in place.

    Returns
    -------
    tuple
        The new placement, and the experts to load in each layer: 0 where no move helps.
    """
    hot = _find_hot(scene)
    replica_peaks = _replica_peaks(scene, hot)
    replicated = _pick(replica_peaks)
    detoured = _best_detour(hot, replica_peaks)
    swapped = _best_swap(hot)
    replicate = (replicated.peak < hot.load) & (replicated.peak <= swapped.peak)
    swap = (swapped.peak < hot.load) & ~replicate
    detour = (detours > 0) & ~replicate & ~swap & np.isfinite(detoured.peak)
    detours[detour] -= 1
    flat = scene.experts.reshape(hot.rank.size, -1).copy()
    _replicate(flat, hot, replicated, replicate)
    _replicate(flat, hot, detoured, detour)
    rows = np.flatnonzero(swap)
    own = hot.rank[rows] * scene.experts.shape[2] + swapped.source[rows]
    other = hot.slots[rows, swapped.target[rows]]
    flat[rows, own], flat[rows, other] = flat[rows, other], flat[rows, own]
    cost = (replicate | detour).astype(np.intp) + 2 * swap
    return flat.reshape(scene.experts.shape), cost


def _replicate(flat: np.ndarray, hot: _Hot, best: _Best, wanted: np.ndarray) -> None:
    rows = np.flatnonzero(wanted)
    slots = hot.slots[rows, best.target[rows]]
    flat[rows, slots] = hot.experts[rows, best.source[rows]]


def _find_hot(scene: Scene) -> _Hot:
    layers, ranks, width = scene.experts.shape
    rows = np.arange(layers)
    rank = scene.rank_loads.argmax(axis=1)
    experts = scene.experts[rows, rank]
    lightest = _lightest_ranks(scene.rank_loads)
    slots = (lightest[:, :, None] * width + np.arange(width)).reshape(layers, -1)
    slot_experts = np.take_along_axis(scene.experts.reshape(layers, -1), slots, axis=1)
    slot_loads = np.take_along_axis(scene.slot_loads.reshape(layers, -1), slots, axis=1)
    loads = np.take_along_axis(scene.rank_loads, lightest, axis=1)
    grouped = slot_experts.reshape(layers, 1, -1, width)
    held = any_slot(grouped == experts[:, :, None, None])
    return _Hot(
        rank,
        scene.rank_loads[rows, rank],
        experts,
        np.take_along_axis(scene.shares, experts, axis=1),
        slots,
        slot_experts,
        slot_loads,
        np.repeat(loads, width, axis=1),
        np.repeat(held, width, axis=2),
    )


def _lightest_ranks(loads: np.ndarray) -> np.ndarray:
    if loads.shape[1] <= CANDIDATE_RANKS:
        return np.broadcast_to(np.arange(loads.shape[1]), loads.shape)
    return np.argpartition(loads, CANDIDATE_RANKS, axis=1)[:, :CANDIDATE_RANKS]


def _replica_peaks(scene: Scene, hot: _Hot) -> np.ndarray:
    """Peak that each replica of each of the largest rank's experts in each slot would leave."""
    replicas = np.take_along_axis(scene.replicas, hot.experts, axis=1)
    lower = hot.shares * replicas / (replicas + 1)
    others = np.take_along_axis(_peak_after_removal(scene), hot.slot_experts, axis=1)
    left = hot.slot_rank_loads - hot.slot_loads
    peak = np.maximum(left[:, None, :] + lower[:, :, None], others[:, None, :])
    own = hot.load[:, None] - hot.shares + lower
    peak = np.maximum(peak, own[:, :, None])
    return np.where(hot.held, _IMPOSSIBLE, peak)


def _best_detour(hot: _Hot, replica_peaks: np.ndarray) -> _Best:
    """Pick the replica of the largest rank's heaviest expert that leaves the lowest peak."""
    heaviest = hot.shares == hot.shares.max(axis=1, keepdims=True)
    return _pick(np.where(heaviest[:, :, None], replica_peaks, _IMPOSSIBLE))


def _peak_after_removal(scene: Scene) -> np.ndarray:
    """Largest load among an expert's ranks when it loses one replica."""
    layers, _, width = scene.experts.shape
    expert_count = scene.shares.shape[1]
    peak = np.zeros(layers * expert_count, dtype=scene.rank_loads.dtype)
    offsets = np.arange(layers)[:, None, None] * expert_count
    loads = np.repeat(scene.rank_loads[:, :, None], width, axis=2)
    np.maximum.at(peak, (scene.experts + offsets).ravel(), loads.ravel())
    rise = scene.shares / np.maximum(scene.replicas - 1, 1)
    peak = peak.reshape(layers, expert_count) + rise
    return np.where(scene.replicas > 1, peak, _IMPOSSIBLE)


def _best_swap(hot: _Hot) -> _Best:
    shift = hot.shares[:, :, None] - hot.slot_loads[:, None, :]
    peak = np.maximum(hot.load[:, None, None] - shift, hot.slot_rank_loads[:, None, :] + shift)
    here = any_slot(hot.slot_experts[:, :, None] == hot.experts[:, None, :])
    return _pick(np.where(hot.held | here[:, None, :], _IMPOSSIBLE, peak))


def _pick(peak: np.ndarray) -> _Best:
    layers, _, slots = peak.shape
    flat = peak.reshape(layers, -1)
    best = flat.argmin(axis=1)
    return _Best(flat[np.arange(layers), best], best // slots, best % slots)
