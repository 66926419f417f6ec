"""Searches for few moves that make the largest rank of each layer smaller."""

from __future__ import annotations

from typing import NamedTuple

import numpy as np

from bronzerudder.policy.placement.layout import count_replicas

_IMPOSSIBLE = np.inf


class MovePath(NamedTuple):
    """Moves found for every layer, one after the other.

    Parameters
    ----------
    peaks : numpy.ndarray
        Shape ``(moves + 1, layers)``: largest rank load before any move and after each.
    loads : numpy.ndarray
        Shape ``(moves + 1, layers)``: experts to load for that many moves.
    experts : list of numpy.ndarray
        The placement before any move and after each.
    """

    peaks: np.ndarray
    loads: np.ndarray
    experts: list[np.ndarray]


class _Moves(NamedTuple):
    """The best move of one sort for each layer."""

    peak: np.ndarray
    source: np.ndarray
    target: np.ndarray


class _Scene(NamedTuple):
    """Loads of a placement, and what its largest ranks hold."""

    experts: np.ndarray
    replicas: np.ndarray
    shares: np.ndarray
    slot_loads: np.ndarray
    rank_loads: np.ndarray
    worst: np.ndarray
    worst_load: np.ndarray


def search_moves(experts: np.ndarray, popularity: np.ndarray, most_moves: int) -> MovePath:
    """Find moves for all layers at once, each against the largest rank of its layer.

    A move either turns a slot elsewhere, whose expert has another replica, into a further replica
    of one of the largest rank's experts (one load), or swaps an expert of the largest rank with a
    lighter one elsewhere (two loads). The one that leaves the lower peak among the ranks it
    touches is taken; a layer is done when no move helps.

    Parameters
    ----------
    experts : numpy.ndarray
        Shape ``(layers, ranks, slots of a rank)``.
    popularity : numpy.ndarray
        Shape ``(layers, experts)``.
    most_moves : int
        Bound on the moves of a layer.
    """
    scene = _look(experts, popularity)
    peaks = [scene.worst_load]
    loads = [np.zeros(experts.shape[0], dtype=np.intp)]
    placements = [experts]
    for _ in range(most_moves):
        moved, cost = _move_once(scene)
        if not cost.any():
            break
        scene = _look(moved, popularity)
        peaks.append(scene.worst_load)
        loads.append(loads[-1] + cost)
        placements.append(moved)
    return MovePath(np.array(peaks), np.array(loads), placements)


def _look(experts: np.ndarray, popularity: np.ndarray) -> _Scene:
    layers = experts.shape[0]
    replicas = count_replicas(experts, popularity.shape[1])
    shares = (popularity / replicas).astype(np.float32)
    slot_loads = np.take_along_axis(shares, experts.reshape(layers, -1), axis=1)
    slot_loads = slot_loads.reshape(experts.shape)
    loads = slot_loads.sum(axis=2)
    worst = loads.argmax(axis=1)
    worst_load = loads[np.arange(layers), worst]
    return _Scene(experts, replicas, shares, slot_loads, loads, worst, worst_load)


def _move_once(scene: _Scene) -> tuple[np.ndarray, np.ndarray]:
    """Make the best move in each layer; return the placement and the loads of each layer."""
    rows = np.arange(scene.experts.shape[0])
    replicated = _best_replica(scene)
    swapped = _best_swap(scene)
    replicate = (replicated.peak < scene.worst_load) & (replicated.peak <= swapped.peak)
    swap = (swapped.peak < scene.worst_load) & ~replicate
    flat = scene.experts.reshape(rows.size, -1).copy()
    hot = scene.experts[rows, scene.worst]
    chosen = rows[replicate]
    flat[chosen, replicated.target[chosen]] = hot[chosen, replicated.source[chosen]]
    chosen = rows[swap]
    width = scene.experts.shape[2]
    own_slot = scene.worst[chosen] * width + swapped.source[chosen]
    other_slot = swapped.target[chosen]
    lighter = flat[chosen, other_slot]
    flat[chosen, other_slot] = flat[chosen, own_slot]
    flat[chosen, own_slot] = lighter
    return flat.reshape(scene.experts.shape), replicate.astype(np.intp) + 2 * swap


def _best_replica(scene: _Scene) -> _Moves:
    layers, ranks, width = scene.experts.shape
    rows = np.arange(layers)
    hot = scene.experts[rows, scene.worst]
    hot_replicas = np.take_along_axis(scene.replicas, hot, axis=1)
    hot_share = np.take_along_axis(scene.shares, hot, axis=1)
    lower_share = hot_share * hot_replicas / (hot_replicas + 1)
    fill_peak = _peak_after_removal(scene)
    others_peak = np.take_along_axis(fill_peak, scene.experts.reshape(layers, -1), axis=1)
    left = (scene.rank_loads[:, :, None] - scene.slot_loads).reshape(layers, 1, -1)
    peak = np.maximum(left + lower_share[:, :, None], others_peak[:, None, :])
    own_peak = scene.worst_load[:, None] - hot_share + lower_share
    peak = np.maximum(peak, own_peak[:, :, None])
    held = _ranks_holding(scene.experts, hot)
    peak = np.where(np.repeat(held, width, axis=2), _IMPOSSIBLE, peak)
    return _pick(peak)


def _peak_after_removal(scene: _Scene) -> np.ndarray:
    """Largest load among an expert's ranks when it loses one replica."""
    layers, _, width = scene.experts.shape
    expert_count = scene.shares.shape[1]
    peak = np.zeros(layers * expert_count, dtype=np.float32)
    offsets = np.arange(layers)[:, None, None] * expert_count
    loads = np.repeat(scene.rank_loads[:, :, None], width, axis=2)
    np.maximum.at(peak, (scene.experts + offsets).ravel(), loads.ravel())
    rise = scene.shares / np.maximum(scene.replicas - 1, 1)
    peak = peak.reshape(layers, expert_count) + rise
    return np.where(scene.replicas > 1, peak, _IMPOSSIBLE)


def _best_swap(scene: _Scene) -> _Moves:
    layers, ranks, width = scene.experts.shape
    rows = np.arange(layers)
    hot = scene.experts[rows, scene.worst]
    hot_share = np.take_along_axis(scene.shares, hot, axis=1)[:, :, None]
    other_share = scene.slot_loads.reshape(layers, 1, -1)
    others = np.repeat(scene.rank_loads, width, axis=1)[:, None, :]
    own_after = scene.worst_load[:, None, None] - hot_share + other_share
    other_after = others + hot_share - other_share
    peak = np.maximum(own_after, other_after)
    held = np.repeat(_ranks_holding(scene.experts, hot), width, axis=2)
    here = (scene.experts.reshape(layers, -1)[:, :, None] == hot[:, None, :]).any(axis=2)
    peak = np.where(held | here[:, None, :], _IMPOSSIBLE, peak)
    return _pick(peak)


def _ranks_holding(experts: np.ndarray, hot: np.ndarray) -> np.ndarray:
    """Mark the ranks that hold each hot expert, in shape ``(layers, hot experts, ranks)``."""
    return (experts[:, None, :, :] == hot[:, :, None, None]).any(axis=3)


def _pick(peak: np.ndarray) -> _Moves:
    layers, _, slots = peak.shape
    flat = peak.reshape(layers, -1)
    best = flat.argmin(axis=1)
    return _Moves(flat[np.arange(layers), best], best // slots, best % slots)
