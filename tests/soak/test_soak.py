"""Short seeded runs of the soak, and runs of the seeds that once failed."""

from __future__ import annotations

import asyncio
import pathlib
import random
import tempfile
import unittest
from typing import NamedTuple

from bench.soak.deployment import SoakShape
from bench.soak.faults import ANSWER_KINDS, FaultKind, draw_answer_faults, draw_faults
from bench.soak.run import SoakRun

SHORT_SEED = 6
SHORT_S = 6.0


class FailedSeed(NamedTuple):
    """A seed that failed because of a fault of the product, with the cause."""

    seed: int
    shape: SoakShape
    cause: str


FAILED_SEEDS = (
    FailedSeed(
        201,
        SoakShape(gateways=12, ranks=40, seconds=20.0),
        "recovery queried all ranks at once and gave up when one answered late",
    ),
)


class SoakTest(unittest.TestCase):
    def run_seed(self, seed, shape):
        with tempfile.TemporaryDirectory() as directory:
            run = SoakRun(seed, shape, pathlib.Path(directory))
            violations = asyncio.run(run.run())
        self.assertEqual(violations, [], f"seed {seed}")
        self.assertGreater(len(run.results), 100)

    def test_a_short_run_keeps_every_promise(self):
        self.run_seed(SHORT_SEED, SoakShape(seconds=SHORT_S))

    def test_seeds_that_failed_keep_every_promise_now(self):
        for failed in FAILED_SEEDS:
            self.run_seed(failed.seed, failed.shape)

    def test_a_seed_draws_the_same_faults_again(self):
        first = draw_faults(random.Random(5), 10.0)
        self.assertEqual(first, draw_faults(random.Random(5), 10.0))
        self.assertTrue(all(fault.at_s < 10.0 for fault in first))

    def test_faulty_answers_are_drawn_for_runs_with_them_only(self):
        for seed in range(20):
            general = draw_faults(random.Random(seed), 20.0)
            self.assertFalse([fault for fault in general if fault.kind in ANSWER_KINDS])
            drawn = draw_answer_faults(random.Random(seed), 20.0, general)
            self.assertEqual(sum(fault.kind is FaultKind.PROMPTS_CRASH for fault in drawn), 1)
            self.assertIn(FaultKind.ANSWERS_FAULTY, {fault.kind for fault in drawn})
            self.assertEqual(drawn, sorted(drawn, key=lambda fault: fault.at_s))


if __name__ == "__main__":
    unittest.main()
