"""Settings of the connection to the platform."""

from __future__ import annotations

from typing import TypedDict

from bronzerudder.settings.fields import Address


class PlatformSettings(TypedDict):
    """Address of the platform's object API."""

    address: Address
