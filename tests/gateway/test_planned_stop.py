"""Tests of what a gateway that is being stopped takes on, and how it ends the rest."""

from __future__ import annotations

import asyncio
import time
import unittest

from bronzerudder.gateway.planned_stop import MAX_ROUTES, MEMORY_S, LongestAnswers
from bronzerudder.standin.fleet import Behaviour
from tests.gateway.harness import make_configuration, make_route
from tests.gateway.test_handler import GatewayCase

ANSWER_S = 0.6
SLOTS = 12
"""Of both backend servers."""


class PlannedStopTest(GatewayCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        times = {"timeout_ms": 4000, "target_latency_ms": 400}
        routes = [
            make_route("book", "non_idempotent", max_attempts=1, **times),
            make_route("read", "idempotent", **times),
            make_route("once", "streaming", resumable=False, **times),
        ]
        self.gateway.configuration.apply_value(make_configuration(2, routes=routes))
        for server in self.gateway.backend_servers:
            server.answer_delay_s = ANSWER_S

    def begin(self, after_s):
        self.gateway.planned_stop.begin(time.monotonic() + after_s)

    def send(self, path, request_id="r"):
        return asyncio.create_task(self.gateway.send_request(path, request_id))

    async def fill_slots(self):
        tasks = [self.send("/book/x", f"slot{number}") for number in range(SLOTS)]
        await asyncio.sleep(0.2)
        self.assertEqual(self.gateway.runs(), SLOTS)
        return tasks

    async def test_a_request_that_cannot_end_in_time_is_refused_and_not_sent(self):
        self.begin(after_s=0.1)
        status, headers, body = await self.send("/book/x")
        self.assertEqual((status, self.gateway.runs()), (503, 0))
        self.assertIn(b"the gateway stops", body)
        self.assertLess(float(headers[b"retry-after"]), 0.2)

    async def test_answers_of_a_route_tell_how_long_the_next_may_take(self):
        self.assertEqual((await self.send("/read/x"))[0], 200)
        self.begin(after_s=ANSWER_S - 0.1)
        self.assertEqual((await self.send("/read/x", "late"))[0], 503)
        self.assertEqual(self.gateway.runs(), 1)

    async def test_a_request_that_can_end_in_time_is_served(self):
        self.begin(after_s=ANSWER_S + 0.5)
        self.assertEqual((await self.send("/book/x"))[0], 200)

    async def test_a_request_that_waits_for_a_slot_is_refused_once_it_cannot_end_in_time(self):
        self.gateway.backend_servers[0].answer_delay_s = 2.0
        self.gateway.backend_servers[1].answer_delay_s = 2.0
        running = await self.fill_slots()
        self.begin(after_s=0.5)
        waiting_s = time.monotonic()
        self.assertEqual((await self.send("/book/x", "waits"))[0], 503)
        self.assertLess(time.monotonic() - waiting_s, 0.6)
        self.assertEqual(self.gateway.runs(), SLOTS)
        self.assertEqual({(await task)[0] for task in running}, {200})

    async def test_a_booking_that_was_rejected_is_not_sent_again_late(self):
        for server in self.gateway.backend_servers:
            server.usual = Behaviour.SHED
            server.pauses = [b"0.3"]
        sent = self.send("/book/x")
        await asyncio.sleep(0.1)
        self.begin(after_s=0.35)
        for server in self.gateway.backend_servers:
            server.usual = Behaviour.ANSWER
        self.assertEqual((await sent)[0], 503)
        self.assertEqual(self.gateway.runs(), 0)

    async def test_at_the_end_a_running_booking_is_answered_as_unknown(self):
        sent = self.send("/book/x")
        await asyncio.sleep(0.2)
        self.gateway.planned_stop.end()
        ended_s = time.monotonic()
        status, _, body = await sent
        self.assertEqual(status, 504)
        self.assertIn(b"outcome unknown", body)
        self.assertLess(time.monotonic() - ended_s, 0.1)
        self.assertEqual(self.gateway.runs(), 1)

    async def test_at_the_end_a_waiting_booking_is_answered_as_not_run(self):
        await self.fill_slots()
        sent = self.send("/book/x", "waits")
        await asyncio.sleep(0.1)
        self.gateway.planned_stop.end()
        self.assertEqual((await sent)[0], 503)
        self.assertEqual(self.gateway.runs(), SLOTS)

    async def test_at_the_end_a_stream_under_way_is_cut_and_never_looks_whole(self):
        for server in self.gateway.backend_servers:
            server.event_gap_s = 0.15
        sent = self.send("/once/")
        await asyncio.sleep(0.3)
        self.gateway.planned_stop.end()
        status, _, body = await sent
        self.assertEqual((status, body), (200, None))


class LongestAnswersTest(unittest.TestCase):
    def test_the_longest_answer_counts_for_a_while(self):
        longest = LongestAnswers()
        longest.record("r", 2.0, MEMORY_S)
        longest.record("r", 1.0, MEMORY_S + 1.0)
        self.assertEqual(longest.find("r"), 2.0)
        longest.record("r", 0.5, 2.1 * MEMORY_S)
        self.assertEqual(longest.find("r"), 2.0)
        longest.record("r", 0.4, 3.2 * MEMORY_S)
        self.assertEqual(longest.find("r"), 0.5)
        self.assertEqual(longest.find("other"), 0.0)

    def test_memory_is_bounded(self):
        longest = LongestAnswers()
        for number in range(2 * MAX_ROUTES):
            longest.record(f"r{number}", 1.0, 1.0)
        self.assertEqual(longest.find("r0"), 1.0)
        self.assertEqual(longest.find(f"r{2 * MAX_ROUTES - 1}"), 0.0)


if __name__ == "__main__":
    unittest.main()
