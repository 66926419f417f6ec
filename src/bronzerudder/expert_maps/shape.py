"""Shape of a group's expert maps."""

from __future__ import annotations

from typing import NamedTuple


class MapBounds(NamedTuple):
    """Limits of a rank for each set of layers: experts held, and experts loaded in one change."""

    slots_per_rank: int
    loads_per_change: int


class ExpertShape(NamedTuple):
    """Shape of a group's maps.

    Parameters
    ----------
    sets, experts : int
        Sets of layers that share a placement, and experts in each.
    bounds : MapBounds
        Limits of a rank.
    step_target_s : float
        Step time below which streamed events are on time with a margin; no change is needed then.
    load_s : float
        Time to load one expert by the configured size and bandwidth; 0 if not known.
    """

    sets: int
    experts: int
    bounds: MapBounds
    step_target_s: float
    load_s: float = 0.0
