"""Tests of queueing and refusing, on the decision code and under a burst."""

from __future__ import annotations

import asyncio
import random
import time
import unittest
from unittest import mock

import anyio

from bronzerudder.gateway import slot_queue
from bronzerudder.gateway.errors import Refusal, RefusalKind
from bronzerudder.gateway.slot_queue import Ticket, WaitingRoom
from bronzerudder.policy.routing import Candidate, FreeSlotRouting, Placement, RoutedRequest
from tests.expert_maps.simulated_group import VirtualTime, run_virtual

TIMEOUT_S = 5.0


class Room:
    """A waiting room before one backend server."""

    def __init__(self, slots=1):
        self.candidate = Candidate("i-0", "z", slots=slots)
        self.usable = True
        self.room = WaitingRoom(
            FreeSlotRouting(random.Random(1)),
            lambda: (self.candidate,) if self.usable else (),
            lambda: (self.candidate,),
        )

    def ticket(self, name, workspace="w", priority=1, on_time_s=0.2, patience_s=60.0):
        now_s = slot_queue.time.monotonic()
        routed = RoutedRequest()
        return Ticket(name, workspace, priority, now_s + on_time_s, now_s + patience_s, routed)

    async def serve(self, ticket, served, hold_s=0.02):
        placed = await self.room.acquire(ticket)
        served.append((ticket.request_id, placed))
        if isinstance(placed, Placement):
            await anyio.sleep(hold_s)
            self.room.release(ticket, placed)


async def order_of(tickets, room, hold_s=0.02):
    """Serve one request, queue the tickets behind it, and return the order of their starts."""
    served: list = []
    with anyio.fail_after(TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(room.room.run)
            async with anyio.create_task_group() as requests:
                requests.start_soon(room.serve, room.ticket("first"), served, 0.05)
                await anyio.sleep(0.01)
                for ticket in tickets:
                    requests.start_soon(room.serve, ticket, served, hold_s)
                    await anyio.sleep(0.001)
            tasks.cancel_scope.cancel()
    return [name for name, _ in served[1:]]


class OrderTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_more_urgent_goes_first(self):
        room = Room()
        tickets = [room.ticket("later", priority=2), room.ticket("sooner", priority=0)]
        self.assertEqual(await order_of(tickets, room), ["sooner", "later"])

    async def test_who_can_still_be_on_time_goes_before_who_is_late(self):
        room = Room()
        tickets = [room.ticket("late", on_time_s=0.0), room.ticket("fresh")]
        self.assertEqual(await order_of(tickets, room), ["fresh", "late"])

    async def test_a_large_workspace_does_not_starve_a_small_one(self):
        room = Room(slots=2)
        tickets = [room.ticket(f"large-{number}", "large") for number in range(6)]
        tickets.append(room.ticket("small", "small"))
        order = await order_of(tickets, room)
        self.assertLess(order.index("small"), 3)

    async def test_equals_go_in_the_order_of_their_arrival(self):
        room = Room()
        tickets = [room.ticket(f"r{number}") for number in range(4)]
        self.assertEqual(await order_of(tickets, room), ["r0", "r1", "r2", "r3"])


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_wait_beyond_the_callers_patience_is_refused_at_once(self):
        room = Room()
        room.candidate.slots = 1
        placed = await room.room.acquire(room.ticket("running"))
        self.assertIsInstance(placed, Placement)
        started_s = time.monotonic()
        refused = await room.room.acquire(room.ticket("hopeless", patience_s=0.1))
        self.assertIsInstance(refused, Refusal)
        self.assertIs(refused.kind, RefusalKind.OVERLOADED)
        self.assertLess(time.monotonic() - started_s, 0.05)
        self.assertGreater(refused.retry_after_s, 0)

    async def test_times_to_return_are_spread(self):
        room = Room()
        await room.room.acquire(room.ticket("running"))
        times = set()
        for number in range(20):
            refused = await room.room.acquire(room.ticket(f"r{number}", patience_s=0.0))
            times.add(round(refused.retry_after_s, 4))
        self.assertGreater(len(times), 10)

    async def test_a_slot_that_does_not_come_ends_in_a_refusal(self):
        room = Room()
        room.room._free_rate = 100.0
        await room.room.acquire(room.ticket("running"))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(room.room.run)
            with anyio.fail_after(TIMEOUT_S):
                refused = await room.room.acquire(room.ticket("waiting", patience_s=0.1))
            tasks.cancel_scope.cancel()
        self.assertIsInstance(refused, Refusal)

    async def test_requests_wait_for_a_group_that_forms_again(self):
        room = Room(slots=6)
        room.usable = False
        served: list = []
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(room.room.run)
                for number in range(4):
                    tasks.start_soon(room.serve, room.ticket(f"r{number}"), served)
                await anyio.sleep(0.05)
                self.assertEqual((served, room.room.waiting), ([], 4))
                room.usable = True
                await anyio.sleep(0.1)
                tasks.cancel_scope.cancel()
        self.assertTrue(all(isinstance(placed, Placement) for _, placed in served))
        self.assertEqual(len(served), 4)

    async def test_a_caller_that_leaves_gives_its_slot_back(self):
        room = Room()
        placed = await room.room.acquire(room.ticket("running"))
        room.room._free_rate = 100.0
        waiting = asyncio.create_task(room.room.acquire(room.ticket("leaves")))
        await anyio.sleep(0.01)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        room.room.release(room.ticket("running"), placed)
        self.assertEqual((room.room.waiting, room.candidate.own_requests), (0, 0))


class BurstTest(unittest.TestCase):
    """Three times the capacity for a second: what callers get, against first come, first served.

    Played in virtual time, as a busy machine would stretch the second and so lessen the load.
    """

    SLOTS = 8
    HOLD_S = 0.05
    REQUESTS = 480
    OBJECTIVE_S = 0.1

    async def play(self, first_come: bool) -> int:
        room = Room(slots=self.SLOTS)
        if first_come:
            room.room._order = lambda waiter, now_s: (waiter.arrived_at_s,)
        started: list[float] = []

        async def request(number):
            ticket = room.ticket(f"r{number}", on_time_s=self.OBJECTIVE_S, patience_s=1.5)
            asked_s = VirtualTime.monotonic()
            placed = await room.room.acquire(ticket)
            if isinstance(placed, Refusal):
                return
            started.append(VirtualTime.monotonic() - asked_s)
            await anyio.sleep(self.HOLD_S)
            room.room.release(ticket, placed)

        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(room.room.run)
                async with anyio.create_task_group() as requests:
                    for number in range(self.REQUESTS):
                        requests.start_soon(request, number)
                        await anyio.sleep(1.0 / self.REQUESTS)
                tasks.cancel_scope.cancel()
        return sum(1 for wait_s in started if wait_s <= self.OBJECTIVE_S)

    def test_more_callers_are_served_in_time_than_first_come_first_served(self):
        with mock.patch.object(slot_queue, "time", VirtualTime):
            plain = run_virtual(self.play, True)
            ours = run_virtual(self.play, False)
        self.assertGreater(ours, 1.5 * plain)


if __name__ == "__main__":
    unittest.main()
