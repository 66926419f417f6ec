"""Settings of a stand-in rank."""

from __future__ import annotations

from typing import Annotated, NotRequired, TypedDict

import msgspec

from bronzerudder.settings.machine import MachineSettings


class StandinRankSettings(TypedDict):
    """Settings of one stand-in rank.

    ``address`` serves orders. ``step_peers`` are the ``host:port`` at which the ranks receive each
    other's readiness, in the order of ranks, this one included. ``history`` names a file to which
    the record of steps is appended; by default it goes to standard output.
    """

    address: str
    rank: Annotated[int, msgspec.Meta(ge=0)]
    step_peers: Annotated[list[str], msgspec.Meta(min_length=1)]
    step_time_s: NotRequired[Annotated[float, msgspec.Meta(gt=0, le=10)]]
    stage_time_s: NotRequired[Annotated[float, msgspec.Meta(ge=0, le=600)]]
    honours_terms: NotRequired[bool]
    history: NotRequired[str]
    machine: NotRequired[MachineSettings]
