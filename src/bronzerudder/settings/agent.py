"""Settings of an agent."""

from __future__ import annotations

from typing import Annotated, Literal, NotRequired, TypedDict

import msgspec

from bronzerudder.claims.settings import ClaimSettings
from bronzerudder.rank_group.settings import RankGroupSettings
from bronzerudder.settings.fields import Address, Count, Listener, Name, Seconds, Share, Url
from bronzerudder.settings.platform import PlatformSettings


class BackendServerSettings(TypedDict):
    """The backend server beside the agent, and how much it is given at once.

    ``max_wait_s`` bounds the expected wait of a request that is taken in.
    """

    name: Name
    kind: Literal["engine", "service"]
    url: Url
    max_running: Count
    max_queued: Count
    max_wait_s: NotRequired[Seconds]
    silence_timeout_s: NotRequired[Seconds]


class PackingSettings(TypedDict):
    """How frames to entries share messages.

    The first frame waits ``delay_ms`` for others; 0 packs only what is due already.
    """

    delay_ms: NotRequired[Annotated[float, msgspec.Meta(ge=0, le=100)]]
    max_frames: NotRequired[Count]


class AgentSettings(TypedDict):
    """Settings of one agent process.

    ``peers`` names the peer listeners of entries, asked for the configuration while the platform
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
    drain_timeout_s: NotRequired[Seconds]
    trace_sample_ratio: NotRequired[Share]
