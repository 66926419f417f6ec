"""Rates that backend servers name as their limit for all gateways together."""

from __future__ import annotations

from bronzerudder.policy.server_limits.issuer import (
    MAX_RESERVE_S,
    MIN_RATE_RPS,
    PermitDecision,
    PermitIssuer,
)
from bronzerudder.policy.server_limits.ranking import MAX_INTRODUCED, GatewayRanking
from bronzerudder.policy.server_limits.statements import LimitStatement, ServerLimitLedger
from bronzerudder.policy.server_limits.wallet import (
    PermitOutlook,
    PermitWallet,
    estimate_wait_s,
)

__all__ = [
    "MAX_INTRODUCED",
    "MAX_RESERVE_S",
    "MIN_RATE_RPS",
    "GatewayRanking",
    "LimitStatement",
    "PermitDecision",
    "PermitIssuer",
    "PermitOutlook",
    "PermitWallet",
    "ServerLimitLedger",
    "estimate_wait_s",
]
