"""Errors of the placement layer."""

from __future__ import annotations

import enum
from typing import NamedTuple


class PlacementErrorKind(enum.Enum):
    """What went wrong in the placement layer."""

    MALFORMED = "malformed"
    INCOMPLETE = "incomplete"
    SHAPE = "shape"


class PlacementError(NamedTuple):
    """A failure of the placement layer, returned in place of its result.

    Parameters
    ----------
    kind : PlacementErrorKind
        ``MALFORMED`` means bytes that are not an expert map; ``INCOMPLETE`` a map in which some
        expert of some layer has no slot; ``SHAPE`` arrays that don't belong together.
    reason : str
        What a person should know.
    """

    kind: PlacementErrorKind
    reason: str
