"""Serves entries at an agent: the gRPC service that receives attempts and returns their answers."""

from __future__ import annotations

from bronzerudder.entry.context import AgentIdentity, Packing, SessionContext
from bronzerudder.entry.service import ExchangeService
from bronzerudder.entry.session import EntrySession

__all__ = ["AgentIdentity", "EntrySession", "ExchangeService", "Packing", "SessionContext"]
