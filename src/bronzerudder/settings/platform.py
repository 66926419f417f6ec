"""Settings that say where the platform is."""

from __future__ import annotations

from typing import TypedDict

from bronzerudder.settings.fields import Address


class PlatformSettings(TypedDict):
    """Where the object API is."""

    address: Address
