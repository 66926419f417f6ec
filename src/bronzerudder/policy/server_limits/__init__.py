"""Rates that backend servers name as their limit for all gateways together."""

from __future__ import annotations

from bronzerudder.policy.server_limits.statements import LimitStatement, ServerLimitLedger

__all__ = ["LimitStatement", "ServerLimitLedger"]
