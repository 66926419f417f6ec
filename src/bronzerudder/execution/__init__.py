"""Runs attempts on the agent's backend server and buffers their answers for the entry.

An attempt passes admission, the claim of its idempotency key and the quarantine check before its
call is relayed. Its answer is held until the entry has acknowledged it.
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
