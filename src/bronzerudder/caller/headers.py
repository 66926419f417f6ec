"""Names of the headers exchanged with callers."""

from __future__ import annotations

from typing import NamedTuple

IDEMPOTENCY_KEY = "idempotency-key"
RETRY_AFTER = "retry-after"


class CallerHeaders(NamedTuple):
    """Header names that the settings may change, in lower case."""

    workspace: str = "bronzerudder-workspace"
    deadline: str = "bronzerudder-timeout-s"
    outcome: str = "bronzerudder-outcome"
    replayed: str = "bronzerudder-replayed"
