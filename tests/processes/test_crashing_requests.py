"""Guards against a resent request that crashes one backend server after another.

The request crashes each server that runs it; quarantine must stop it after two crashes.
"""

from __future__ import annotations

import unittest

import anyio

from bench.harness import Deployment, Shape
from bench.harness.load import expected_text, open_client, stream_completion
from tests.processes.case import ProcessTestCase

CRASH_TEXT = "poison"
ENGINE = {"step_time_s": 0.03, "max_batch": 64, "crash_text": CRASH_TEXT}
ENGINES = 6
ENTRIES = 3
OTHER_REQUESTS = 24
RESENDS = 12
TOKENS = 40
RESEND_INTERVAL_S = 0.1
MAX_CRASHES = 2


class CrashingRequestTest(ProcessTestCase):
    async def test_a_killer_sent_again_through_other_entries_takes_down_two_at_most(self):
        shape = Shape(engines=ENGINES, entries=ENTRIES, engine=ENGINE)
        with Deployment(shape) as deployment:
            others, crashing = await self._send_all(deployment)
            alive = [backend for backend in deployment.engines if backend.server.running]
            again = await self._resend_others(deployment)
        self.assertGreaterEqual(len(alive), ENGINES - MAX_CRASHES)
        for result in others + again:
            with self.subTest(result.prompt):
                self.assertEqual(result.outcome, "done", result.problem)
                self.assertEqual(result.text, expected_text(result.prompt, TOKENS))
        self._check_crashing(crashing)

    def _check_crashing(self, crashing):
        last = crashing[-1]
        self.assertEqual(last.outcome, "not-run")
        self.assertEqual(last.problem["status"], 422)
        self.assertIn("quarantined", last.problem["detail"])
        for resend in crashing:
            self.assertIn(resend.outcome, ("unknown", "not-run"))

    async def _send_all(self, deployment):
        others, crashing = [], []
        entries = [entry.address for entry in deployment.entries]
        async with open_client() as client, anyio.create_task_group() as tasks:
            for index in range(OTHER_REQUESTS):
                tasks.start_soon(
                    self._send, client, entries[index % ENTRIES], f"caller {index}", others
                )
            await anyio.sleep(RESEND_INTERVAL_S)
            for index in range(RESENDS):
                prompt = f"{CRASH_TEXT} of one caller"
                await self._send(client, entries[index % ENTRIES], prompt, crashing)
        return others, crashing

    async def _resend_others(self, deployment):
        results = []
        async with open_client() as client, anyio.create_task_group() as tasks:
            for index in range(OTHER_REQUESTS):
                address = deployment.entries[(index + 1) % ENTRIES].address
                tasks.start_soon(self._send, client, address, f"caller {index}", results)
        return results

    async def _send(self, client, address, prompt, results):
        results.append(await stream_completion(client, address, prompt, TOKENS))


if __name__ == "__main__":
    unittest.main()
