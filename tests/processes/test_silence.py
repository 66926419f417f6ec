"""Guards against streams that stall when a connection stops passing data but stays open.

New connections work, so each stream must be resumed through one of them.
"""

from __future__ import annotations

from bench.harness import Deployment, Shape
from bench.harness.load import find_longest_gap_s
from tests.processes.case import ProcessTestCase

STREAMS = 10
TOKENS = 60
STEP_TIME_S = 0.05
SILENCE_AFTER_S = 1.0
DETECTION_S = 2.0
# Time to open the replacement connection and catch up on the missed tokens.
RECONNECT_S = 0.5


class SilenceTest(ProcessTestCase):
    async def test_between_entry_and_agent_in_each_direction(self):
        shape = Shape(engines=1, engine={"step_time_s": STEP_TIME_S}, agent_links=True)
        with Deployment(shape) as deployment:
            link = deployment.engines[0].agent_link
            for directions in ({"to_server": False}, {"to_client": False}, {}):
                with self.subTest(directions):
                    await self._check(deployment, lambda d=directions: link.drop_data(**d))

    async def test_between_agent_and_engine(self):
        shape = Shape(engines=1, engine={"step_time_s": STEP_TIME_S}, backend_links=True)
        with Deployment(shape) as deployment:
            link = deployment.engines[0].backend_link
            for directions in ({"to_server": False}, {}):
                with self.subTest(directions):
                    await self._check(deployment, lambda d=directions: link.drop_data(**d))

    async def _check(self, deployment, fault):
        entry = deployment.entries[0].address
        results = await self.stream_while(entry, STREAMS, TOKENS, SILENCE_AFTER_S, fault)
        self.assert_complete(results, TOKENS)
        for result in results:
            self.assertLess(find_longest_gap_s(result), DETECTION_S + RECONNECT_S)
