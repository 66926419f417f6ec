"""Settings of a stand-in rank."""

from __future__ import annotations

from typing import Annotated, NotRequired, TypedDict

import msgspec


class StandinRankSettings(TypedDict):
    """Settings of one stand-in rank.

    ``address`` is where orders are taken and ``step_peers`` holds the ``host:port`` at which each
    rank hears of the others' readiness, in the order of ranks, this one included. ``history`` names
    a file to append the record of steps to; it goes to standard output otherwise.
    """

    address: str
    rank: Annotated[int, msgspec.Meta(ge=0)]
    step_peers: Annotated[list[str], msgspec.Meta(min_length=1)]
    step_time_s: NotRequired[Annotated[float, msgspec.Meta(gt=0, le=10)]]
    stage_time_s: NotRequired[Annotated[float, msgspec.Meta(ge=0, le=600)]]
    honours_terms: NotRequired[bool]
    history: NotRequired[str]
