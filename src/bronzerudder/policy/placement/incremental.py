"""Moves few experts, and only when the step time saved is worth the loading."""

from __future__ import annotations

from typing import NamedTuple

import numpy as np

from bronzerudder.policy.placement.api import (
    Hold,
    HoldKind,
    LoadAllowance,
    PlacementPolicy,
    PlacementTerms,
    Proposal,
)
from bronzerudder.policy.placement.errors import PlacementError
from bronzerudder.policy.placement.expert_map import ExpertMap
from bronzerudder.policy.placement.layout import (
    RankLayout,
    find_loads,
    layout_of_map,
    map_with_layout,
)
from bronzerudder.policy.placement.search import Candidates, search_moves


class IncrementalTuning(NamedTuple):
    """How predicted gains are weighed against loads.

    Parameters
    ----------
    horizon_s : float
        Time over which a better placement is expected to pay.
    loading_cost : float
        Seconds of step time that one second of loading counts for when both weights are equal.
    band : float
        A layer is left alone unless its largest rank can come down by this share of the mean, per
        unit of rebalancing weight over skew weight.
    """

    horizon_s: float = 300.0
    loading_cost: float = 1.0
    band: float = 0.02


class IncrementalPlacement(PlacementPolicy):
    """Fewest moves whose predicted gain over a horizon beats their cost, with hysteresis.

    Each layer follows moves that bring its largest rank down and stops where gain less cost is
    greatest. The band is the hysteresis: a layer that can gain less than that is left alone.
    """

    def __init__(self, terms: PlacementTerms, tuning: IncrementalTuning | None = None) -> None:
        self._terms = terms
        self._tuning = tuning or IncrementalTuning()

    def decide(
        self, active: ExpertMap, popularity: np.ndarray, allowance: LoadAllowance
    ) -> Proposal | Hold:
        """Propose the next map, or say why the active one stays."""
        layout = layout_of_map(active)
        if isinstance(layout, PlacementError):
            return Hold(HoldKind.SHAPE, layout.reason)
        affordable = allowance.bytes // self._terms.expert_bytes
        if affordable < 1 or allowance.bytes_per_s <= 0:
            return Hold(HoldKind.NO_BUDGET, "no expert may be loaded at present")
        found = search_moves(layout.experts, popularity)
        if len(found.experts) == 1:
            return Hold(HoldKind.BALANCED, "no single move makes any layer's largest rank smaller")
        even = popularity.sum(axis=1) / layout.experts.shape[1]
        gains = (found.peaks[0] - found.peaks) / even
        chosen = self._choose(found, gains, affordable, allowance.bytes_per_s)
        if not chosen.any():
            return Hold(HoldKind.NOT_WORTH_ITS_COST, f"best gain {gains.max():.3f} of a layer")
        return self._propose(active, layout, found, gains, chosen)

    def _choose(
        self, found: Candidates, gains: np.ndarray, affordable: int, bytes_per_s: float
    ) -> np.ndarray:
        """Return the candidate to take in each layer, the most valuable loads first."""
        values = self._values(found, gains, bytes_per_s)
        values[gains < self._band()] = 0.0
        wanted = values.argmax(axis=0)
        rows = np.arange(wanted.size)
        density = values[wanted, rows] / np.maximum(found.loads[wanted, rows], 1)
        chosen = np.zeros_like(wanted)
        for layer in np.argsort(-density, kind="stable"):
            fitting = np.where(found.loads[:, layer] <= affordable, values[:, layer], -np.inf)
            chosen[layer] = fitting.argmax()
            affordable -= int(found.loads[chosen[layer], layer])
        return chosen

    def _band(self) -> float:
        weights = self._terms
        return self._tuning.band * weights.rebalancing_weight / max(weights.skew_weight, 1e-3)

    def _values(self, found: Candidates, gains: np.ndarray, bytes_per_s: float) -> np.ndarray:
        """Return the weighted seconds won by each candidate in each layer."""
        saved_s = gains / gains.shape[1] * self._tuning.horizon_s
        loading_s = found.loads * self._terms.expert_bytes / bytes_per_s
        cost_s = loading_s * self._tuning.loading_cost
        return self._terms.skew_weight * saved_s - self._terms.rebalancing_weight * cost_s

    def _propose(
        self,
        active: ExpertMap,
        layout: RankLayout,
        found: Candidates,
        gains: np.ndarray,
        chosen: np.ndarray,
    ) -> Proposal | Hold:
        rows = np.arange(chosen.size)
        experts = _take(found, chosen)
        count = int(find_loads(layout.experts, experts).sum())
        proposed = map_with_layout(active, layout, experts)
        if isinstance(proposed, PlacementError):
            return Hold(HoldKind.SHAPE, proposed.reason)
        gain = float(gains[chosen, rows].mean())
        return Proposal(proposed, count, count * self._terms.expert_bytes, gain)


def _take(found: Candidates, chosen: np.ndarray) -> np.ndarray:
    layers = [found.experts[candidate][layer] for layer, candidate in enumerate(chosen)]
    return np.stack(layers)
