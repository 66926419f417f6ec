"""Tests of several gateways before backend servers that limit the rate of requests."""

from __future__ import annotations

import asyncio
import random
import time
import unittest
from typing import NamedTuple

from bronzerudder.policy.subset.rendezvous import rendezvous_hash
from bronzerudder.standin.fleet import Behaviour
from tests.gateway.gateway_fleet import GatewayFleet
from tests.gateway.harness import make_route

PLAIN = make_route("read", "idempotent", timeout_ms=1500)
STREAM = make_route("stream", "streaming", resumable=True, timeout_ms=3000)
LIMITED_S = 8.5
WARM_UP_S = 1.0
PLAIN_S = 0.005
MIN_SERVED_RATIO = 0.8
"""Part of what the limits allow that callers must get at least."""
MAX_REFUSAL_S = 0.2
MAX_QUEUED_S = 0.1


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

    def count_queued(self):
        """Count the requests that waited at their gateway for longer than `MAX_QUEUED_S`."""
        queued = 0
        for gateway in self.fleet.gateways:
            values = {}
            for sample in next(iter(gateway.metrics.queue_s.collect())).samples:
                values[sample.labels.get("le", sample.name)] = sample.value
            queued += values["+Inf"] - values[str(MAX_QUEUED_S)]
        return queued

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
        self.assertLess(self.count_queued(), 0.05 * len(self.answers))

    async def test_gateways_together_keep_to_the_limits_of_all_servers(self):
        await self.start(4, 3, [2.0, 2.0, 2.0])
        await self.load([10.0, 10.0, 10.0, 10.0])
        self.assertEqual(self.find_excess(), [])
        self.assert_served(6.0)
        self.assert_refused_at_once()

    async def test_uneven_traffic_gets_what_the_limits_allow(self):
        await self.start(4, 3, [3.0, 3.0, 3.0])
        await self.load([20.0, 0.2, 0.2, 0.2])
        self.assertEqual(self.find_excess(), [])
        self.assert_served(9.0)

    async def test_one_gateway_alone_gets_the_whole_limit(self):
        await self.start(1, 2, [3.0, 3.0])
        await self.load([20.0])
        self.assertEqual(self.find_excess(), [])
        self.assert_served(6.0)

    async def test_twelve_gateways_share_a_limit_below_one_request_each(self):
        await self.start(12, 2, [1.0, 1.0])
        await self.load([2.0] * 12)
        self.assertEqual(self.find_excess(), [])
        self.assert_served(2.0)

    async def test_streams_keep_to_the_limits(self):
        await self.start(4, 3, [2.0, 2.0, None])
        for server in self.fleet.backend_servers:
            server.event_gap_s = 0.1
        await self.load([3.0] * 4, "/stream/x")
        self.assertEqual(self.find_excess(), [])
        self.assert_served(10.0)

    async def test_lost_and_late_messages_do_not_lift_the_limits(self):
        await self.start(4, 3, [2.0, 2.0, 2.0])
        self.fleet.links.loss = 0.2
        self.fleet.links.delay_s = 0.03
        await self.load([10.0] * 4)
        self.assertEqual(self.find_excess(), [])
        self.assert_served(4.0)

    def issuer_of(self, index):
        """Return the gateway that issues the permits of a server."""
        server = self.fleet.backend_servers[index].instance_id
        found = self.fleet.gateways[0].limits.find_issuer(server)
        return next(gateway for gateway in self.fleet.gateways if gateway.name == found)

    async def test_permits_go_on_when_their_issuer_is_cut_off(self):
        await self.start(4, 2, [3.0, 3.0])
        loading = asyncio.create_task(self.load([8.0] * 4))
        await asyncio.sleep(WARM_UP_S + 4.0)
        issuer = self.issuer_of(0).name
        self.fleet.cut_off.add(issuer)
        self.excused.append((issuer, time.monotonic(), float("inf")))
        await loading
        self.assertEqual(self.find_excess(), [])
        self.assert_served(6.0)

    async def test_an_issuer_that_comes_back_does_not_add_to_its_successor(self):
        await self.start(4, 2, [4.0, 4.0])
        loading = asyncio.create_task(self.load([8.0] * 4))
        await asyncio.sleep(WARM_UP_S + 2.0)
        issuer = self.issuer_of(0).name
        self.fleet.cut_off.add(issuer)
        self.excused.append((issuer, time.monotonic(), time.monotonic() + 2.0))
        await asyncio.sleep(2.0)
        self.fleet.cut_off.clear()
        await loading
        self.assertEqual(self.find_excess(), [])

    async def test_gateways_that_hear_nothing_of_each_other_keep_to_even_shares(self):
        await self.start(4, 2, [4.0, 4.0])
        self.fleet.links.loss = 1.0
        await self.load([8.0] * 4)
        self.assertEqual(self.find_excess(), [])
        self.assert_served(4.0)

    def cut_issuers_off_from(self, rank):
        """Cut the messages of each issuer to the gateway of that rank for its server."""
        names = [gateway.name for gateway in self.fleet.gateways]
        for server in self.fleet.backend_servers:
            ranked = sorted(
                names, key=lambda name: rendezvous_hash(server.instance_id, name), reverse=True
            )
            self.fleet.links.cut.add((ranked[0], ranked[rank]))

    async def test_an_issuer_that_its_successor_does_not_hear_keeps_the_bound(self):
        await self.start(4, 2, [8.0, 8.0])
        self.cut_issuers_off_from(1)
        await self.load([16.0] * 4)
        self.assertEqual(self.find_excess(), [])
        self.assert_served(13.0)

    async def test_an_issuer_that_the_last_gateway_does_not_hear_keeps_the_bound(self):
        await self.start(4, 2, [8.0, 8.0])
        self.cut_issuers_off_from(3)
        await self.load([16.0] * 4)
        self.assertEqual(self.find_excess(), [])
        self.assert_served(13.0)

    async def test_a_gateway_that_joins_unlisted_does_not_double_a_limit(self):
        await self.start(4, 3, [5.0, 5.0, 5.0])
        loading = asyncio.create_task(self.load([8.0] * 4))
        await asyncio.sleep(WARM_UP_S + 3.0)
        calls: list[asyncio.Task] = []
        senders = []
        for _ in range(4):
            joined = await self.fleet.add_gateway(is_listed=False)
            senders.append(asyncio.create_task(self.send(joined, 8.0, "/read/x", calls)))
        await loading
        for task in senders:
            task.cancel()
        await asyncio.gather(*senders, *calls, return_exceptions=True)
        self.assertEqual(self.find_excess(), [])

    async def test_a_limit_that_falls_rises_and_ends_is_followed(self):
        await self.start(4, 2, [8.0, 8.0])
        loading = asyncio.create_task(self.load([8.0] * 4, seconds=14.0))
        await asyncio.sleep(WARM_UP_S + 4.0)
        for server in self.fleet.backend_servers:
            server.limit.set_rate(2.0)
        await asyncio.sleep(5.0)
        for server in self.fleet.backend_servers:
            server.limit.set_rate(6.0)
        await asyncio.sleep(2.5)
        for server in self.fleet.backend_servers:
            server.limit.set_rate(None)
        await asyncio.sleep(1.0)
        ended_s = time.monotonic()
        await loading
        self.assertEqual(self.find_excess(), [])
        later = [item for item in self.answers if item.asked_at_s > ended_s]
        self.assertGreater(len(later), 20)
        self.assertTrue(all(item.status == 200 for item in later))

    async def test_servers_that_accept_nothing_are_asked_rarely_and_used_again_later(self):
        await self.start(2, 2, [0.0, 0.0])
        loading = asyncio.create_task(self.load([8.0] * 2, seconds=14.0))
        await asyncio.sleep(WARM_UP_S + 8.0)
        self.assertEqual(self.find_excess(), [])
        self.assert_refused_at_once()
        for server in self.fleet.backend_servers:
            server.limit.set_rate(None)
        await asyncio.sleep(4.5)
        ended_s = time.monotonic()
        await loading
        later = [item for item in self.answers if item.asked_at_s > ended_s]
        self.assertTrue(all(item.status == 200 for item in later))

    async def test_a_rejection_by_a_limited_rank_does_not_hold_back_its_group(self):
        await self.start(1, 3, [1.0, None, None], in_lockstep=True)
        loading = asyncio.create_task(self.load([10.0], "/stream/x", seconds=4.0))
        await asyncio.sleep(WARM_UP_S + 1.0)
        limited = self.fleet.backend_servers[0]
        self.assertEqual(self.fleet.gateways[0].limits.describe("i-0")["limit_rps"], 1.0)
        limited.usual = Behaviour.SHED
        await loading
        self.assertGreater(len(limited.limit.arrivals), 3)
        self.assertFalse(
            self.fleet.gateways[0].services.pool("s").groups.group_of("i-0").gate.closed
        )
        self.assertTrue(all(item.status == 200 for item in self.answers))


if __name__ == "__main__":
    unittest.main()
