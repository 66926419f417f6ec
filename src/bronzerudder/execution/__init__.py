"""Runs attempts on the agent's backend server and buffers their answers for the entry.

An attempt is offered to the admission queue. Its idempotency key is then claimed, unless it may be
repeated; it passes the quarantine check and waits for its slot before its call is relayed. Its
answer is held until the entry has acknowledged it.
"""

from __future__ import annotations

from bronzerudder.execution.attempt import Attempt, AttemptKey, AttemptState
from bronzerudder.execution.crash_guard import CrashGuard
from bronzerudder.execution.executor import Executor
from bronzerudder.execution.relay import Relay
from bronzerudder.execution.table import AttemptTable

__all__ = [
    "Attempt",
    "AttemptKey",
    "AttemptState",
    "AttemptTable",
    "CrashGuard",
    "Executor",
    "Relay",
]
