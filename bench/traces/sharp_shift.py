"""Trace with a sharp popularity shift, a daily cycle and noise (turkey desk, December)."""

from __future__ import annotations

import math

import numpy as np

from bench.traces.api import GroupShape, Trace, normalise

BEFORE = np.array([0.12, 0.10, 0.30, 0.20, 0.18, 0.10])
AFTER = np.array([0.42, 0.34, 0.08, 0.06, 0.06, 0.04])
SHIFT_INTERVALS = 5
MIN_SHIFT_START = 400
MAX_SHIFT_START = 900
DAY_INTERVALS = 1440
DAILY_AMPLITUDE = np.array([0.25, -0.25, 0.3, -0.3, 0.0, 0.0])
MIN_LEVEL = 0.4
INTERVAL_NOISE = 0.20


class SharpShiftTrace(Trace):
    """One day; dietary and pickup questions come to dominate in `SHIFT_INTERVALS` (5 minutes)."""

    topics = ("dietary", "pickup", "farms", "prices", "care homes", "other")
    interval_count = DAY_INTERVALS

    def __init__(self, seed: int, shape: GroupShape) -> None:
        super().__init__(seed, shape)
        self._shift_at = int(self._random.integers(MIN_SHIFT_START, MAX_SHIFT_START))

    @property
    def shift_at(self) -> int:
        """Interval in which the shift begins."""
        return self._shift_at

    def _mix(self, interval: int) -> np.ndarray:
        progress = min(1.0, max(0.0, (interval - self._shift_at) / SHIFT_INTERVALS))
        shifted = BEFORE * (1 - progress) + AFTER * progress
        daily = DAILY_AMPLITUDE * math.sin(2 * math.pi * interval / DAY_INTERVALS)
        noise = self._random.normal(0.0, INTERVAL_NOISE, shifted.shape)
        return normalise(shifted * np.exp(daily + noise))

    def _level(self, interval: int) -> float:
        swing = 0.5 - 0.5 * math.cos(2 * math.pi * interval / DAY_INTERVALS)
        return MIN_LEVEL + (1 - MIN_LEVEL) * swing
