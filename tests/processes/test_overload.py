"""Guards against a flood that starves other workspaces, and against exceeded route limits."""

from __future__ import annotations

import unittest

import anyio
import numpy as np

from bench.harness import Deployment, Shape
from bench.harness.load import BOOKINGS_PATH, COMPLETIONS_PATH, WORKSPACE_HEADER, open_client
from tests.processes.case import ProcessTestCase

FLOOD_S = 4.0
FLOOD_CALLERS = 24
TOKENS = 20
REFUSED_WITHIN_S = 1.0
LIMIT_RPS = 20.0
DEMAND_RPS = 60.0
LIMITED_S = 9.0
SETTLE_S = 4.0
TOLERANCE = 0.1
HEAVY_ENTRY_SHARE = 0.9


class FloodTest(ProcessTestCase):
    async def test_a_small_workspace_is_served_while_a_large_one_floods(self):
        shape = Shape(
            engines=1,
            engine={"step_time_s": 0.02, "max_batch": 4},
            agent_backend_server={"max_running": 4},
        )
        answers = {"large": [], "small": []}
        with Deployment(shape) as deployment:
            address = deployment.entries[0].address
            async with open_client() as client:
                async with anyio.create_task_group() as tasks:
                    for _ in range(FLOOD_CALLERS):
                        tasks.start_soon(self._call, client, address, "large", answers)
                    tasks.start_soon(self._call, client, address, "small", answers)
                after = await self._complete(client, address, "small")
        self.assertEqual({200}, {status for status, _, _ in answers["small"]})
        refused = [answer for answer in answers["large"] if answer[0] != 200]
        self.assertTrue(refused, "no request of the flood was refused")
        for status, hint, _ in refused:
            self.assertEqual(503, status)
            self.assertGreaterEqual(float(hint), 0)
        served_s = [took_s for status, _, took_s in answers["large"] if status == 200]
        refused_s = [took_s for _, _, took_s in refused]
        self.assertLess(max(refused_s), REFUSED_WITHIN_S)
        self.assertLess(np.percentile(refused_s, 95), np.median(served_s))
        self.assertEqual(200, after[0])

    async def _call(self, client, address, workspace, answers):
        deadline = anyio.current_time() + FLOOD_S
        while anyio.current_time() < deadline:
            answer = await self._complete(client, address, workspace)
            answers[workspace].append(answer)
            if answer[0] != 200:
                await anyio.sleep(0.1)

    async def _complete(self, client, address, workspace):
        started = anyio.current_time()
        answer = await client.post(
            f"http://{address}{COMPLETIONS_PATH}",
            json={"messages": [{"content": "p"}], "max_tokens": TOKENS},
            headers={WORKSPACE_HEADER: workspace},
        )
        took_s = anyio.current_time() - started
        return answer.status_code, answer.headers.get("retry-after"), took_s


class RouteLimitTest(ProcessTestCase):
    async def test_a_rate_limit_holds_over_entries_with_uneven_traffic(self):
        accepted = []
        with Deployment(Shape(services=2, entries=2)) as deployment:
            route = deployment.build_route([BOOKINGS_PATH], "bookings", False)
            route["rate_limit_rps"] = LIMIT_RPS
            deployment.put_row("route", "bookings", route)
            async with open_client() as client, anyio.create_task_group() as tasks:
                started = anyio.current_time()
                for number in range(int(LIMITED_S * DEMAND_RPS)):
                    is_heavy = number % 10 < HEAVY_ENTRY_SHARE * 10
                    entry = deployment.entries[0 if is_heavy else 1]
                    tasks.start_soon(self._book, client, entry.address, number, accepted)
                    due = started + (number + 1) / DEMAND_RPS
                    await anyio.sleep(max(0.0, due - anyio.current_time()))
                ended = anyio.current_time()
        counted = [time for time in accepted if started + SETTLE_S <= time < ended]
        expected = LIMIT_RPS * (ended - started - SETTLE_S)
        self.assertAlmostEqual(1.0, len(counted) / expected, delta=TOLERANCE)

    async def _book(self, client, address, number, accepted):
        answer = await client.post(
            f"http://{address}{BOOKINGS_PATH}",
            json={"label": str(number)},
            headers={WORKSPACE_HEADER: "w"},
        )
        if answer.is_success:
            accepted.append(anyio.current_time())
            return
        self.assertEqual(429, answer.status_code, answer.text)
        self.assertIn("retry-after", answer.headers)


if __name__ == "__main__":
    unittest.main()
