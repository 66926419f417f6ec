"""Errors of the control interface of a rank's engine."""

from __future__ import annotations

import enum
from typing import NamedTuple


class RankEngineErrorKind(enum.Enum):
    """Why an order to an engine failed."""

    UNREACHABLE = "unreachable"
    STALE_TERM = "stale-term"
    STEP_PASSED = "step-passed"
    HELD = "held"
    NOT_HELD = "not-held"
    NOT_STAGED = "not-staged"
    INVALID = "invalid"


class RankEngineError(NamedTuple):
    """A failed order, returned instead of its result.

    Parameters
    ----------
    kind : RankEngineErrorKind
        After ``UNREACHABLE``, which includes an answer that cannot be decoded, the order may have
        taken effect; after any other kind it has not.
    reason : str
        Explanation for logs and operators.
    """

    kind: RankEngineErrorKind
    reason: str
