"""Guards against unkeyed non-idempotent calls that run twice or run after a ``not-run`` answer.

Links to agents are cut or become unresponsive, and agents are paused or killed, under overload.
"""

from __future__ import annotations

import json
import random

import anyio

from bench.harness import Deployment, Shape
from bench.harness.load import call_service, open_client
from tests.processes.case import ProcessTestCase
from tests.processes.history import service_runs

SEED = 20261203
CALLS = 240
CALL_INTERVAL_S = 0.02
RUN_DURATION_S = 0.1
FAULT_INTERVAL_S = 0.6
PAUSED_S = 1.2
SETTLE_S = 1.5
MAX_UNKNOWN_SHARE = 0.25
SHAPE = Shape(
    services=4,
    entries=2,
    service={"behaviour": {"delay_s": RUN_DURATION_S}},
    agent_backend_server={"max_running": 2, "max_queued": 4},
    agent_links=True,
    # Longer than an entry keeps trying to reach an agent, so that a lost agent can be told
    # apart from a slow one.
    deadline_s=6.0,
)


class NotRunTest(ProcessTestCase):
    def setUp(self):
        self.random = random.Random(SEED)
        self.results = []

    async def test_no_call_reported_not_run_is_in_a_record_then_or_later(self):
        with Deployment(SHAPE) as deployment:
            async with open_client() as client, anyio.create_task_group() as tasks:
                tasks.start_soon(self._inject, deployment)
                for number in range(CALLS):
                    entry = deployment.entries[number % 2].address
                    tasks.start_soon(self._book, client, entry, f"call {number}")
                    await anyio.sleep(CALL_INTERVAL_S)
            await anyio.sleep(SETTLE_S)
            deployment.print_errors()
            runs = [run for b in deployment.services for run in service_runs(b.server)]
        self._check_results([json.loads(run["body"])["label"] for run in runs])

    def _check_results(self, ran):
        self.assertEqual(len(ran), len(set(ran)), "a call ran twice")
        outcomes = {result.label: result for result in self.results}
        self.assertEqual(len(outcomes), CALLS)
        kinds = {result.outcome for result in self.results}
        unanswered = [result for result in self.results if result.outcome == "no-answer"]
        self.assertEqual(unanswered, [])
        self.assertLessEqual(kinds, {"done", "not-run", "unknown"})
        false_refusals = [label for label in ran if outcomes[label].outcome == "not-run"]
        self.assertEqual(false_refusals, [])
        done = {label for label, result in outcomes.items() if result.outcome == "done"}
        self.assertLessEqual(done, set(ran))
        unknown = [result for result in self.results if result.outcome == "unknown"]
        self.assertLessEqual(len(unknown) / CALLS, MAX_UNKNOWN_SHARE)
        self.assertIn("not-run", kinds, "the test checks nothing unless some calls are refused")

    async def _inject(self, deployment):
        paused = deployment.services[1].agent
        faults = [
            lambda: deployment.services[0].agent_link.reset_connections(),
            paused.pause,
            lambda: deployment.services[2].agent_link.drop_data(to_server=False),
            lambda: deployment.services[3].agent.kill(),
            lambda: deployment.services[0].agent_link.reset_connections(),
        ]
        for fault in faults:
            await anyio.sleep(FAULT_INTERVAL_S)
            fault()
        await anyio.sleep(PAUSED_S)
        paused.resume()

    async def _book(self, client, entry, label):
        self.results.append(await call_service(client, entry, label))
