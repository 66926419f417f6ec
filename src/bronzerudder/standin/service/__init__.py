"""A stand-in for a plain service with a call that may not be repeated."""

from __future__ import annotations

from bronzerudder.standin.service.app import ServiceApp
from bronzerudder.standin.service.behaviour import Behaviour, ServiceSettings
from bronzerudder.standin.service.server import run_service

__all__ = ["Behaviour", "ServiceApp", "ServiceSettings", "run_service"]
