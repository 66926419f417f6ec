"""Averages popularity over a long time and restarts when it detects a shift."""

from __future__ import annotations

import math

import numpy as np

from bronzerudder.policy.popularity.api import LoadObservation, PopularityEstimator
from bronzerudder.policy.popularity.decaying import DecayingEstimator

SLOW_HALF_LIFE_S = 300.0
FAST_HALF_LIFE_S = 60.0
BASELINE_HALF_LIFE_S = 3600.0
SHIFT_DEVIATIONS = 5.0
MIN_SHIFT_EXCESS = 0.04
WARM_UP_PERIODS = 5


class ShiftFollowingEstimator(PopularityEstimator):
    """A slow average that restarts when a fast average diverges from it.

    The distance between the averages is half the sum of absolute differences, averaged over the
    layers. A shift is detected when the distance exceeds its long-term baseline by more than
    `SHIFT_DEVIATIONS` mean deviations and by more than `MIN_SHIFT_EXCESS`. Noise alone raises the
    baseline, not the excess over it.
    """

    def __init__(self) -> None:
        self._slow = DecayingEstimator(SLOW_HALF_LIFE_S)
        self._fast = DecayingEstimator(FAST_HALF_LIFE_S)
        self._baseline = 0.0
        self._deviation = 0.0
        self._periods = 0
        self._shift_count = 0

    @property
    def shift_count(self) -> int:
        """Number of shifts detected."""
        return self._shift_count

    def observe(self, observation: LoadObservation) -> None:
        """Add an observation."""
        self._slow.observe(observation)
        self._fast.observe(observation)
        slow = self._slow.estimate()
        fast = self._fast.estimate()
        if slow is None or fast is None:
            return
        self._periods += 1
        distance = float(np.abs(fast - slow).sum(axis=1).mean() / 2)
        if self._is_shift(distance):
            self._restart(observation)
            return
        self._update_baseline(distance, observation.period_s)

    def estimate(self) -> np.ndarray | None:
        """Return the slow average since the last shift."""
        return self._slow.estimate()

    def _is_shift(self, distance: float) -> bool:
        if self._periods <= WARM_UP_PERIODS:
            return False
        excess = distance - self._baseline
        return excess > max(MIN_SHIFT_EXCESS, SHIFT_DEVIATIONS * self._deviation)

    def _restart(self, observation: LoadObservation) -> None:
        self._shift_count += 1
        self._periods = 0
        self._slow = DecayingEstimator(SLOW_HALF_LIFE_S)
        self._fast = DecayingEstimator(FAST_HALF_LIFE_S)
        self._slow.observe(observation)
        self._fast.observe(observation)

    def _update_baseline(self, distance: float, period_s: float) -> None:
        baseline_weight = 1 - math.exp(-math.log(2) * period_s / BASELINE_HALF_LIFE_S)
        fresh = max(baseline_weight, 1 / (self._periods + 1))
        self._deviation += fresh * (abs(distance - self._baseline) - self._deviation)
        self._baseline += fresh * (distance - self._baseline)
