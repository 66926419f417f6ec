"""Settings of an agent."""

from __future__ import annotations

from typing import Annotated, Literal, NotRequired, TypedDict

import msgspec

from bronzerudder.claims.settings import ClaimSettings
from bronzerudder.rank_group.settings import RankGroupSettings
from bronzerudder.settings.fields import Address, Count, Listener, Name, Seconds, Share, Url
from bronzerudder.settings.machine import MachineSettings
from bronzerudder.settings.platform import PlatformSettings


class BackendServerSettings(TypedDict):
    """The backend server next to the agent, and the load that it may be given.

    ``max_wait_s`` limits the expected wait of an accepted request. ``silence_timeout_s``, used for
    engines only, is the time without data after which a call fails.
    """

    name: Name
    kind: Literal["engine", "service"]
    url: Url
    max_running: Count
    max_queued: Count
    max_wait_s: NotRequired[Seconds]
    silence_timeout_s: NotRequired[Seconds]


class PackingSettings(TypedDict):
    """How frames to entries are batched into messages.

    The first frame waits ``delay_ms`` for others; 0 batches only frames that are already due.
    """

    delay_ms: NotRequired[Annotated[float, msgspec.Meta(ge=0, le=100)]]
    max_frames: NotRequired[Count]


class AgentSettings(TypedDict):
    """Settings of one agent process.

    ``peers`` are the peer listeners of entries, queried for the configuration while the platform
    is down. ``rank_group`` is given where the backend server is a rank of a lock-step group.
    """

    agent_id: Name
    failure_domain: Name
    pool: Name
    listener: Listener
    admin_listener: Listener
    backend_server: BackendServerSettings
    platform: PlatformSettings
    peers: NotRequired[list[Address]]
    claims: NotRequired[ClaimSettings]
    rank_group: NotRequired[RankGroupSettings]
    packing: NotRequired[PackingSettings]
    machine: NotRequired[MachineSettings]
    drain_timeout_s: NotRequired[Seconds]
    trace_sample_ratio: NotRequired[Share]
