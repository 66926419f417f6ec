"""Shape of a group's expert maps."""

from __future__ import annotations

from typing import NamedTuple


class MapBounds(NamedTuple):
    """What a rank can take: experts that it holds, and may load for a change, of each set."""

    places: int
    loads: int


class ExpertShape(NamedTuple):
    """Shape of a group's maps.

    Parameters
    ----------
    sets, experts : int
        Sets of layers, and experts in each.
    bounds : MapBounds
        What a rank can hold and load.
    step_target_s : float
        Time of a step below which events come in time with room to spare.
    """

    sets: int
    experts: int
    bounds: MapBounds
    step_target_s: float
