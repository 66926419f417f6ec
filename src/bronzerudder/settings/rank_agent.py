"""Settings of the agent beside a rank."""

from __future__ import annotations

from typing import NotRequired, TypedDict

from bronzerudder.settings.fields import Address, Name
from bronzerudder.settings.gateway import LogSettings


class RankAgentSettings(TypedDict):
    """Settings of one agent beside a rank.

    ``rank_address`` is the rank beside it, ``service`` the service that the rank belongs to, and
    ``peer_address`` where it takes messages of the system's other processes.
    """

    agent_id: Name
    failure_domain: Name
    rank_address: Address
    service: Name
    peer_address: Address
    metrics_address: Address
    store_address: Address
    log: NotRequired[LogSettings]
