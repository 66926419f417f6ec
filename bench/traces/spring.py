"""Spring at Inanga Youth Auditions: slow drift towards repertoire and accompanists."""

from __future__ import annotations

import numpy as np

from bench.traces.api import GroupShape, Trace, normalise

START = np.array([0.35, 0.15, 0.10, 0.15, 0.15, 0.10])
END = np.array([0.10, 0.40, 0.30, 0.06, 0.07, 0.07])
WANDER_PER_INTERVAL = 0.02
WANDER_DECAY = 0.995
INTERVAL_NOISE = 0.10


class SpringTrace(Trace):
    """Twelve hours in which questions of repertoire and accompanists come to dominate."""

    topics = ("audition slots", "repertoire", "accompanists", "travel", "fees", "other")
    interval_count = 720

    def __init__(self, seed: int, shape: GroupShape) -> None:
        super().__init__(seed, shape)
        self._wander = np.zeros(len(self.topics))

    def _mix(self, interval: int) -> np.ndarray:
        progress = interval / self.interval_count
        self._wander *= WANDER_DECAY
        self._wander += self._random.normal(0.0, WANDER_PER_INTERVAL, self._wander.shape)
        noise = self._random.normal(0.0, INTERVAL_NOISE, self._wander.shape)
        drifted = START * (1 - progress) + END * progress
        return normalise(drifted * np.exp(self._wander + noise))
