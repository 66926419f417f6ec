"""Limits how often entries and gateways retry requests."""

from __future__ import annotations

from bronzerudder.policy.retry.api import (
    RetryAllowance,
    RetryBudget,
    RetryDenial,
    RetryDenialKind,
)
from bronzerudder.policy.retry.count import CountBudget
from bronzerudder.policy.retry.share import ShareBudget
from bronzerudder.policy.retry.window import WindowBudget

__all__ = [
    "CountBudget",
    "RetryAllowance",
    "RetryBudget",
    "RetryDenial",
    "RetryDenialKind",
    "ShareBudget",
    "WindowBudget",
]
