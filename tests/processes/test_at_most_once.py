"""Guards against a keyed non-idempotent request that runs twice or gets a wrong outcome.

Callers repeat each key through several entries while platform responses are lost, an agent is
paused or killed, or the pool changes.
"""

from __future__ import annotations

import collections
import random
import unittest

import anyio
import httpx

from bench.harness import Deployment, Shape
from bench.harness.deployment import build_pool
from bench.harness.load import CallResult, call_service, open_client
from tests.processes import history
from tests.processes.case import ProcessTestCase

SEED = 20261203
KEYS = 24
REPEATS = 4
MAX_GAP_S = 0.4
RUN_DURATION_S = 0.15
FAULT_AFTER_S = 0.35
PAUSED_S = 2.5
LOST_SHARE = 0.3
REFUSED_WITHIN_S = 0.5
SHAPE = Shape(
    services=3,
    entries=2,
    service={"behaviour": {"delay_s": RUN_DURATION_S}},
    deadline_s=8.0,
)


class AtMostOnceCase(ProcessTestCase):
    """Sends keyed bookings and checks outcomes against the records of the services."""

    def setUp(self):
        self.random = random.Random(SEED)
        self.results: dict[str, list[CallResult]] = collections.defaultdict(list)

    async def book_repeatedly(self, deployment: Deployment, prefix: str) -> None:
        async with open_client() as client, anyio.create_task_group() as tasks:
            for number in range(KEYS):
                for repeat in range(REPEATS):
                    entry = deployment.entries[repeat % len(deployment.entries)].address
                    gap_s = self.random.uniform(0, MAX_GAP_S)
                    tasks.start_soon(self.book, client, entry, f"{prefix}-{number}", gap_s)

    async def repeat_all(self, deployment: Deployment) -> None:
        async with open_client() as client, anyio.create_task_group() as tasks:
            for key in list(self.results):
                for entry in deployment.entries:
                    tasks.start_soon(self.book, client, entry.address, key, 0.0)

    async def book(self, client: httpx.AsyncClient, entry: str, key: str, gap_s: float) -> None:
        await anyio.sleep(gap_s)
        self.results[key].append(await call_service(client, entry, key, key))

    async def set_fault(self, deployment: Deployment, fault: dict) -> None:
        async with httpx.AsyncClient() as client:
            address = f"http://{deployment.platform.address}/control/faults/*"
            (await client.put(address, json=fault)).raise_for_status()

    async def wait_for_agents(self, deployment: Deployment, count: int) -> None:
        def has_count() -> bool:
            return len(deployment.read_status(deployment.entries[0])["agents"]) == count

        await anyio.to_thread.run_sync(deployment.wait_until, has_count)

    def pool_of(self, backends) -> dict:
        return build_pool("service", backends)

    def read_runs(self, deployment: Deployment) -> list[dict]:
        servers = [backend.server for backend in deployment.services]
        return [run for server in servers for run in history.service_runs(server)]

    def check_history(self, deployment: Deployment) -> None:
        runs = [run for run in self.read_runs(deployment) if run["key"] in self.results]
        self.assertGreater(len(runs), KEYS // 2)
        self.assertEqual(history.find_keys_run_twice(runs), [])
        self.assertEqual(history.find_false_not_run(runs, self.results), [])
        self.assertEqual(history.find_differing_answers(self.results), [])
        self.assertEqual(history.find_done_without_run(runs, self.results), [])
        self.assertEqual(history.find_without_outcome(self.results), [])


class SharedDeploymentTest(AtMostOnceCase):
    """Faults after which the deployment is intact again."""

    @classmethod
    def setUpClass(cls):
        cls.deployment = Deployment(SHAPE)
        cls.addClassCleanup(cls.deployment.close)
        cls.deployment.__enter__()

    def read_runs_of(self, key: str) -> list[dict]:
        return [run for run in self.read_runs(self.deployment) if run["key"] == key]

    async def asyncTearDown(self):
        await self.set_fault(self.deployment, {})

    async def test_repeats_through_several_entries_while_platform_answers_are_lost(self):
        await self.set_fault(self.deployment, {"lost_share": LOST_SHARE, "delay_s": 0.005})
        await self.book_repeatedly(self.deployment, "lost")
        self.check_history(self.deployment)
        done = [call for calls in self.results.values() for call in calls if call.outcome == "done"]
        self.assertEqual(len(done), KEYS * REPEATS, "only platform responses were lost")

    async def test_an_agent_frozen_while_keys_run_and_woken_after_their_repeats(self):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.book_repeatedly, self.deployment, "frozen")
            await anyio.sleep(FAULT_AFTER_S)
            self.deployment.services[0].agent.pause()
            await anyio.sleep(PAUSED_S)
            await self.repeat_all(self.deployment)
            self.deployment.services[0].agent.resume()
        await self.repeat_all(self.deployment)
        self.check_history(self.deployment)

    async def test_while_the_platform_is_down_nothing_runs_and_the_refusal_is_prompt(self):
        await self.set_fault(self.deployment, {"down": True})
        started = anyio.current_time()
        async with open_client() as client:
            entry = self.deployment.entries[0].address
            refused = await call_service(client, entry, "down", "down")
            self.assertLess(anyio.current_time() - started, REFUSED_WITHIN_S)
            self.assertEqual((refused.outcome, refused.status), ("not-run", 503))
            self.assertIn("retry-after", refused.headers)
            self.assertEqual(self.read_runs_of("down"), [])
            await self.set_fault(self.deployment, {})
            await anyio.sleep(float(refused.headers["retry-after"]))
            again = await call_service(client, entry, "down", "down")
        self.assertEqual(again.outcome, "done")
        self.assertEqual(len(self.read_runs_of("down")), 1)

    async def test_a_key_of_another_request_is_refused_with_status_422(self):
        async with open_client() as client:
            entry = self.deployment.entries[0].address
            await call_service(client, entry, "one", "key")
            other = await call_service(client, entry, "two", "key")
        self.assertEqual((other.outcome, other.status), ("not-run", 422))


class DamagedDeploymentTest(AtMostOnceCase):
    """Faults that leave the deployment changed."""

    async def test_an_agent_killed_while_keys_run_and_repeated_elsewhere(self):
        with Deployment(SHAPE) as deployment:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.book_repeatedly, deployment, "killed")
                await anyio.sleep(FAULT_AFTER_S)
                deployment.services[0].agent.kill()
            await self.repeat_all(deployment)
            self.check_history(deployment)
            await self.repeat_after_graceful_leave(deployment)

    async def repeat_after_graceful_leave(self, deployment: Deployment) -> None:
        """Stop another agent gracefully; the last agent answers the keys that it finished."""
        before, self.results = self.results, collections.defaultdict(list)
        for key in before:
            self.results[key].append(before[key][-1])
        leaving = deployment.services[1].agent
        leaving.terminate()
        await anyio.to_thread.run_sync(leaving.wait)
        await self.repeat_all(deployment)
        self.check_history(deployment)
        for key, (last, *repeats) in self.results.items():
            if last.outcome == "done":
                self.assertEqual({repeat.outcome for repeat in repeats}, {"done"}, key)

    async def test_entries_that_prefer_different_agents_for_the_same_shards(self):
        with Deployment(SHAPE._replace(entries=1)) as deployment:
            await self.book_repeatedly(deployment, "before")
            servers = deployment.services
            deployment.put_row("pool", "bookings", self.pool_of(servers[:1]))
            await self.wait_for_agents(deployment, 1)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.repeat_all, deployment)
                tasks.start_soon(self.book_repeatedly, deployment, "moving")
                await anyio.sleep(FAULT_AFTER_S)
                deployment.put_row("pool", "bookings", self.pool_of(servers[1:]))
            await self.wait_for_agents(deployment, 2)
            await self.repeat_all(deployment)
            self.check_history(deployment)


if __name__ == "__main__":
    unittest.main()
