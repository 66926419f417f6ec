"""Small stand-ins for the users' platform: its store and its backend servers."""

from __future__ import annotations

from bronzerudder.standin.fleet.store import StandinStore
from bronzerudder.standin.fleet.worker import Behaviour, StandinWorker

__all__ = ["Behaviour", "StandinStore", "StandinWorker"]
