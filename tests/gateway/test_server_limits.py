"""Tests of several gateways before backend servers that limit the rate of requests."""

from __future__ import annotations

import asyncio
import random
import time
import unittest
from typing import NamedTuple

from tests.gateway.gateway_fleet import GatewayFleet
from tests.gateway.harness import make_route

PLAIN = make_route("read", "idempotent", timeout_ms=1500)
STREAM = make_route("stream", "streaming", resumable=True, timeout_ms=3000)
LIMITED_S = 9.0
WARM_UP_S = 1.0
PLAIN_S = 0.005
MIN_SERVED_RATIO = 0.8
"""Part of what the limits allow that callers must get at least."""
MAX_REFUSAL_S = 0.2


class Answered(NamedTuple):
    """What a caller got: the status, when it asked and for how long it waited, and retry-after."""

    status: int
    asked_at_s: float
    took_s: float
    retry_after_s: float


class ServerLimitTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, gateways, servers, limits, **changes):
        """Start a fleet whose servers name limits after the warm-up, in order; None for none."""
        self.fleet = GatewayFleet(gateways, servers, routes=[PLAIN, STREAM], **changes)
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)
        self.limits = limits
        self.answers: list[Answered] = []
        self.generator = random.Random(7)
        self.excused: list[tuple[str, float, float]] = []
        self.begin_s = time.monotonic() + WARM_UP_S
        for server in self.fleet.backend_servers:
            server.answer_delay_s = PLAIN_S

    async def call(self, gateway, number, path):
        asked_at_s = time.monotonic()
        status, headers, _ = await gateway.send_request(path, f"{gateway.name}/{number}")
        retry_after_s = float(headers.get(b"retry-after", b"0"))
        took_s = time.monotonic() - asked_at_s
        self.answers.append(Answered(status, asked_at_s, took_s, retry_after_s))

    async def load(self, rates_rps, path="/read/x", seconds=LIMITED_S):
        """Send requests to each gateway at its rate, and name the limits after the warm-up."""
        calls: list[asyncio.Task] = []
        senders = []
        for gateway, rate_rps in zip(self.fleet.gateways, rates_rps, strict=True):
            senders.append(asyncio.create_task(self.send(gateway, rate_rps, path, calls)))
        await asyncio.sleep(WARM_UP_S)
        for server, rate_rps in zip(self.fleet.backend_servers, self.limits, strict=True):
            if rate_rps is not None:
                server.limit.set_rate(rate_rps)
        await asyncio.sleep(seconds)
        for task in senders:
            task.cancel()
        await asyncio.gather(*senders, return_exceptions=True)
        await asyncio.gather(*calls, return_exceptions=True)

    async def send(self, gateway, rate_rps, path, calls):
        number = 0
        while True:
            await asyncio.sleep(self.generator.expovariate(rate_rps))
            number += 1
            calls.append(asyncio.create_task(self.call(gateway, number, path)))

    def find_excess(self):
        def is_excused(gateway, at_s):
            return any(
                name == gateway and begin_s <= at_s <= end_s
                for name, begin_s, end_s in self.excused
            )

        found = []
        for server in self.fleet.backend_servers:
            excess = server.limit.find_excess(lambda name: name.partition("/")[0], is_excused)
            if excess is not None:
                found.append(excess)
        return found

    def assert_served(self, least_rps):
        """Assert that callers got that many answers a second since the limits held."""
        from_s = self.begin_s + 1.0
        served = sum(1 for item in self.answers if item.status == 200 and item.asked_at_s > from_s)
        rate_rps = served / (LIMITED_S - 1.0)
        self.assertGreaterEqual(rate_rps, MIN_SERVED_RATIO * least_rps)

    def assert_refused_at_once(self):
        refused = [item for item in self.answers if item.status == 503]
        self.assertGreater(len(refused), 0)
        slow = [item for item in refused if item.took_s > MAX_REFUSAL_S]
        self.assertLess(len(slow), 0.2 * len(refused))
        self.assertTrue(all(item.retry_after_s > 0 for item in refused))

    async def test_gateways_together_keep_to_the_limit_of_one_server_beside_free_ones(self):
        await self.start(4, 3, [2.0, None, None])
        await self.load([10.0, 10.0, 10.0, 10.0])
        self.assertEqual(self.find_excess(), [])
        self.assertTrue(all(item.status == 200 for item in self.answers))
        slow = [item for item in self.answers if item.took_s > 0.15]
        self.assertLess(len(slow), 0.05 * len(self.answers))

    async def test_gateways_together_keep_to_the_limits_of_all_servers(self):
        await self.start(4, 3, [2.0, 2.0, 2.0])
        await self.load([10.0, 10.0, 10.0, 10.0])
        self.assertEqual(self.find_excess(), [])
        self.assert_served(6.0)
        self.assert_refused_at_once()


if __name__ == "__main__":
    unittest.main()
