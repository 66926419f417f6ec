"""Entries as peers of an agent."""

from __future__ import annotations

from bronzerudder.entry.context import AgentIdentity, Packing, SessionContext
from bronzerudder.entry.service import ExchangeService
from bronzerudder.entry.session import EntrySession

__all__ = ["AgentIdentity", "EntrySession", "ExchangeService", "Packing", "SessionContext"]
