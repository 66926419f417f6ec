"""Tests of queueing and refusing requests, single decisions and under a burst."""

from __future__ import annotations

import asyncio
import random
import time
import unittest
from unittest import mock

import anyio

from bronzerudder.gateway import slot_queue
from bronzerudder.gateway.errors import Refusal, RefusalKind
from bronzerudder.gateway.slot_queue import SlotQueue, SlotRequest
from bronzerudder.policy.routing import Assignment, Candidate, FreeSlotRouting, RoutedRequest
from tests.expert_maps.simulated_group import VirtualTime, run_virtual

TIMEOUT_S = 5.0
FIRST_HOLD_S = 0.045
"""Ends at no other request's end, as the order would then depend on which event comes first."""


class QueueFixture:
    """A slot queue in front of one backend server."""

    def __init__(self, slots=1):
        self.candidate = Candidate("i-0", "z", slots=slots)
        self.usable = True
        self.queue = SlotQueue(
            FreeSlotRouting(random.Random(1)),
            lambda: (self.candidate,) if self.usable else (),
            lambda: (self.candidate,),
        )

    def slot_request(self, name, workspace="w", priority=1, on_time_s=0.2, timeout_s=60.0):
        now_s = slot_queue.time.monotonic()
        routed = RoutedRequest()
        return SlotRequest(name, workspace, priority, now_s + on_time_s, now_s + timeout_s, routed)

    async def serve(self, slot_request, served, hold_s=0.02):
        assigned = await self.queue.acquire(slot_request)
        served.append((slot_request.request_id, assigned))
        if isinstance(assigned, Assignment):
            await anyio.sleep(hold_s)
            self.queue.release(slot_request, assigned)


async def order_of(waiting_requests, queue, hold_s=0.02):
    """Serve one request, queue the others behind it, and return the order in which they start."""
    served: list = []
    with anyio.fail_after(TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(queue.queue.run)
            async with anyio.create_task_group() as requests:
                first = queue.slot_request("first")
                requests.start_soon(queue.serve, first, served, FIRST_HOLD_S)
                await anyio.sleep(0.01)
                for slot_request in waiting_requests:
                    requests.start_soon(queue.serve, slot_request, served, hold_s)
                    await anyio.sleep(0.001)
            tasks.cancel_scope.cancel()
    return [name for name, _ in served[1:]]


class OrderTest(unittest.TestCase):
    """In virtual time: a pause of the process would let a slot become free before all wait."""

    def setUp(self):
        patcher = mock.patch.object(slot_queue, "time", VirtualTime)
        patcher.start()
        self.addCleanup(patcher.stop)

    def order_of(self, *waiting, slots=1):
        """Return the order in which requests start; each is a name and what it differs in."""

        async def play():
            queue = QueueFixture(slots)
            requests = [queue.slot_request(name, **changes) for name, changes in waiting]
            return await order_of(requests, queue)

        return run_virtual(play)

    def test_the_more_urgent_goes_first(self):
        order = self.order_of(("later", {"priority": 2}), ("sooner", {"priority": 0}))
        self.assertEqual(order, ["sooner", "later"])

    def test_who_can_still_be_on_time_goes_before_who_is_late(self):
        order = self.order_of(("late", {"on_time_s": 0.0}), ("fresh", {}))
        self.assertEqual(order, ["fresh", "late"])

    def test_a_large_workspace_does_not_starve_a_small_one(self):
        large = [(f"large-{number}", {"workspace": "large"}) for number in range(6)]
        order = self.order_of(*large, ("small", {"workspace": "small"}), slots=2)
        self.assertLess(order.index("small"), 3)

    def test_equals_go_in_the_order_of_their_arrival(self):
        order = self.order_of(*((f"r{number}", {}) for number in range(4)))
        self.assertEqual(order, ["r0", "r1", "r2", "r3"])


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_wait_beyond_the_callers_patience_is_refused_at_once(self):
        queue = QueueFixture()
        queue.candidate.slots = 1
        assigned = await queue.queue.acquire(queue.slot_request("running"))
        self.assertIsInstance(assigned, Assignment)
        started_s = time.monotonic()
        refused = await queue.queue.acquire(queue.slot_request("hopeless", timeout_s=0.1))
        self.assertIsInstance(refused, Refusal)
        self.assertIs(refused.kind, RefusalKind.OVERLOADED)
        self.assertLess(time.monotonic() - started_s, 0.05)
        self.assertGreater(refused.retry_after_s, 0)

    async def test_times_to_return_are_spread(self):
        queue = QueueFixture()
        await queue.queue.acquire(queue.slot_request("running"))
        times = set()
        for number in range(20):
            refused = await queue.queue.acquire(queue.slot_request(f"r{number}", timeout_s=0.0))
            times.add(round(refused.retry_after_s, 4))
        self.assertGreater(len(times), 10)

    async def test_a_slot_that_does_not_come_ends_in_a_refusal(self):
        queue = QueueFixture()
        queue.queue._free_rate = 100.0
        await queue.queue.acquire(queue.slot_request("running"))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(queue.queue.run)
            with anyio.fail_after(TIMEOUT_S):
                refused = await queue.queue.acquire(queue.slot_request("waiting", timeout_s=0.1))
            tasks.cancel_scope.cancel()
        self.assertIsInstance(refused, Refusal)

    async def test_requests_wait_for_a_group_that_forms_again(self):
        queue = QueueFixture(slots=6)
        queue.usable = False
        served: list = []
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(queue.queue.run)
                for number in range(4):
                    tasks.start_soon(queue.serve, queue.slot_request(f"r{number}"), served)
                await anyio.sleep(0.05)
                self.assertEqual((served, queue.queue.waiting), ([], 4))
                queue.usable = True
                await anyio.sleep(0.1)
                tasks.cancel_scope.cancel()
        self.assertTrue(all(isinstance(assigned, Assignment) for _, assigned in served))
        self.assertEqual(len(served), 4)

    async def test_a_caller_that_leaves_gives_its_slot_back(self):
        queue = QueueFixture()
        assigned = await queue.queue.acquire(queue.slot_request("running"))
        queue.queue._free_rate = 100.0
        waiting = asyncio.create_task(queue.queue.acquire(queue.slot_request("leaves")))
        await anyio.sleep(0.01)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        queue.queue.release(queue.slot_request("running"), assigned)
        self.assertEqual((queue.queue.waiting, queue.candidate.own_requests), (0, 0))


class BurstTest(unittest.TestCase):
    """Compares starts in time with first come, first served, at three times the capacity for 1 s.

    Runs in virtual time, as a slow machine would stretch the second and so reduce the load.
    """

    SLOTS = 8
    HOLD_S = 0.05
    REQUESTS = 480
    OBJECTIVE_S = 0.1

    async def run_burst(self, first_come: bool) -> int:
        queue = QueueFixture(slots=self.SLOTS)
        if first_come:
            queue.queue._sort_key = lambda waiter, now_s: (waiter.arrived_at_s,)
        started: list[float] = []

        async def request(number):
            slot_request = queue.slot_request(
                f"r{number}", on_time_s=self.OBJECTIVE_S, timeout_s=1.5
            )
            queued_s = VirtualTime.monotonic()
            assigned = await queue.queue.acquire(slot_request)
            if isinstance(assigned, Refusal):
                return
            started.append(VirtualTime.monotonic() - queued_s)
            await anyio.sleep(self.HOLD_S)
            queue.queue.release(slot_request, assigned)

        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(queue.queue.run)
                async with anyio.create_task_group() as requests:
                    for number in range(self.REQUESTS):
                        requests.start_soon(request, number)
                        await anyio.sleep(1.0 / self.REQUESTS)
                tasks.cancel_scope.cancel()
        return sum(1 for wait_s in started if wait_s <= self.OBJECTIVE_S)

    def test_more_callers_are_served_in_time_than_first_come_first_served(self):
        with mock.patch.object(slot_queue, "time", VirtualTime):
            in_arrival_order = run_virtual(self.run_burst, True)
            in_queue_order = run_virtual(self.run_burst, False)
        self.assertGreater(in_queue_order, 1.5 * in_arrival_order)


if __name__ == "__main__":
    unittest.main()
