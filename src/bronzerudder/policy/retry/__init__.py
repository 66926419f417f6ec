"""Limits how often entries and gateways retry requests."""

from __future__ import annotations

from bronzerudder.policy.retry.api import (
    RetryAllowance,
    RetryBudget,
    RetryDenial,
    RetryDenialKind,
)
from bronzerudder.policy.retry.count import CountBudget
from bronzerudder.policy.retry.division import BudgetDivision, LeasedDivision
from bronzerudder.policy.retry.fleet import FleetRetryBudget
from bronzerudder.policy.retry.share import ShareBudget

__all__ = [
    "BudgetDivision",
    "CountBudget",
    "FleetRetryBudget",
    "LeasedDivision",
    "RetryAllowance",
    "RetryBudget",
    "RetryDenial",
    "RetryDenialKind",
    "ShareBudget",
]
