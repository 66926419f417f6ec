"""Defines the JSON form of the rows of the two tables that operators edit."""

from __future__ import annotations

from typing import Annotated, Literal, NotRequired, TypedDict

import msgspec

from bronzerudder.settings.fields import Address, Name, Seconds, Share

ROUTE_KIND = "route"
POOL_KIND = "pool"
ANY = "*"


class RouteRow(TypedDict):
    """Which requests go to which pool, with their deadline, priority and limits.

    ``workspaces`` and ``models`` hold exact names or ``*``; ``paths`` hold path prefixes.
    ``weight`` is each workspace's share of a contended pool relative to the workspaces of other
    routes.
    """

    workspaces: Annotated[list[Name], msgspec.Meta(min_length=1)]
    paths: Annotated[list[Name], msgspec.Meta(min_length=1)]
    models: NotRequired[list[Name]]
    pool: Name
    deadline_s: Seconds
    repeatable: bool
    priority: NotRequired[Annotated[int, msgspec.Meta(ge=-100, le=100)]]
    weight: NotRequired[Annotated[int, msgspec.Meta(ge=1, le=1000)]]
    rate_limit_rps: NotRequired[Annotated[float, msgspec.Meta(gt=0)]]
    concurrency_limit: NotRequired[Annotated[int, msgspec.Meta(ge=1)]]


class BackendServerRow(TypedDict):
    """One backend server of a pool, reached through the agent next to it.

    ``rank`` is its rank in the pool's lock-step group.
    """

    name: Name
    agent_address: Address
    failure_domain: Name
    rank: NotRequired[Annotated[int, msgspec.Meta(ge=0, le=4095)]]


class GroupRow(TypedDict):
    """Size of a lock-step group of ranks, and the weights of its placement costs.

    ``skew_weight`` and ``rebalancing_weight`` balance step-time skew against the cost of moving
    experts.
    """

    ranks: Annotated[int, msgspec.Meta(ge=1, le=4096)]
    experts: Annotated[int, msgspec.Meta(ge=1, le=4096)]
    layers: Annotated[int, msgspec.Meta(ge=1, le=1024)]
    skew_weight: Share
    rebalancing_weight: Share


class PoolRow(TypedDict):
    """The backend servers of a named pool.

    ``checks_fencing`` is whether the backend servers themselves refuse an order with an outdated
    fencing number.
    """

    kind: Literal["engine", "service"]
    backend_servers: list[BackendServerRow]
    checks_fencing: NotRequired[bool]
    group: NotRequired[GroupRow]
