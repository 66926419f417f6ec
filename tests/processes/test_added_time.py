"""Latency that entry and agent add to the first token, at half load."""

from __future__ import annotations

from bench import path
from bench.harness import Deployment, Shape
from tests.processes.case import ProcessTestCase

SHAPE = Shape(
    engines=1,
    engine={"step_time_s": path.STEP_TIME_S, "max_batch": 256},
    agent_backend_server={"max_running": 256},
)


class AddedTimeTest(ProcessTestCase):
    async def test_first_token_at_half_load(self):
        with Deployment(SHAPE) as deployment:
            compared = await path.compare(deployment, path.HALF_LOAD_STREAMS_PER_S)
        self.assertLessEqual(compared.added_first_ms(0.5), path.TARGET_MEDIAN_MS)
        self.assertLessEqual(compared.added_first_ms(0.99), path.TARGET_99TH_MS)
