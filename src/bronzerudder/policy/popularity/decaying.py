"""Averages popularity with exponential decay."""

from __future__ import annotations

import math

import numpy as np

from bronzerudder.policy.popularity.api import (
    LoadObservation,
    PopularityEstimator,
    shares_of_tokens,
)


class DecayingEstimator(PopularityEstimator):
    """Average of all observations whose weight halves with every half-life.

    Parameters
    ----------
    half_life_s : float
        Seconds after which the weight of an observation has halved.
    """

    def __init__(self, half_life_s: float) -> None:
        self._decay_rate = math.log(2) / half_life_s
        self._total: np.ndarray | None = None
        self._weight = 0.0

    def observe(self, observation: LoadObservation) -> None:
        """Add an observation."""
        shares = shares_of_tokens(observation.tokens)
        if shares is None:
            return
        kept = math.exp(-self._decay_rate * observation.period_s)
        fresh = 1 - kept
        previous = 0.0 if self._total is None else self._total * kept
        self._total = previous + fresh * shares
        self._weight = self._weight * kept + fresh

    def estimate(self) -> np.ndarray | None:
        """Return the average so far, unbiased from the first observation on."""
        if self._total is None:
            return None
        return self._total / self._weight
