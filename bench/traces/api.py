"""Base class of traces: expert popularity as a mix of topics, sampled step by step."""

from __future__ import annotations

import abc
from typing import NamedTuple

import numpy as np

INTERVAL_S = 60.0
STEPS_SAMPLED = 8
TOKENS_PER_RANK = 128
EXPERTS_PER_TOKEN = 8
AFFINITY_SIGMA = 1.0


class GroupShape(NamedTuple):
    """Shape of the group that a trace is generated for."""

    ranks: int = 16
    slots_per_rank: int = 5
    experts: int = 64
    layers: int = 16


class Trace(abc.ABC):
    """A seeded series of intervals, each with a few sampled steps.

    Each topic has its own affinity to the experts of each layer. A step's tokens are drawn from
    the current mix of topics; subclasses define how the mix changes over time.
    """

    topics: tuple[str, ...] = ()
    interval_count: int = 0

    def __init__(self, seed: int, shape: GroupShape) -> None:
        self._random = np.random.default_rng(seed)
        self._shape = shape
        size = (len(self.topics), shape.layers, shape.experts)
        affinity = self._random.lognormal(0.0, AFFINITY_SIGMA, size)
        self._affinity = affinity / affinity.sum(axis=2, keepdims=True)

    @property
    def shape(self) -> GroupShape:
        """Shape of the group."""
        return self._shape

    def sample_steps(self, interval: int) -> np.ndarray:
        """Sample the tokens of each step, in shape ``(steps, layers, experts)``."""
        steps = []
        mix = self._mix(interval)
        tokens = int(
            self._shape.ranks * TOKENS_PER_RANK * EXPERTS_PER_TOKEN * self._level(interval)
        )
        for _ in range(STEPS_SAMPLED):
            step_mix = mix * self._random.lognormal(0.0, self._step_noise(), mix.shape)
            step_mix /= step_mix.sum()
            popularity = np.tensordot(step_mix, self._affinity, axes=1)
            steps.append(self._random.multinomial(tokens, popularity))
        return np.array(steps)

    @abc.abstractmethod
    def _mix(self, interval: int) -> np.ndarray:
        """Share of each topic in an interval."""

    def _level(self, interval: int) -> float:
        """Traffic in an interval as a share of the peak."""
        return 1.0

    def _step_noise(self) -> float:
        """Return the standard deviation of the log of a topic's share between steps."""
        return 0.05


def normalise(weights: np.ndarray) -> np.ndarray:
    """Scale weights to a sum of one."""
    return weights / weights.sum()
