"""Guards against truncated or mixed answers when connections are cut or a process is killed."""

from __future__ import annotations

import random
import unittest

import anyio

from bench.harness import Deployment, Shape
from bench.harness.load import expected_text, find_longest_gap_s, open_client, stream_completion
from tests.processes.case import ProcessTestCase

SEED = 20261203
STREAMS = 200
TOKENS = 30
MOVED_STREAMS = 10
ENGINE = {"step_time_s": 0.05, "max_batch": 256}
AGENT_BACKEND_SERVER = {"max_running": 256}
FAULT_INTERVAL_S = 0.4
FAULTS = 5
MAX_DELAY_S = 0.03
MAX_UNFINISHED_SHARE = 0.0
MAX_GAP_S = 2.0


class WholeAnswersTest(ProcessTestCase):
    async def test_cut_and_delayed_connections_lose_and_mix_nothing(self):
        shape = Shape(
            engines=3,
            entries=2,
            engine=ENGINE,
            agent_backend_server=AGENT_BACKEND_SERVER,
            agent_links=True,
        )
        generator = random.Random(SEED)
        results = []
        with Deployment(shape) as deployment:
            links = [backend.agent_link for backend in deployment.engines]
            async with open_client() as client, anyio.create_task_group() as tasks:
                for index in range(STREAMS):
                    entry = deployment.entries[index % 2].address
                    tasks.start_soon(self._stream, client, entry, f"caller {index}", results)
                for _ in range(FAULTS):
                    await anyio.sleep(FAULT_INTERVAL_S)
                    link = generator.choice(links)
                    link.delay_s = generator.uniform(0, MAX_DELAY_S)
                    generator.choice(links).reset_connections()
        self._check_results(results)

    async def test_an_engine_that_dies_is_replaced_in_mid_answer(self):
        self._check_results(await self._stream_while(lambda backend: backend.server.kill()))

    async def test_an_agent_that_dies_is_replaced_in_mid_answer(self):
        results = await self._stream_while(lambda backend: backend.agent.kill())
        self._check_results(results)
        self.assertLess(max(find_longest_gap_s(result) for result in results), MAX_GAP_S)

    async def _stream_while(self, fault):
        shape = Shape(engines=2, engine=ENGINE, agent_backend_server=AGENT_BACKEND_SERVER)
        with Deployment(shape) as deployment:
            return await self.stream_while(
                deployment.entries[0].address,
                MOVED_STREAMS,
                TOKENS,
                FAULT_INTERVAL_S * 2,
                lambda: fault(deployment.engines[0]),
            )

    async def _stream(self, client, entry, prompt, results):
        results.append(await stream_completion(client, entry, prompt, TOKENS))

    def _check_results(self, results):
        for result in results:
            expected = expected_text(result.prompt, TOKENS)
            with self.subTest(result.prompt):
                self.assertTrue(expected.startswith(result.text), "bytes of another answer")
                self.assertEqual(result.event_ids, tuple(range(1, len(result.event_ids) + 1)))
                if result.outcome == "done":
                    self.assertEqual(result.text, expected)
        unfinished = [result for result in results if result.outcome != "done"]
        self.assertLessEqual(
            len(unfinished) / len(results), MAX_UNFINISHED_SHARE, [r.problem for r in unfinished]
        )


if __name__ == "__main__":
    unittest.main()
