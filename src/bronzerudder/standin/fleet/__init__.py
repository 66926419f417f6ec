"""Small stand-ins for the users' platform: its store, backend servers and lock-step groups."""

from __future__ import annotations

from bronzerudder.standin.fleet.group import LockstepGroup, LockstepRank
from bronzerudder.standin.fleet.rank import StandinRank
from bronzerudder.standin.fleet.store import StandinStore
from bronzerudder.standin.fleet.worker import Behaviour, StandinWorker

__all__ = [
    "Behaviour",
    "LockstepGroup",
    "LockstepRank",
    "StandinRank",
    "StandinStore",
    "StandinWorker",
]
