"""Guards against answers lost in a shutdown, and against new work for a leaving agent."""

from __future__ import annotations

import anyio

from bench.harness import Deployment, Shape
from bench.harness.load import call_service, open_client
from tests.processes.case import ProcessTestCase
from tests.processes.history import service_runs

TOKENS = 30
STEP_TIME_S = 0.05
CALLERS = 20
LEAVE_AFTER_S = 0.5
AGENT_NOTICE_LIMIT_S = 1.0
LIST_NOTICE_LIMIT_S = 3.0
EXIT_TIMEOUT_S = 8.0
PAUSE_S = 0.02


class GracefulShutdownTest(ProcessTestCase):
    async def test_an_agent_cuts_nothing_off_and_exits_by_itself(self):
        # A single engine, so an answer that the agent breaks off cannot fail over.
        shape = Shape(engines=1, engine={"step_time_s": STEP_TIME_S})
        with Deployment(shape) as deployment:
            leaving = deployment.engines[0].agent
            results = await self._stream_while(deployment, leaving.terminate)
            self.assertEqual(leaving.wait(EXIT_TIMEOUT_S), 0)
        self.assert_complete(results, TOKENS)

    async def test_an_entry_cuts_nothing_off_and_exits_by_itself(self):
        shape = Shape(engines=1, engine={"step_time_s": STEP_TIME_S})
        with Deployment(shape) as deployment:
            leaving = deployment.entries[0]
            results = await self._stream_while(deployment, leaving.terminate)
            self.assertEqual(leaving.wait(EXIT_TIMEOUT_S), 0)
        self.assert_complete(results, TOKENS)

    async def test_an_agent_whose_work_never_ends_exits_after_its_drain_timeout(self):
        shape = Shape(
            services=1, agent={"drain_timeout_s": 1.0}, service={"behaviour": {"stall": "after"}}
        )
        with Deployment(shape) as deployment:
            agent = deployment.services[0].agent
            async with open_client() as client, anyio.create_task_group() as tasks:
                tasks.start_soon(call_service, client, deployment.entries[0].address, "a", "", 5.0)
                await anyio.sleep(LEAVE_AFTER_S)
                agent.terminate()
                code = await anyio.to_thread.run_sync(agent.wait, EXIT_TIMEOUT_S)
                tasks.cancel_scope.cancel()
        self.assertEqual(code, 0)

    async def _stream_while(self, deployment, fault):
        entry = deployment.entries[0].address
        return await self.stream_while(entry, CALLERS, TOKENS, LEAVE_AFTER_S, fault)


class NoNewWorkTest(ProcessTestCase):
    async def test_soon_after_the_agent_is_told(self):
        shape = Shape(services=2, platform={"instance_lag_s": 10.0})
        with Deployment(shape) as deployment:
            late, results = await self._book_while(
                deployment, deployment.services[0].agent.terminate, AGENT_NOTICE_LIMIT_S
            )
        self.assertEqual(late, [])
        self.assertEqual({result.outcome for result in results}, {"done"})

    async def test_soon_after_the_list_alone_tells(self):
        shape = Shape(services=2)
        with Deployment(shape) as deployment:
            agent = deployment.services[0].agent
            late, results = await self._book_while(
                deployment, lambda: deployment.mark_leaving(agent), LIST_NOTICE_LIMIT_S
            )
        self.assertEqual(late, [])
        self.assertEqual({result.outcome for result in results}, {"done"})

    async def _book_while(self, deployment, fault, limit_s):
        """Book continuously; return the leaving server's runs after the limit, and all results."""
        results = []
        entry = deployment.entries[0].address
        leaving = deployment.services[0].server
        async with open_client() as client, anyio.create_task_group() as tasks:
            tasks.start_soon(self._book, client, entry, results)
            await anyio.sleep(LEAVE_AFTER_S)
            self.assertNotEqual(service_runs(leaving), [])
            fault()
            await anyio.sleep(limit_s)
            before = len(service_runs(leaving))
            await anyio.sleep(LEAVE_AFTER_S)
            tasks.cancel_scope.cancel()
        return service_runs(leaving)[before:], results

    async def _book(self, client, entry, results):
        number = 0
        while True:
            number += 1
            results.append(await call_service(client, entry, f"booking {number}"))
            await anyio.sleep(PAUSE_S)
