"""Errors of the control side of a rank's engine."""

from __future__ import annotations

import enum
from typing import NamedTuple


class RankEngineErrorKind(enum.Enum):
    """Why an engine didn't carry out an order."""

    UNREACHABLE = "unreachable"
    STALE_TERM = "stale-term"
    STEP_PASSED = "step-passed"
    HELD = "held"
    NOT_HELD = "not-held"
    NOT_STAGED = "not-staged"
    INVALID = "invalid"


class RankEngineError(NamedTuple):
    """A failed order, returned in place of its result.

    Parameters
    ----------
    kind : RankEngineErrorKind
        ``UNREACHABLE`` leaves open whether the order took effect; every other kind says that it
        had no effect.
    reason : str
        What a person should know.
    """

    kind: RankEngineErrorKind
    reason: str
