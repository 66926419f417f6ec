"""Shares the read rate of the weight store among groups."""

from __future__ import annotations

from bronzerudder.policy.weight_budget.api import Grant, WeightBudget, WeightStoreLimits
from bronzerudder.policy.weight_budget.divided import DividedBudget
from bronzerudder.policy.weight_budget.lending import LendingBudget

__all__ = ["DividedBudget", "Grant", "LendingBudget", "WeightBudget", "WeightStoreLimits"]
