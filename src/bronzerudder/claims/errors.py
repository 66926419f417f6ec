"""Errors of the claim layer."""

from __future__ import annotations

import enum
from typing import NamedTuple


class ClaimErrorKind(enum.Enum):
    """Why a claim was refused."""

    UNAVAILABLE = "unavailable"
    MISMATCH = "mismatch"


class ClaimError(NamedTuple):
    """A refused claim; the request that asked for it has not started and will not.

    Parameters
    ----------
    kind : ClaimErrorKind
        ``UNAVAILABLE`` when the platform could not record the claim; ``MISMATCH`` when the key
        belongs to a request with another fingerprint, which no retry changes.
    reason : str
        What a person should know.
    retry_after_s : float
        When to try again, in seconds; 0 where that does not help.
    """

    kind: ClaimErrorKind
    reason: str
    retry_after_s: float
