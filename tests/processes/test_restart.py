"""Guards against a restarted backend server that gets no more requests."""

from __future__ import annotations

import anyio

from bench.harness import Deployment, Shape
from bench.harness.load import expected_text, open_client, stream_completion
from tests.processes.case import ProcessTestCase

TOKENS = 5
RECOVERED_WITHIN_S = 5.0
PAUSE_S = 0.1


class RestartTest(ProcessTestCase):
    async def test_a_backend_server_that_comes_back_gets_work_again(self):
        with Deployment(Shape(engines=1)) as deployment:
            entry = deployment.entries[0].address
            deployment.engines[0].server.kill()
            async with open_client() as client:
                down = await stream_completion(client, entry, "down", TOKENS)
                self.assertEqual(down.outcome, "not-run")
                await anyio.to_thread.run_sync(deployment.restart_engine, 0)
                with anyio.fail_after(RECOVERED_WITHIN_S):
                    while (await stream_completion(client, entry, "up", TOKENS)).outcome != "done":
                        await anyio.sleep(PAUSE_S)
                result = await stream_completion(client, entry, "again", TOKENS)
        self.assertEqual(result.text, expected_text("again", TOKENS))
