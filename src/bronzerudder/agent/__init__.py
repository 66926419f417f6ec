"""Agents as peers of an entry."""

from __future__ import annotations

from bronzerudder.agent.attempt import RemoteAttempt
from bronzerudder.agent.connection import AgentConnection
from bronzerudder.agent.events import AnswerEvent, Body, Completed, Cut, Head, Lost, Refused
from bronzerudder.agent.pool import AgentPool

__all__ = [
    "AgentConnection",
    "AgentPool",
    "AnswerEvent",
    "Body",
    "Completed",
    "Cut",
    "Head",
    "Lost",
    "Refused",
    "RemoteAttempt",
]
