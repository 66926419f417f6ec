"""A stand-in for a plain service with a non-idempotent call."""

from __future__ import annotations

from bronzerudder.standin.service.app import ServiceApp
from bronzerudder.standin.service.behaviour import Behaviour, ServiceSettings

__all__ = ["Behaviour", "ServiceApp", "ServiceSettings"]
