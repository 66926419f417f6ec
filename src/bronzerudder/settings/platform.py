"""Settings that say where the platform is."""

from __future__ import annotations

from typing import NotRequired, TypedDict

from bronzerudder.settings.fields import Seconds, Url


class PlatformSettings(TypedDict):
    """Where the object API is, and how long a call may take."""

    url: Url
    call_timeout_s: NotRequired[Seconds]
