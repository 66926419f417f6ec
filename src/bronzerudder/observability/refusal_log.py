"""Log lines about callers that were refused, bounded in number whatever callers do."""

from __future__ import annotations

import time
from collections.abc import Callable

INTERVAL_S = 0.5
MAX_REASONS = 16
"""Reasons that are told apart in one interval; they may contain what callers sent."""
OTHER_REASONS = "other reasons"


class RefusalLog:
    """Writes one line for each reason and interval, with the number of refusals.

    Parameters
    ----------
    write : callable
        Writes one line; called with the fields ``status``, ``reason`` and ``count``.
    """

    def __init__(self, write: Callable[..., None]) -> None:
        self._write = write
        self._counts: dict[tuple[int, str], int] = {}
        self._next_line_s = 0.0

    def add(self, status: int, reason: str) -> None:
        """Record a refusal; ``status`` is 0 if the connection was closed without an answer."""
        key = (status, reason)
        if key not in self._counts and len(self._counts) >= MAX_REASONS:
            key = (status, OTHER_REASONS)
        self._counts[key] = self._counts.get(key, 0) + 1
        self.write_due()

    def write_due(self) -> None:
        """Write the lines of an interval that is over."""
        now_s = time.monotonic()
        if not self._counts or now_s < self._next_line_s:
            return
        self._next_line_s = now_s + INTERVAL_S
        counts, self._counts = self._counts, {}
        for (status, reason), count in counts.items():
            self._write(status=status, reason=reason, count=count)
