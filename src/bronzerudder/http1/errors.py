"""Errors of an HTTP exchange."""

from __future__ import annotations

import enum
from typing import NamedTuple


class HttpErrorKind(enum.Enum):
    """How an exchange failed.

    ``NOT_SENT`` proves that the peer has not run the request. After the others it may have:
    ``BROKEN`` means that the connection failed; ``MALFORMED``, that the answer was not valid HTTP.
    """

    NOT_SENT = "not-sent"
    BROKEN = "broken"
    MALFORMED = "malformed"


class HttpError(NamedTuple):
    """A failed exchange, returned instead of its result."""

    kind: HttpErrorKind
    reason: str
