"""Errors of the platform layer."""

from __future__ import annotations

import enum
from typing import NamedTuple


class StoreErrorKind(enum.Enum):
    """What went wrong with a call to the object API."""

    NOT_FOUND = "not-found"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    OUTCOME_UNKNOWN = "outcome-unknown"
    TOO_LARGE = "too-large"
    INVALID = "invalid"


class StoreError(NamedTuple):
    """A failed call to the object API, returned in place of its result.

    Parameters
    ----------
    kind : StoreErrorKind
        ``UNAVAILABLE`` means the call certainly had no effect; ``OUTCOME_UNKNOWN`` means a write
        may or may not have taken effect and must be settled by reading back.
    reason : str
        What a person should know.
    """

    kind: StoreErrorKind
    reason: str
