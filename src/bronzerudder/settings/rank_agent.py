"""Settings of a rank agent."""

from __future__ import annotations

from typing import NotRequired, TypedDict

from bronzerudder.settings.fields import Address, Name
from bronzerudder.settings.gateway import LogSettings
from bronzerudder.settings.machine import MachineSettings


class RankAgentSettings(TypedDict):
    """Settings of one rank agent.

    ``rank_address`` is the local rank, ``service`` the service that it belongs to, and
    ``peer_address`` serves the agents of the service's other ranks.
    """

    agent_id: Name
    failure_domain: Name
    rank_address: Address
    service: Name
    peer_address: Address
    metrics_address: Address
    store_address: Address
    machine: NotRequired[MachineSettings]
    log: NotRequired[LogSettings]
