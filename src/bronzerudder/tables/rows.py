"""Rows of the two tables that operators edit, in their JSON form."""

from __future__ import annotations

from typing import Annotated, Literal, NotRequired, TypedDict

import msgspec

from bronzerudder.settings.fields import Address, Name, Seconds, Share

ROUTE_KIND = "route"
POOL_KIND = "pool"
ANY = "*"


class RouteRow(TypedDict):
    """Which traffic goes to which pool, and on what terms.

    ``workspaces`` and ``models`` hold exact names or ``*``; ``paths`` hold path prefixes.
    ``weight`` is each workspace's share of a crowded pool against the workspaces of other routes.
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
    """One backend server of a pool, reached through the agent beside it.

    ``rank`` is its place in the pool's group of ranks.
    """

    name: Name
    agent_address: Address
    failure_domain: Name
    rank: NotRequired[Annotated[int, msgspec.Meta(ge=0, le=4095)]]


class GroupRow(TypedDict):
    """Shape of a group of ranks that runs in lock-step, and what its terms weigh.

    ``skew_weight`` and ``rebalancing_weight`` set how much step-time skew counts against the cost
    of moving experts.
    """

    ranks: Annotated[int, msgspec.Meta(ge=1, le=4096)]
    experts: Annotated[int, msgspec.Meta(ge=1, le=4096)]
    layers: Annotated[int, msgspec.Meta(ge=1, le=1024)]
    skew_weight: Share
    rebalancing_weight: Share


class PoolRow(TypedDict):
    """The backend servers behind a name.

    ``checks_fencing`` says whether the backend servers themselves refuse an order that carries an
    old fencing number.
    """

    kind: Literal["engine", "service"]
    backend_servers: list[BackendServerRow]
    checks_fencing: NotRequired[bool]
    group: NotRequired[GroupRow]
