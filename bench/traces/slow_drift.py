"""Trace with a slow popularity drift and noise (Inanga Youth Auditions, spring)."""

from __future__ import annotations

import numpy as np

from bench.traces.api import GroupShape, Trace, normalise

START = np.array([0.35, 0.15, 0.10, 0.15, 0.15, 0.10])
END = np.array([0.10, 0.40, 0.30, 0.06, 0.07, 0.07])
RANDOM_WALK_SIGMA = 0.02
RANDOM_WALK_DECAY = 0.995
INTERVAL_NOISE = 0.10


class SlowDriftTrace(Trace):
    """Twelve hours; repertoire and accompanist questions gradually come to dominate."""

    topics = ("audition slots", "repertoire", "accompanists", "travel", "fees", "other")
    interval_count = 720

    def __init__(self, seed: int, shape: GroupShape) -> None:
        super().__init__(seed, shape)
        self._random_walk = np.zeros(len(self.topics))

    def _mix(self, interval: int) -> np.ndarray:
        progress = interval / self.interval_count
        self._random_walk *= RANDOM_WALK_DECAY
        self._random_walk += self._random.normal(0.0, RANDOM_WALK_SIGMA, self._random_walk.shape)
        noise = self._random.normal(0.0, INTERVAL_NOISE, self._random_walk.shape)
        drifted = START * (1 - progress) + END * progress
        return normalise(drifted * np.exp(self._random_walk + noise))
