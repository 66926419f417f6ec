"""Settings of an entry."""

from __future__ import annotations

from typing import NotRequired, TypedDict

from bronzerudder.settings.fields import Address, Count, Listener, Name, Seconds, Share
from bronzerudder.settings.machine import MachineSettings
from bronzerudder.settings.platform import PlatformSettings


class HeaderNames(TypedDict):
    """Names of the headers that callers use."""

    workspace: NotRequired[Name]
    deadline: NotRequired[Name]
    outcome: NotRequired[Name]


class EntrySettings(TypedDict):
    """Settings of one entry process.

    ``peers`` are the peer listeners of other entries, queried for the configuration while the
    platform is down.
    """

    entry_id: Name
    failure_domain: Name
    listener: Listener
    admin_listener: Listener
    peer_listener: Listener
    platform: PlatformSettings
    peers: NotRequired[list[Address]]
    headers: NotRequired[HeaderNames]
    max_body_bytes: NotRequired[Count]
    machine: NotRequired[MachineSettings]
    leave_delay_s: NotRequired[Seconds]
    drain_timeout_s: NotRequired[Seconds]
    trace_sample_ratio: NotRequired[Share]
