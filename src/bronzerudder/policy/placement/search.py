"""Searches for few moves that make the largest rank of each layer smaller."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import NamedTuple

import numpy as np

from bronzerudder.policy.placement.moves import Scene, look_at, move_once
from bronzerudder.policy.placement.pairing import swap_in_pairs
from bronzerudder.policy.placement.proportional import convert_slots

LOAD_NOISE = 0.015
MOST_MOVES = 24
MOST_DETOURS = 1
MANY_REPLICAS = 2
CONVERSION_STEPS = 4
CONVERSIONS_PER_STEP = 8
PAIRING_STEPS = 4
FIRST_PAIRING_STEPS = 2

_Step = Callable[[Scene, np.ndarray], tuple[np.ndarray, np.ndarray]]


class Candidates(NamedTuple):
    """Placements reached step by step; the first is the active one.

    Parameters
    ----------
    peaks : numpy.ndarray
        Shape ``(candidates, layers)``: largest rank load to be expected.
    loads : numpy.ndarray
        Shape ``(candidates, layers)``: experts to load to get there.
    experts : list of numpy.ndarray
        The placement of each candidate.
    """

    peaks: np.ndarray
    loads: np.ndarray
    experts: list[np.ndarray]


def search_moves(experts: np.ndarray, popularity: np.ndarray) -> Candidates:
    """Collect candidates, for all layers at once.

    Where slots are `MANY_REPLICAS` times the experts or more, replica counts decide the loads:
    one branch brings those towards popularity, several slots a step, before heavy and light ranks
    swap in pairs; the other only swaps. Elsewhere single moves against the largest rank follow
    each other.

    Parameters
    ----------
    experts : numpy.ndarray
        Shape ``(layers, ranks, slots of a rank)``.
    popularity : numpy.ndarray
        Shape ``(layers, experts)``.
    """
    # Half the memory to pass over; a decision for a large group is bound by that.
    popularity = popularity.astype(np.float32)
    start = look_at(experts, popularity)
    peaks = [expected_peak(start.rank_loads)]
    loads = [np.zeros(experts.shape[0], dtype=np.intp)]
    placements = [experts]
    for steps in _branches_for(experts, popularity):
        scene = start
        total = loads[0]
        for step in steps:
            moved, cost = step(scene, popularity)
            if not cost.any():
                continue
            scene = look_at(moved, popularity)
            total = total + cost
            peaks.append(expected_peak(scene.rank_loads))
            loads.append(total)
            placements.append(moved)
    return Candidates(np.array(peaks), np.array(loads), placements)


def _branches_for(experts: np.ndarray, popularity: np.ndarray) -> list[list[_Step]]:
    slots = experts.shape[1] * experts.shape[2]
    if slots < MANY_REPLICAS * popularity.shape[1]:
        detours = np.full(experts.shape[0], MOST_DETOURS)
        return [[functools.partial(_move_once, detours=detours)] * MOST_MOVES]
    pairing = [functools.partial(_swap_in_pairs, turn=turn) for turn in range(PAIRING_STEPS)]
    return [[_convert_slots] * CONVERSION_STEPS + pairing, pairing[:FIRST_PAIRING_STEPS]]


def _move_once(
    scene: Scene, popularity: np.ndarray, detours: np.ndarray
) -> tuple[np.ndarray, np.ndarray]:
    return move_once(scene, detours)


def _convert_slots(scene: Scene, popularity: np.ndarray) -> tuple[np.ndarray, np.ndarray]:
    return convert_slots(scene, popularity, CONVERSIONS_PER_STEP)


def _swap_in_pairs(
    scene: Scene, popularity: np.ndarray, turn: int
) -> tuple[np.ndarray, np.ndarray]:
    return swap_in_pairs(scene, turn)


def expected_peak(loads: np.ndarray) -> np.ndarray:
    """Largest rank load of each layer to be expected when every rank's load is noisy.

    Several ranks near the largest make a larger peak likely, so they all count: it is the
    log-sum-exp of the loads, at a temperature of `LOAD_NOISE` of their mean.

    Parameters
    ----------
    loads : numpy.ndarray
        Shape ``(layers, ranks)``.
    """
    temperature = LOAD_NOISE * loads.mean(axis=1, keepdims=True)
    top = loads.max(axis=1, keepdims=True)
    spread = np.log(np.exp((loads - top) / temperature).sum(axis=1, keepdims=True))
    return (top + temperature * spread)[:, 0]
