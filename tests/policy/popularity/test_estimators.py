"""Tests that estimates follow shifts and ignore noise."""

from __future__ import annotations

import unittest

import numpy as np

from bench.traces import GroupShape, SharpShiftTrace, SlowDriftTrace
from bench.traces.api import INTERVAL_S
from bronzerudder.policy.popularity import (
    DecayingEstimator,
    LoadObservation,
    ShiftFollowingEstimator,
)

SHAPE = GroupShape(ranks=8, slots_per_rank=10, experts=64, layers=4)
SHIFT_FOLLOWED_INTERVALS = 8
FOLLOWED_DISTANCE = 0.08


def observe(estimator, trace, interval):
    tokens = trace.sample_steps(interval).sum(axis=0)
    estimator.observe(LoadObservation(tokens, INTERVAL_S))
    return tokens / tokens.sum(axis=1, keepdims=True)


def distance(first, second):
    return float(np.abs(first - second).sum(axis=1).mean() / 2)


class DecayingEstimatorTest(unittest.TestCase):
    def test_an_observation_counts_half_after_the_half_life(self):
        estimator = DecayingEstimator(half_life_s=60.0)
        estimator.observe(LoadObservation(np.array([[1.0, 0.0]]), 6000.0))
        estimator.observe(LoadObservation(np.array([[0.0, 1.0]]), 60.0))
        np.testing.assert_allclose(estimator.estimate(), [[0.5, 0.5]], atol=1e-6)

    def test_a_period_without_tokens_is_passed_over(self):
        estimator = DecayingEstimator(half_life_s=60.0)
        estimator.observe(LoadObservation(np.zeros((1, 2)), 60.0))
        self.assertIsNone(estimator.estimate())


class ShiftFollowingEstimatorTest(unittest.TestCase):
    def test_a_sharp_shift_is_followed_within_minutes(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                trace = SharpShiftTrace(seed, SHAPE)
                estimator = ShiftFollowingEstimator()
                ramp_end = trace.shift_at + 5
                for interval in range(trace.shift_at - 60, ramp_end + SHIFT_FOLLOWED_INTERVALS):
                    observe(estimator, trace, interval)
                settled = np.mean(
                    [observe(DecayingEstimator(1.0), trace, ramp_end + i) for i in range(30)],
                    axis=0,
                )
                self.assertEqual(estimator.shift_count, 1)
                self.assertLess(distance(estimator.estimate(), settled), FOLLOWED_DISTANCE)

    def test_noise_and_slow_drift_are_no_shift(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                estimator = ShiftFollowingEstimator()
                trace = SlowDriftTrace(seed, SHAPE)
                for interval in range(240):
                    observe(estimator, trace, interval)
                sharp_shift = SharpShiftTrace(seed, SHAPE)
                before_shift = ShiftFollowingEstimator()
                for interval in range(240):
                    observe(before_shift, sharp_shift, interval)
                self.assertEqual((estimator.shift_count, before_shift.shift_count), (0, 0))

    def test_the_estimate_is_calmer_than_the_observations(self):
        trace = SharpShiftTrace(5, SHAPE)
        estimator = ShiftFollowingEstimator()
        estimates, observations = [], []
        for interval in range(120):
            observations.append(observe(estimator, trace, interval))
            estimates.append(estimator.estimate())
        steps = range(60, 119)
        estimate_change = np.mean([distance(estimates[i], estimates[i + 1]) for i in steps])
        observation_change = np.mean(
            [distance(observations[i], observations[i + 1]) for i in steps]
        )
        self.assertLess(estimate_change, observation_change / 5)


if __name__ == "__main__":
    unittest.main()
