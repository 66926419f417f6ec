"""A stand-in for the platform: an object store and an instance list in memory, with faults."""

from __future__ import annotations

from bronzerudder.standin.platform.app import PlatformApp
from bronzerudder.standin.platform.faults import FaultDocument, Faults
from bronzerudder.standin.platform.instances import LaggingInstances
from bronzerudder.standin.platform.objects import ObjectTable

__all__ = ["FaultDocument", "Faults", "LaggingInstances", "ObjectTable", "PlatformApp"]
