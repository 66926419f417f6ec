"""A short seeded run of the soak with backend servers that limit their rate."""

from __future__ import annotations

import asyncio
import pathlib
import random
import tempfile
import unittest

from bench.soak.deployment import SoakShape
from bench.soak.faults import LIMIT_KINDS, FaultKind, draw_faults, draw_limit_faults
from bench.soak.run import SoakRun

SEED = 12
SHAPE = SoakShape(gateways=3, ranks=2, callers=12, seconds=11.0, limits=True)


class LimitSoakTest(unittest.TestCase):
    def test_gateways_keep_to_limits_beside_a_restart(self):
        with tempfile.TemporaryDirectory() as directory:
            run = SoakRun(SEED, SHAPE, pathlib.Path(directory))
            violations = asyncio.run(run.run())
        self.assertEqual(violations, [], f"seed {SEED}")
        self.assertGreater(len(run.results), 100)

    def test_limits_are_drawn_for_runs_with_them_only(self):
        for seed in range(20):
            general = draw_faults(random.Random(seed), 20.0)
            self.assertFalse([fault for fault in general if fault.kind in LIMIT_KINDS])
            drawn = draw_limit_faults(random.Random(seed), 20.0, general)
            kinds = [fault.kind for fault in drawn]
            self.assertEqual(kinds.count(FaultKind.SERVERS_LIMITED), 1)
            self.assertEqual(drawn, sorted(drawn, key=lambda fault: fault.at_s))


if __name__ == "__main__":
    unittest.main()
