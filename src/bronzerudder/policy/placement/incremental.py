"""Moves few experts, and only when the step time saved outweighs the cost of loading."""

from __future__ import annotations

from typing import NamedTuple

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
    RankLayout,
    build_next_map,
    layout_of_map,
    slots_to_load,
)
from bronzerudder.policy.placement.search import Candidates, search_moves


class IncrementalTuning(NamedTuple):
    """Parameters for weighing predicted gains against loading costs.

    Parameters
    ----------
    horizon_s : float
        Time over which the gain of a placement is counted.
    loading_cost : float
        Seconds of step time that one second of loading costs when both weights are equal.
    hysteresis : float
        A layer changes only if its peak rank load can decrease, as a fraction of the mean load, by
        at least this factor times the rebalancing weight divided by the skew weight.
    """

    horizon_s: float = 300.0
    loading_cost: float = 1.0
    hysteresis: float = 0.02


class IncrementalPlacement(PlacementPolicy):
    """Makes few moves whose predicted gain over a horizon exceeds their cost, with hysteresis.

    In each layer it follows moves that lower the peak rank load, and stops where gain minus cost
    is greatest. A layer whose possible gain is below the hysteresis does not change.
    """

    def __init__(
        self, parameters: PlacementParameters, tuning: IncrementalTuning | None = None
    ) -> None:
        self._parameters = parameters
        self._tuning = tuning or IncrementalTuning()

    def decide(
        self, active: ExpertMap, popularity: np.ndarray, allowance: LoadAllowance
    ) -> Proposal | NoChange:
        """Propose the next map, or return why the active one is kept."""
        layout = layout_of_map(active)
        if isinstance(layout, PlacementError):
            return NoChange(NoChangeKind.SHAPE, layout.reason)
        affordable = allowance.bytes // self._parameters.expert_bytes
        if affordable < 1 or allowance.bytes_per_s <= 0:
            return NoChange(
                NoChangeKind.NO_BUDGET, "the weight budget allows no expert to be loaded"
            )
        candidates = search_moves(layout.experts, popularity)
        if len(candidates.experts) == 1:
            return NoChange(NoChangeKind.BALANCED, "no move lowers the peak rank load of any layer")
        mean_load = popularity.sum(axis=1) / layout.experts.shape[1]
        gains = (candidates.peaks[0] - candidates.peaks) / mean_load
        chosen = self._choose(candidates, gains, affordable, allowance.bytes_per_s)
        if not chosen.any():
            return NoChange(
                NoChangeKind.NOT_WORTH_ITS_COST,
                f"the best gain, {gains.max():.3f} of a layer's time, does not justify its cost",
            )
        return self._propose(active, layout, candidates, gains, chosen)

    def _choose(
        self, candidates: Candidates, gains: np.ndarray, affordable: int, bytes_per_s: float
    ) -> np.ndarray:
        """Choose a candidate for each layer; layers with the most value per load choose first."""
        values = self._values(candidates, gains, bytes_per_s)
        values[gains < self._min_gain()] = 0.0
        best = values.argmax(axis=0)
        rows = np.arange(best.size)
        density = values[best, rows] / np.maximum(candidates.loads[best, rows], 1)
        chosen = np.zeros_like(best)
        for layer in np.argsort(-density, kind="stable"):
            fitting = np.where(candidates.loads[:, layer] <= affordable, values[:, layer], -np.inf)
            chosen[layer] = fitting.argmax()
            affordable -= int(candidates.loads[chosen[layer], layer])
        return chosen

    def _min_gain(self) -> float:
        weights = self._parameters
        return self._tuning.hysteresis * weights.rebalancing_weight / max(weights.skew_weight, 1e-3)

    def _values(self, candidates: Candidates, gains: np.ndarray, bytes_per_s: float) -> np.ndarray:
        """Return the value in weighted seconds of each candidate in each layer."""
        saved_s = gains / gains.shape[1] * self._tuning.horizon_s
        loading_s = candidates.loads * self._parameters.expert_bytes / bytes_per_s
        cost_s = loading_s * self._tuning.loading_cost
        return self._parameters.skew_weight * saved_s - self._parameters.rebalancing_weight * cost_s

    def _propose(
        self,
        active: ExpertMap,
        layout: RankLayout,
        candidates: Candidates,
        gains: np.ndarray,
        chosen: np.ndarray,
    ) -> Proposal | NoChange:
        rows = np.arange(chosen.size)
        experts = _select(candidates, chosen)
        count = int(slots_to_load(layout.experts, experts).sum())
        proposed = build_next_map(active, layout, experts)
        if isinstance(proposed, PlacementError):
            return NoChange(NoChangeKind.SHAPE, proposed.reason)
        gain = float(gains[chosen, rows].mean())
        return Proposal(proposed, count, count * self._parameters.expert_bytes, gain)


def _select(candidates: Candidates, chosen: np.ndarray) -> np.ndarray:
    layers = [candidates.experts[candidate][layer] for layer, candidate in enumerate(chosen)]
    return np.stack(layers)
