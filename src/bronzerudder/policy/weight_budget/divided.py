"""Divides the weight store's rate evenly among the groups in the configuration."""

from __future__ import annotations

from bronzerudder.policy.weight_budget.api import Grant, WeightBudget, WeightStoreLimits


class DividedBudget(WeightBudget):
    """Each group has an equal part for good; it needs no call to anyone."""

    def __init__(self, limits: WeightStoreLimits) -> None:
        self._limits = limits

    @property
    def assured_bytes_per_s(self) -> float:
        """Part of this group."""
        return self._limits.bytes_per_s / self._limits.group_count

    def set_limits(self, limits: WeightStoreLimits) -> None:
        """Take over limits from a new configuration."""
        self._limits = limits

    async def acquire(self, load_bytes: int) -> Grant:
        """Get this group's part."""
        return Grant(self.assured_bytes_per_s)

    async def release(self) -> None:
        """Do nothing: the part is this group's own."""
