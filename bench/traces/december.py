"""December at the turkey desk: a sharp shift, a daily rhythm and noise."""

from __future__ import annotations

import math

import numpy as np

from bench.traces.api import GroupShape, Trace, normalise

BEFORE = np.array([0.12, 0.10, 0.30, 0.20, 0.18, 0.10])
AFTER = np.array([0.42, 0.34, 0.08, 0.06, 0.06, 0.04])
SHIFT_INTERVALS = 5
EARLIEST_SHIFT = 400
LATEST_SHIFT = 900
DAY_INTERVALS = 1440
RHYTHM = np.array([0.25, -0.25, 0.3, -0.3, 0.0, 0.0])
LOWEST_LEVEL = 0.4
INTERVAL_NOISE = 0.20


class DecemberTrace(Trace):
    """A day in which dietary and pickup questions swamp the desk within five minutes."""

    topics = ("dietary", "pickup", "farms", "prices", "care homes", "other")
    interval_count = DAY_INTERVALS

    def __init__(self, seed: int, shape: GroupShape) -> None:
        super().__init__(seed, shape)
        self._shift_at = int(self._random.integers(EARLIEST_SHIFT, LATEST_SHIFT))

    @property
    def shift_at(self) -> int:
        """Interval in which the shift begins."""
        return self._shift_at

    def _mix(self, interval: int) -> np.ndarray:
        progress = min(1.0, max(0.0, (interval - self._shift_at) / SHIFT_INTERVALS))
        shifted = BEFORE * (1 - progress) + AFTER * progress
        rhythm = RHYTHM * math.sin(2 * math.pi * interval / DAY_INTERVALS)
        noise = self._random.normal(0.0, INTERVAL_NOISE, shifted.shape)
        return normalise(shifted * np.exp(rhythm + noise))

    def _level(self, interval: int) -> float:
        swing = 0.5 - 0.5 * math.cos(2 * math.pi * interval / DAY_INTERVALS)
        return LOWEST_LEVEL + (1 - LOWEST_LEVEL) * swing
