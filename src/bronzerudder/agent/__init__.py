"""Connects an entry to the agents: sends attempts and receives their answers over gRPC streams.

A connection is replaced when it fails; attempts in flight are then resumed on the new one.
"""

from __future__ import annotations

from bronzerudder.agent.attempt import RemoteAttempt
from bronzerudder.agent.connection import AgentConnection
from bronzerudder.agent.events import (
    FINAL_EVENTS,
    AnswerEvent,
    Body,
    Completed,
    Head,
    Incomplete,
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
    "Incomplete",
    "Head",
    "Lost",
    "Refused",
    "RemoteAttempt",
]
