"""Detects that the instance was suspended, from a jump between two clocks."""

from __future__ import annotations

import time

from bronzerudder.clock import elapsed_s

MIN_SUSPENSION_S = 0.5
"""Drift between the clocks that is more than scheduling can explain, in seconds."""


class SuspensionDetector:
    """Compares the clock that counts time in suspend with the one that does not."""

    def __init__(self) -> None:
        self._offset_s = _offset_s()

    def check(self) -> float:
        """Return the seconds that the instance was suspended since the last report, or 0."""
        offset_s = _offset_s()
        suspended_s = offset_s - self._offset_s
        if suspended_s < MIN_SUSPENSION_S:
            return 0.0
        self._offset_s = offset_s
        return suspended_s


def _offset_s() -> float:
    return elapsed_s() - time.monotonic()
