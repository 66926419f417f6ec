"""Errors of an HTTP exchange."""

from __future__ import annotations

import enum
from typing import NamedTuple


class HttpErrorKind(enum.Enum):
    """What is known of a request whose exchange failed.

    ``NOT_SENT`` is proof that the peer has not run it; after the others it may have.
    """

    NOT_SENT = "not-sent"
    BROKEN = "broken"
    MALFORMED = "malformed"


class HttpError(NamedTuple):
    """Why an exchange failed; returned in place of a result."""

    kind: HttpErrorKind
    reason: str
