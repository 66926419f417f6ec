"""Small stand-ins for the users' platform: its store, backend servers and lock-step groups."""

from __future__ import annotations

from bronzerudder.standin.fleet.backend_server import Behaviour, StandinBackendServer
from bronzerudder.standin.fleet.group import LockstepGroup, LockstepRank
from bronzerudder.standin.fleet.rank import StandinRank
from bronzerudder.standin.fleet.store import StandinStore

__all__ = [
    "Behaviour",
    "LockstepGroup",
    "LockstepRank",
    "StandinBackendServer",
    "StandinRank",
    "StandinStore",
]
