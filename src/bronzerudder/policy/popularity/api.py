"""Interface of a popularity estimator."""

from __future__ import annotations

import abc
from typing import NamedTuple

import numpy as np


class LoadObservation(NamedTuple):
    """Tokens that each expert of each layer processed over a period.

    Parameters
    ----------
    tokens : numpy.ndarray
        Shape ``(layers, experts)``, summed over the replicas of an expert.
    period_s : float
        Length of the period in seconds.
    """

    tokens: np.ndarray
    period_s: float


class PopularityEstimator(abc.ABC):
    """Estimates the share of each layer's tokens that each expert processes."""

    @abc.abstractmethod
    def observe(self, observation: LoadObservation) -> None:
        """Add an observation; one in which a layer has no tokens is ignored."""

    @abc.abstractmethod
    def estimate(self) -> np.ndarray | None:
        """Shares in shape ``(layers, experts)``, or None before the first observation."""


def shares_of_tokens(tokens: np.ndarray) -> np.ndarray | None:
    """Scale each layer's tokens to a sum of one; None when a layer has no tokens."""
    totals = tokens.sum(axis=1, keepdims=True)
    if not (totals > 0).all():
        return None
    return tokens / totals
