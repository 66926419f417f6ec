"""Searches for few moves that lower the peak rank load of each layer."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import NamedTuple

import numpy as np

from bronzerudder.policy.placement.moves import PlacementState, evaluate_placement, move_once
from bronzerudder.policy.placement.pairing import swap_in_pairs
from bronzerudder.policy.placement.proportional import convert_slots

LOAD_NOISE = 0.015
MAX_MOVES = 24
MAX_NON_IMPROVING_MOVES = 1
HIGH_REPLICATION_RATIO = 2
CONVERSION_STEPS = 4
CONVERSIONS_PER_STEP = 8
PAIRING_STEPS = 4
SWAP_ONLY_STEPS = 2

_Step = Callable[[PlacementState, np.ndarray], tuple[np.ndarray, np.ndarray]]


class Candidates(NamedTuple):
    """Placements along the search; the first is the active one.

    Parameters
    ----------
    peaks : numpy.ndarray
        Shape ``(candidates, layers)``: expected peak rank load.
    loads : numpy.ndarray
        Shape ``(candidates, layers)``: number of experts to load to reach the candidate.
    experts : list of numpy.ndarray
        The placement of each candidate.
    """

    peaks: np.ndarray
    loads: np.ndarray
    experts: list[np.ndarray]


def search_moves(experts: np.ndarray, popularity: np.ndarray) -> Candidates:
    """Collect candidates for all layers at once.

    With at least `HIGH_REPLICATION_RATIO` slots per expert, replica counts determine the loads. One
    branch adjusts them to popularity, several slots per step, and then swaps experts between pairs
    of heavy and light ranks; the other branch only swaps. With fewer slots, single moves relieve
    the most loaded rank, one after another.

    Parameters
    ----------
    experts : numpy.ndarray
        Shape ``(layers, ranks, slots of a rank)``.
    popularity : numpy.ndarray
        Shape ``(layers, experts)``.
    """
    # Halves the memory traffic, which bounds the time of a decision for a large group.
    popularity = popularity.astype(np.float32)
    start = evaluate_placement(experts, popularity)
    peaks = [expected_peak(start.rank_loads)]
    loads = [np.zeros(experts.shape[0], dtype=np.intp)]
    placements = [experts]
    for steps in _branches_for(experts, popularity):
        state = start
        total = loads[0]
        for step in steps:
            moved, cost = step(state, popularity)
            if not cost.any():
                continue
            state = evaluate_placement(moved, popularity)
            total = total + cost
            peaks.append(expected_peak(state.rank_loads))
            loads.append(total)
            placements.append(moved)
    return Candidates(np.array(peaks), np.array(loads), placements)


def _branches_for(experts: np.ndarray, popularity: np.ndarray) -> list[list[_Step]]:
    slots = experts.shape[1] * experts.shape[2]
    if slots < HIGH_REPLICATION_RATIO * popularity.shape[1]:
        non_improving_moves = np.full(experts.shape[0], MAX_NON_IMPROVING_MOVES)
        return [
            [functools.partial(_move_once, non_improving_moves=non_improving_moves)] * MAX_MOVES
        ]
    pairing = [
        functools.partial(_swap_in_pairs, rotation=rotation) for rotation in range(PAIRING_STEPS)
    ]
    return [[_convert_slots] * CONVERSION_STEPS + pairing, pairing[:SWAP_ONLY_STEPS]]


def _move_once(
    state: PlacementState, popularity: np.ndarray, non_improving_moves: np.ndarray
) -> tuple[np.ndarray, np.ndarray]:
    return move_once(state, non_improving_moves)


def _convert_slots(state: PlacementState, popularity: np.ndarray) -> tuple[np.ndarray, np.ndarray]:
    return convert_slots(state, popularity, CONVERSIONS_PER_STEP)


def _swap_in_pairs(
    state: PlacementState, popularity: np.ndarray, rotation: int
) -> tuple[np.ndarray, np.ndarray]:
    return swap_in_pairs(state, rotation)


def expected_peak(loads: np.ndarray) -> np.ndarray:
    """Estimate the expected peak rank load of each layer when the loads are noisy.

    Several ranks near the peak make a higher peak likely, so they all count: the result is the
    log-sum-exp of the loads at a temperature of `LOAD_NOISE` times their mean.

    Parameters
    ----------
    loads : numpy.ndarray
        Shape ``(layers, ranks)``.
    """
    temperature = LOAD_NOISE * loads.mean(axis=1, keepdims=True)
    top = loads.max(axis=1, keepdims=True)
    spread = np.log(np.exp((loads - top) / temperature).sum(axis=1, keepdims=True))
    return (top + temperature * spread)[:, 0]
