"""Bounds what one process holds for its callers, whatever the number of their connections.

All servers of a process share one `Intake`. It counts their connections, the bytes of requests that
are read or served, and the bytes of answers that callers have not taken yet. When room is short, it
ends the connection whose caller keeps the process waiting, not the one that came last. A request
that was read completely is served.
"""

from __future__ import annotations

from bronzerudder.intake.accounts import Account, CallerState, Intake
from bronzerudder.intake.limits import (
    HTTP1_PROCESS_SIZE,
    RECEIVE_BUFFER_BYTES,
    WEB_PROCESS_SIZE,
    IntakeLimits,
    MachineLimits,
    ProcessSize,
    find_limits,
)

__all__ = [
    "HTTP1_PROCESS_SIZE",
    "RECEIVE_BUFFER_BYTES",
    "WEB_PROCESS_SIZE",
    "Account",
    "CallerState",
    "Intake",
    "IntakeLimits",
    "MachineLimits",
    "ProcessSize",
    "find_limits",
]
