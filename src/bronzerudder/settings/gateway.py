"""Settings of a gateway."""

from __future__ import annotations

from typing import Annotated, NotRequired, TypedDict

import msgspec

from bronzerudder.settings.fields import Address, Name, Seconds, Share

Rate = Annotated[float, msgspec.Meta(gt=0, le=100_000)]
Budget = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]


class RetryBudgetSettings(TypedDict):
    """Retries that all gateways together may send to a service in any window.

    ``share`` counts for each request of the window, ``extra`` besides.
    """

    share: Share
    extra: Budget
    window_s: Seconds


class LogSettings(TypedDict):
    """How much is logged: lines a second, and the share of requests with routine lines."""

    lines_per_s: NotRequired[Rate]
    sample_share: NotRequired[Share]


class TraceSettings(TypedDict):
    """Share of the requests without a trace of their own for which spans are written."""

    share: Share


class GatewaySettings(TypedDict):
    """Settings of one gateway process.

    ``grace_s`` is the time from SIGTERM to SIGKILL; ``peer_address`` takes messages of the
    system's other processes.
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
    log: NotRequired[LogSettings]
    traces: NotRequired[TraceSettings]
