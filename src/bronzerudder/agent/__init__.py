"""Agents as peers of an entry."""

from __future__ import annotations

from bronzerudder.agent.attempt import RemoteAttempt
from bronzerudder.agent.connection import AgentConnection
from bronzerudder.agent.events import (
    FINAL_EVENTS,
    AnswerEvent,
    Body,
    Completed,
    Cut,
    Head,
    Lost,
    Refused,
)
from bronzerudder.agent.pool import AgentPool

__all__ = [
    "FINAL_EVENTS",
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
