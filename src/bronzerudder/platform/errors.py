"""Errors of the platform layer."""

from __future__ import annotations

import enum
from typing import NamedTuple


class StoreErrorKind(enum.Enum):
    """Why a call to the object API failed."""

    NOT_FOUND = "not-found"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    OUTCOME_UNKNOWN = "outcome-unknown"
    TOO_LARGE = "too-large"
    INVALID = "invalid"


class StoreError(NamedTuple):
    """A failed call to the object API, returned instead of its result.

    Parameters
    ----------
    kind : StoreErrorKind
        ``UNAVAILABLE`` means that the call certainly had no effect; ``OUTCOME_UNKNOWN``, that a
        write may or may not have taken effect, which the caller must find out by reading back.
    reason : str
        Explanation for logs and operators.
    """

    kind: StoreErrorKind
    reason: str
