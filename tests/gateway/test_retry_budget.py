"""Tests that several gateways keep to the retry budget of a service together."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
import unittest
from unittest import mock

from bronzerudder.gateway.services import RetryBudgetLimits
from bronzerudder.standin.fleet import Behaviour
from bronzerudder.standin.fleet.retry_window import RetryRule, find_retry_excess
from tests.gateway.gateway_fleet import GatewayFleet
from tests.gateway.harness import GatewayHarness, make_route

RULE = RetryRule(0.2, 24.0, 2.0)
PLAIN = make_route("read", "idempotent", timeout_ms=4000, target_latency_ms=2000)
GATEWAYS = 4
RATE_RPS = 20.0
"""Requests per second to each gateway."""
NO_PAUSE = b"0.01"
"""A rejection with a pause is no fault of its server, so that the server stays in use."""


class FleetRetryBudgetTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        retry = RetryBudgetLimits(*RULE)
        self.fleet = GatewayFleet(GATEWAYS, 4, routes=[PLAIN], retry=retry, leased=True)
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)
        self.sent_at_s: list[float] = []
        self.numbers = itertools.count()
        self.generator = random.Random(38)
        self.calls: list[asyncio.Task] = []

    def reject(self, pause):
        for server in self.fleet.backend_servers:
            server.usual = Behaviour.SHED
            server.pauses = [pause]

    def answer(self):
        for server in self.fleet.backend_servers:
            server.usual = Behaviour.ANSWER

    async def load(self, seconds):
        """Send requests to all gateways for a time."""
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            await asyncio.sleep(self.generator.expovariate(RATE_RPS * GATEWAYS))
            self.send(self.generator.randrange(GATEWAYS))

    def send(self, index):
        self.sent_at_s.append(time.monotonic())
        self.calls.append(asyncio.create_task(self.call(index)))

    async def call(self, index):
        gateway = self.fleet.gateways[index]
        await gateway.send_request("/read/x", f"r{next(self.numbers)}")

    async def send_burst(self, count):
        """Send that many requests at once, in turn to all gateways."""
        for number in range(count):
            self.send(number % GATEWAYS)
        await asyncio.sleep(0.0)

    async def find_excess(self):
        await asyncio.gather(*self.calls, return_exceptions=True)
        arrivals = [
            arrival for server in self.fleet.backend_servers for arrival in server.limit.arrivals
        ]
        return find_retry_excess(RULE, self.sent_at_s, arrivals)

    async def test_gateways_that_restart_do_not_send_the_retries_of_the_budget_anew(self):
        loading = asyncio.create_task(self.load(5.0))
        await asyncio.sleep(2.0)
        self.reject(NO_PAUSE)
        for _ in range(3):
            await asyncio.sleep(0.5)
            for index in range(GATEWAYS):
                await self.fleet.restart_gateway(index)
        await loading
        self.assertIsNone(await self.find_excess())

    async def test_retries_that_wait_out_a_pause_do_not_arrive_beyond_the_budget(self):
        await self.load(2.0)
        self.reject(b"2.5")
        await self.send_burst(40)
        # These retries are sent when the pause ends, together with those that are decided on then.
        await asyncio.sleep(2.3)
        for server in self.fleet.backend_servers:
            server.pauses = [NO_PAUSE]
        await self.send_burst(60)
        self.assertIsNone(await self.find_excess())


class RetryLogTest(unittest.IsolatedAsyncioTestCase):
    async def test_each_retry_leaves_a_line_that_tells_what_the_budget_was(self):
        gateway = GatewayHarness(2)
        await gateway.start()
        self.addAsyncCleanup(gateway.stop)
        for server in gateway.backend_servers:
            server.script = [Behaviour.SHED]
            server.pauses = [NO_PAUSE]
        with mock.patch.object(gateway.log, "failure") as failure:
            await gateway.send_request("/read/x", "r1")
        lines = [call for call in failure.mock_calls if call.args[0] == "retry sent"]
        self.assertEqual([call.kwargs["arrivals"] for call in lines], [1, 2])
        for call in lines:
            fields = call.kwargs
            self.assertEqual(fields["gateways"], 1)
            self.assertGreaterEqual(fields["allowed"], fields["spent"])
            self.assertGreaterEqual(fields["wait_s"], 0.0)
            self.assertLess(fields["list_age_s"], 5.0)


if __name__ == "__main__":
    unittest.main()
