"""Settings of an agent's membership of a lock-step group."""

from __future__ import annotations

from typing import Annotated, NotRequired, TypedDict

import msgspec


class RankGroupSettings(TypedDict):
    """Rank and peers of this agent in its group.

    ``peers`` holds ``host:port`` of every rank's agent in rank order, this one included;
    ``engine_url`` is the control address of this rank's engine; ``initial_map`` is the map on which
    the group is formed while no committed one is known.
    """

    group: str
    rank: Annotated[int, msgspec.Meta(ge=0, le=65_535)]
    peers: Annotated[list[str], msgspec.Meta(min_length=1)]
    engine_url: str
    initial_map: NotRequired[str]
