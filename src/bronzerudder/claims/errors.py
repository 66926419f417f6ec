"""Errors of the claim layer."""

from __future__ import annotations

import enum
from typing import NamedTuple


class ClaimErrorKind(enum.Enum):
    """Why a claim was refused."""

    UNAVAILABLE = "unavailable"
    MISMATCH = "mismatch"


class ClaimError(NamedTuple):
    """A refused claim; its request has not been started and must not be.

    Parameters
    ----------
    kind : ClaimErrorKind
        ``UNAVAILABLE`` when the platform could not record the claim; ``MISMATCH`` when the key
        was used for a request with another fingerprint; a retry cannot succeed.
    reason : str
        Explanation for the caller.
    retry_after_s : float
        Delay before a retry, in seconds; 0 where a retry does not help.
    """

    kind: ClaimErrorKind
    reason: str
    retry_after_s: float
