"""The clock for what must not outlast a suspension of the instance."""

from __future__ import annotations

import time


def elapsed_s() -> float:
    """Return the seconds of a steady clock that also counts the time spent in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
