"""Divides the weight store's rate evenly among the groups in the configuration."""

from __future__ import annotations

from bronzerudder.policy.weight_budget.api import Grant, WeightBudget, WeightStoreLimits


class DividedBudget(WeightBudget):
    """Gives each group a fixed equal share, without any call to the platform."""

    def __init__(self, limits: WeightStoreLimits) -> None:
        self._limits = limits

    @property
    def assured_bytes_per_s(self) -> float:
        """Share of this group."""
        return self._limits.bytes_per_s / self._limits.group_count

    def set_limits(self, limits: WeightStoreLimits) -> None:
        """Apply the limits of a new configuration."""
        self._limits = limits

    async def acquire(self, load_bytes: int) -> Grant:
        """Return this group's share."""
        return Grant(self.assured_bytes_per_s)

    async def release(self) -> None:
        """Do nothing: the share is fixed."""
