"""Small stand-ins for the users' platform: its store, backend servers and lock-step groups."""

from __future__ import annotations

from bronzerudder.standin.fleet.backend_server import (
    Behaviour,
    CrashingArrival,
    CrashPlan,
    StandinBackendServer,
)
from bronzerudder.standin.fleet.group import LockstepGroup, LockstepRank
from bronzerudder.standin.fleet.rank import StandinRank
from bronzerudder.standin.fleet.restartable import RestartableServer
from bronzerudder.standin.fleet.store import StandinStore

__all__ = [
    "Behaviour",
    "CrashPlan",
    "CrashingArrival",
    "LockstepGroup",
    "LockstepRank",
    "RestartableServer",
    "StandinBackendServer",
    "StandinRank",
    "StandinStore",
]
