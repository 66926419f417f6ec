"""Entries as peers of an agent."""

from __future__ import annotations

from bronzerudder.entry.service import ExchangeService
from bronzerudder.entry.session import EntrySession

__all__ = ["EntrySession", "ExchangeService"]
