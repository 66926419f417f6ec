"""Errors of the backend server layer."""

from __future__ import annotations

import enum
from typing import NamedTuple


class BackendErrorKind(enum.Enum):
    """Why a call to the backend server failed."""

    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    UNRESPONSIVE = "silent"


class BackendError(NamedTuple):
    """A failed call, returned instead of its result.

    Parameters
    ----------
    kind : BackendErrorKind
        ``UNREACHABLE`` proves that the backend server never received the call. After the others it
        may have run: ``BROKEN`` means that the connection failed; ``UNRESPONSIVE``, that no data
        was received in time.
    reason : str
        Explanation for logs and operators.
    """

    kind: BackendErrorKind
    reason: str
