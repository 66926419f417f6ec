"""Baseline: never moves an expert."""

from __future__ import annotations

import numpy as np

from bronzerudder.policy.placement.api import (
    Hold,
    HoldKind,
    LoadAllowance,
    PlacementPolicy,
    Proposal,
)
from bronzerudder.policy.placement.expert_map import ExpertMap


class StaticPlacement(PlacementPolicy):
    """Keeps the initial map."""

    def decide(
        self, active: ExpertMap, popularity: np.ndarray, allowance: LoadAllowance
    ) -> Proposal | Hold:
        """Keep the active map."""
        return Hold(HoldKind.STATIC, "the policy never moves an expert")
