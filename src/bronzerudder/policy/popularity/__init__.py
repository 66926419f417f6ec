"""Estimates the popularity of each expert."""

from __future__ import annotations

from bronzerudder.policy.popularity.api import LoadObservation, PopularityEstimator
from bronzerudder.policy.popularity.decaying import DecayingEstimator
from bronzerudder.policy.popularity.shift_following import ShiftFollowingEstimator

__all__ = [
    "DecayingEstimator",
    "LoadObservation",
    "PopularityEstimator",
    "ShiftFollowingEstimator",
]
