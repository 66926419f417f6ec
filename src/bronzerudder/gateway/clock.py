"""Notices that the machine stood still."""

from __future__ import annotations

import time

STANDSTILL_S = 0.5
"""A difference between the clocks that is more than scheduling can explain."""


class StandstillDetector:
    """Compares the clock that counts time asleep with the one that does not."""

    def __init__(self) -> None:
        self._offset_s = _offset_s()

    def check(self) -> float:
        """Return the seconds that the machine stood still since the last call, or 0."""
        offset_s = _offset_s()
        stood_s = offset_s - self._offset_s
        if stood_s < STANDSTILL_S:
            return 0.0
        self._offset_s = offset_s
        return stood_s


def _offset_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
