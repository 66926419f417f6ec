"""Errors of the placement package."""

from __future__ import annotations

import enum
from typing import NamedTuple


class PlacementErrorKind(enum.Enum):
    """Kinds of placement errors."""

    MALFORMED = "malformed"
    INCOMPLETE = "incomplete"
    SHAPE = "shape"


class PlacementError(NamedTuple):
    """A placement error, returned in place of a result.

    Parameters
    ----------
    kind : PlacementErrorKind
        ``MALFORMED``: the bytes do not encode an expert map. ``INCOMPLETE``: an expert of a layer
        has no slot. ``SHAPE``: arrays of inconsistent shape, or an index out of range.
    reason : str
        Human-readable cause.
    """

    kind: PlacementErrorKind
    reason: str
