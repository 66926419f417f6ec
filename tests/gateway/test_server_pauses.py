"""Tests of backend servers that reject requests and ask for a pause."""

from __future__ import annotations

import asyncio
import time
import unittest

from bronzerudder.clock import elapsed_s
from bronzerudder.gateway.tables import BackendServer
from bronzerudder.http1 import ResponseHead
from bronzerudder.platform.requests import MAX_PAUSE_S, decode_answer
from bronzerudder.standin.fleet import Behaviour
from tests.gateway.test_handler import GatewayCase

REQUESTS = 12
PAUSE_S = 0.6
LONG_PAUSE = b"30"
CONCURRENT = 6
MAX_RETURN_S = 3.0
"""A server whose rejection counts as a fault is left out for half a second at first."""


class ServerPauseTest(GatewayCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.pausing, self.other = self.gateway.backend_servers

    def reject(self, server, *pauses):
        server.usual = Behaviour.SHED
        server.pauses = list(pauses)

    async def send_many(self, prefix="r", path="/read/x"):
        answers = []
        for number in range(REQUESTS):
            answers.append(await self.gateway.send_request(path, f"{prefix}{number}"))
        return answers

    def arrivals(self, server):
        return len(server.limit.arrivals)

    async def test_a_server_that_asks_for_a_pause_gets_no_request_until_its_end(self):
        self.reject(self.pausing, b"%.1f" % PAUSE_S)
        answers = await self.send_many()
        self.assertEqual({status for status, _, _ in answers}, {200})
        self.assertEqual(self.arrivals(self.pausing), 1)
        asked_at_s = self.pausing.limit.arrivals[0].at_s
        self.pausing.usual = Behaviour.ANSWER
        while self.arrivals(self.pausing) == 1:
            await self.send_many("later")
            self.assertLess(time.monotonic(), asked_at_s + 2 * PAUSE_S)
        self.assertGreaterEqual(self.pausing.limit.arrivals[1].at_s, asked_at_s + PAUSE_S)

    async def test_a_pause_is_no_fault_of_the_server(self):
        self.reject(self.pausing, b"0.2")
        await self.send_many()
        breaker = self.gateway.services.pool("s").candidates["i-0"].breaker
        self.assertEqual(breaker.failures, 0)

    async def test_a_pause_of_one_rank_does_not_close_the_gate_of_its_group(self):
        self.gateway.services.pool("s").groups.set_in_lockstep(True)
        self.reject(self.pausing, LONG_PAUSE)
        answers = await self.send_many()
        self.assertEqual({status for status, _, _ in answers}, {200})
        self.assertEqual(self.arrivals(self.other), REQUESTS)

    async def test_callers_are_refused_at_once_if_all_servers_ask_for_a_long_pause(self):
        for server in self.gateway.backend_servers:
            self.reject(server, LONG_PAUSE)
        await self.send_many()
        began_s = time.monotonic()
        status, headers, body = await self.gateway.send_request("/read/x", "last")
        self.assertLess(time.monotonic() - began_s, 0.1)
        self.assertEqual(status, 503)
        self.assertGreater(float(headers[b"retry-after"]), 25.0)
        self.assertIn(b"2 of 2 backend servers ask for a pause", body)
        self.assertEqual([self.arrivals(item) for item in self.gateway.backend_servers], [1, 1])

    async def test_no_retry_budget_is_spent_where_nothing_can_be_sent(self):
        for server in self.gateway.backend_servers:
            self.reject(server, LONG_PAUSE)
        await self.send_many()
        # Only the first request was sent a second time, before the other server had answered.
        budget = self.gateway.services.pool("s").budget
        self.assertEqual((budget.spent(elapsed_s()), budget.waiting), (1, 0))

    async def test_requests_wait_for_the_end_of_a_short_pause(self):
        for server in self.gateway.backend_servers:
            self.reject(server, b"0.3")
        await self.send_many()
        for server in self.gateway.backend_servers:
            server.usual = Behaviour.ANSWER
        status, _, _ = await self.gateway.send_request("/read/x", "last")
        self.assertEqual(status, 200)

    async def test_requests_sent_together_reach_a_pausing_server_no_more_after_its_answer(self):
        self.reject(self.pausing, LONG_PAUSE)
        sent = []
        for number in range(CONCURRENT):
            sent.append(self.gateway.send_request("/read/x", f"together{number}"))
        answers = await asyncio.gather(*sent)
        self.assertEqual({status for status, _, _ in answers}, {200})
        before = self.arrivals(self.pausing)
        await self.send_many()
        self.assertEqual(self.arrivals(self.pausing), before)

    async def test_another_start_of_the_server_has_asked_for_nothing(self):
        address = self.gateway.addresses["i-0"]
        first = BackendServer("i-0", "s", address, "z", 6, False, 1_000)
        self.gateway.services.put(first)
        self.reject(self.pausing, LONG_PAUSE)
        await self.send_many()
        self.gateway.services.drop("i-0")
        self.gateway.services.put(first)
        await self.send_many()
        self.assertEqual(self.arrivals(self.pausing), 1)
        self.pausing.usual = Behaviour.ANSWER
        self.gateway.services.put(first._replace(started_at_ms=2_000))
        await self.send_many()
        self.assertGreater(self.arrivals(self.pausing), 1)

    async def test_a_pause_of_zero_or_without_a_valid_time_keeps_no_server_out(self):
        for value in (b"0", b"soon", b"-1", b""):
            self.pausing.script = [Behaviour.SHED]
            self.pausing.pauses = [value]
            rejected = self.arrivals(self.pausing) + 1
            began_s = time.monotonic()
            while self.arrivals(self.pausing) <= rejected:
                await self.send_many(value.decode())
                self.assertLess(time.monotonic(), began_s + MAX_RETURN_S)


class DecodePauseTest(unittest.TestCase):
    def decode(self, *values, status=503):
        headers = tuple((b"retry-after", value) for value in values)
        return decode_answer(ResponseHead(status, headers)).pause

    def test_seconds_may_have_fractions(self):
        self.assertEqual(self.decode(b"3"), (3.0, ""))
        self.assertEqual(self.decode(b"0.25"), (0.25, ""))
        self.assertEqual(self.decode(b"0"), (0.0, ""))
        self.assertEqual(self.decode(), (0.0, ""))

    def test_other_statuses_ask_for_no_pause(self):
        self.assertEqual(self.decode(b"3", status=429), (0.0, ""))
        self.assertEqual(self.decode(b"3", status=200), (0.0, ""))

    def test_an_absurd_time_is_shortened_and_reported(self):
        self.assertEqual(self.decode(b"86400"), (MAX_PAUSE_S, "86400"))

    def test_values_that_are_no_time_are_reported_and_ignored(self):
        for value in (b"soon", b"-1", b"nan", b"1e3", b"Fri, 04 Dec 2026 10:00:00 GMT", b"9" * 10):
            self.assertEqual(self.decode(value), (0.0, value.decode()))
        self.assertEqual(self.decode(b""), (0.0, "empty"))

    def test_of_repeated_times_the_longest_counts(self):
        self.assertEqual(self.decode(b"2", b"2"), (2.0, ""))
        self.assertEqual(self.decode(b"2", b"5"), (5.0, "2, 5"))
        self.assertEqual(self.decode(b"soon", b"5"), (5.0, "soon, 5"))
