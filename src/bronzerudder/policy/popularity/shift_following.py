"""Averages popularity over a long time, and starts anew when it has shifted."""

from __future__ import annotations

import math

import numpy as np

from bronzerudder.policy.popularity.api import LoadObservation, PopularityEstimator
from bronzerudder.policy.popularity.decaying import DecayingEstimator

SLOW_HALF_LIFE_S = 300.0
FAST_HALF_LIFE_S = 60.0
USUAL_HALF_LIFE_S = 3600.0
SHIFT_DEVIATIONS = 5.0
LEAST_SHIFT = 0.04
WARM_UP_PERIODS = 5


class ShiftFollowingEstimator(PopularityEstimator):
    """A slow average that is replaced by a fast one when the two draw apart.

    The distance between the averages is half the sum of absolute differences, averaged over the
    layers. It is a shift when it exceeds what is usual for this traffic by `SHIFT_DEVIATIONS`
    mean deviations, and `LEAST_SHIFT`; noise alone makes the usual distance large, not the
    excess.
    """

    def __init__(self) -> None:
        self._slow = DecayingEstimator(SLOW_HALF_LIFE_S)
        self._fast = DecayingEstimator(FAST_HALF_LIFE_S)
        self._usual = 0.0
        self._deviation = 0.0
        self._periods = 0
        self._shift_count = 0

    @property
    def shift_count(self) -> int:
        """Shifts seen so far."""
        return self._shift_count

    def observe(self, observation: LoadObservation) -> None:
        """Take in what a period showed."""
        self._slow.observe(observation)
        self._fast.observe(observation)
        slow = self._slow.estimate()
        fast = self._fast.estimate()
        if slow is None or fast is None:
            return
        self._periods += 1
        distance = float(np.abs(fast - slow).sum(axis=1).mean() / 2)
        if self._is_shift(distance):
            self._start_anew(observation)
            return
        self._learn_usual(distance, observation.period_s)

    def estimate(self) -> np.ndarray | None:
        """Shares of the present regime."""
        return self._slow.estimate()

    def _is_shift(self, distance: float) -> bool:
        if self._periods <= WARM_UP_PERIODS:
            return False
        excess = distance - self._usual
        return excess > max(LEAST_SHIFT, SHIFT_DEVIATIONS * self._deviation)

    def _start_anew(self, observation: LoadObservation) -> None:
        self._shift_count += 1
        self._periods = 0
        self._slow = DecayingEstimator(SLOW_HALF_LIFE_S)
        self._fast = DecayingEstimator(FAST_HALF_LIFE_S)
        self._slow.observe(observation)
        self._fast.observe(observation)

    def _learn_usual(self, distance: float, period_s: float) -> None:
        usual_weight = 1 - math.exp(-math.log(2) * period_s / USUAL_HALF_LIFE_S)
        fresh = max(usual_weight, 1 / (self._periods + 1))
        self._deviation += fresh * (abs(distance - self._usual) - self._deviation)
        self._usual += fresh * (distance - self._usual)
