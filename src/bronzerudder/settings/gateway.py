"""Settings of a gateway."""

from __future__ import annotations

from typing import Annotated, NotRequired, TypedDict

import msgspec

from bronzerudder.settings.fields import Address, Name, Seconds, Share
from bronzerudder.settings.machine import MachineSettings

Rate = Annotated[float, msgspec.Meta(gt=0, le=100_000)]
RetriesPerWindow = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]


class RetryBudgetSettings(TypedDict):
    """Maximum retries that all gateways together may send to a service in any window.

    Each request of the window allows ``share`` retries; ``extra`` retries are added per window.
    """

    share: Share
    extra: RetriesPerWindow
    window_s: Seconds


class LogSettings(TypedDict):
    """Limit of log lines per second, and fraction of requests with routine lines."""

    lines_per_s: NotRequired[Rate]
    sample_share: NotRequired[Share]


class TraceSettings(TypedDict):
    """Fraction of requests without ``traceparent`` for which spans are written."""

    share: Share


class GatewaySettings(TypedDict):
    """Settings of one gateway process.

    ``grace_s`` is the time from SIGTERM to SIGKILL; ``peer_address`` receives datagrams from other
    gateways and from rank agents.
    """

    gateway_id: Name
    failure_domain: Name
    caller_address: Address
    ready_address: Address
    metrics_address: Address
    peer_address: Address
    store_address: Address
    grace_s: Seconds
    retry_budget: RetryBudgetSettings
    machine: NotRequired[MachineSettings]
    log: NotRequired[LogSettings]
    traces: NotRequired[TraceSettings]
