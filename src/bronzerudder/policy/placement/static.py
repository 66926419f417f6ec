"""Baseline policy: never moves an expert."""

from __future__ import annotations

import numpy as np

from bronzerudder.policy.placement.api import (
    LoadAllowance,
    NoChange,
    NoChangeKind,
    PlacementPolicy,
    Proposal,
)
from bronzerudder.policy.placement.expert_map import ExpertMap


class StaticPlacement(PlacementPolicy):
    """Keeps the initial map."""

    def decide(
        self, active: ExpertMap, popularity: np.ndarray, allowance: LoadAllowance
    ) -> Proposal | NoChange:
        """Keep the active map."""
        return NoChange(NoChangeKind.STATIC, "the policy never moves an expert")
