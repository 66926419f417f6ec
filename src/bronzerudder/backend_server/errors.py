"""Errors of the backend server layer."""

from __future__ import annotations

import enum
from typing import NamedTuple


class BackendErrorKind(enum.Enum):
    """What went wrong with a call to the backend server."""

    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    SILENT = "silent"


class BackendError(NamedTuple):
    """A failed call, returned in place of its result.

    Parameters
    ----------
    kind : BackendErrorKind
        ``UNREACHABLE`` proves that the backend server never received the call; the others leave
        open whether it ran.
    reason : str
        What a person should know.
    """

    kind: BackendErrorKind
    reason: str
