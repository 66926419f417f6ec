"""Tests that a prompt part which crashes backend servers is quarantined, and sound ones are not.

No two requests are alike; sound ones share the key, the first part and other parts with those that
crash a backend server.
"""

from __future__ import annotations

import asyncio
import time
import unittest

from bronzerudder.gateway.crash_watch import subjects_of
from bronzerudder.http1 import Request
from bronzerudder.peers.messages import CrashSeen
from bronzerudder.platform.requests import decode_request
from bronzerudder.standin.fleet import Behaviour
from tests.gateway.gateway_fleet import BAD_PART, CRASH_PLAN, GatewayFleet

CRASHES_BEFORE_BOUND = 5
MAX_ARRIVALS_AFTER = 3
"""Requests with the part that may still reach backend servers after `CRASHES_BEFORE_BOUND`."""


MAX_ROUNDS = 10


class FleetCase(unittest.IsolatedAsyncioTestCase):
    in_lockstep = False

    async def asyncSetUp(self):
        self.fleet = GatewayFleet(in_lockstep=self.in_lockstep)
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)

    async def send_sound(self, gateway, count=1):
        """Send sound requests at once; return how many were served."""
        answers = await asyncio.gather(
            *(
                self.fleet.send(gateway, "first", f"other{number % 3}", "common")
                for number in range(count)
            )
        )
        self.unserved = [item for item in answers if item[0] != 200 or item[1] is None]
        return count - len(self.unserved)

    async def assert_all_served(self, gateway, count):
        """Send sound requests at once, and check that all are served."""
        await self.send_sound(gateway, count)
        self.assertEqual(self.unserved, [], gateway.name)

    async def send_bad(self, gateway):
        return await self.fleet.send(gateway, "first", "other0", BAD_PART, "common")

    async def crash_until_quarantined(self, *gateways):
        for _ in range(MAX_ROUNDS):
            for gateway in gateways:
                await self.send_bad(gateway)
            if len(self.fleet.crashes) >= 2 and self.fleet.is_quiet():
                return
            await asyncio.sleep(0.3)
        self.fail("not quarantined")


class CrashingPartTest(FleetCase):
    async def test_different_requests_with_a_crashing_part_stop_after_a_few_crashes(self):
        for number in range(20):
            gateway = self.fleet.gateways[number % 3]
            sound = asyncio.create_task(self.send_sound(gateway, 2))
            await self.send_bad(gateway)
            await sound
        self.assertLessEqual(
            len(self.fleet.bad_arrivals), CRASHES_BEFORE_BOUND + MAX_ARRIVALS_AFTER
        )

    async def test_sound_requests_are_served_while_requests_with_a_crashing_part_still_come(self):
        for gateway in self.fleet.gateways:
            await self.assert_all_served(gateway, 6)
        await self.crash_until_quarantined(*self.fleet.gateways)
        await asyncio.sleep(0.5)
        arrived = len(self.fleet.bad_arrivals)
        served = 0
        for number in range(100):
            gateway = self.fleet.gateways[number % 3]
            refused, _ = await self.send_bad(gateway)
            self.assertEqual(refused, 503)
            served += await self.send_sound(gateway, 3)
        self.assertEqual(served, 300)
        self.assertEqual(len(self.fleet.bad_arrivals), arrived)
        self.assertLessEqual(arrived, CRASHES_BEFORE_BOUND + MAX_ARRIVALS_AFTER)

    async def test_sound_parts_that_every_crashing_request_has_are_soon_served_again(self):
        await self.crash_until_quarantined(self.fleet.gateways[0])
        await asyncio.sleep(0.5)
        arrived = len(self.fleet.bad_arrivals)
        for gateway in self.fleet.gateways:
            await self.send_sound(gateway, 6)
        for gateway in self.fleet.gateways:
            await self.assert_all_served(gateway, 20)
            self.assertEqual((await self.send_bad(gateway))[0], 503)
        self.assertEqual(len(self.fleet.bad_arrivals), arrived)

    async def test_a_part_that_crashes_a_server_after_the_first_event_is_found_too(self):
        self.fleet.set_crash_plan(CRASH_PLAN._replace(after_first_event=True, delay_s=0.1))
        for number in range(12):
            gateway = self.fleet.gateways[number % 3]
            sound = asyncio.create_task(self.send_sound(gateway, 2))
            await self.send_bad(gateway)
            await sound
            await asyncio.sleep(0.3)
        self.assertLessEqual(
            len(self.fleet.bad_arrivals), CRASHES_BEFORE_BOUND + MAX_ARRIVALS_AFTER
        )
        await self.assert_all_served(self.fleet.gateways[0], 10)

    async def test_a_part_proven_at_another_gateway_only_is_not_quarantined(self):
        first, second, _ = self.fleet.gateways
        await self.assert_all_served(first, 3)
        for _ in range(3):
            await self.send_bad(second)
            await asyncio.sleep(0.4)
        await self.assert_all_served(second, 20)

    async def test_answers_reset_by_servers_that_still_listen_do_not_quarantine_their_parts(self):
        for server in self.fleet.backend_servers:
            server.usual = Behaviour.RESET
        for gateway in self.fleet.gateways:
            await self.send_sound(gateway, 3)
        for server in self.fleet.backend_servers:
            server.usual = Behaviour.ANSWER
        await asyncio.sleep(1.5)
        for gateway in self.fleet.gateways:
            await self.assert_all_served(gateway, 5)


class LockstepGroupTest(FleetCase):
    in_lockstep = True

    async def test_crashes_of_a_group_quarantine_the_part_and_no_request_that_was_cut(self):
        for number in range(24):
            gateway = self.fleet.gateways[number % 3]
            sound = asyncio.create_task(self.send_sound(gateway, 4))
            await self.send_bad(gateway)
            await sound
            await asyncio.sleep(0.1)
        self.assertGreater(self.fleet.cut_streams, 0)
        self.assertLessEqual(
            len(self.fleet.bad_arrivals), CRASHES_BEFORE_BOUND + MAX_ARRIVALS_AFTER
        )
        await asyncio.sleep(1.0)
        for gateway in self.fleet.gateways:
            await self.assert_all_served(gateway, 30)
            self.assertEqual(len(gateway.crashes._ledger.offenders), 1)


class MissedMessagesTest(FleetCase):
    LEARNED_S = 3.0
    """Time after which a gateway must act on crashes that others know of."""

    async def assert_refused_everywhere(self):
        arrived = len(self.fleet.bad_arrivals)
        for gateway in self.fleet.gateways:
            self.assertEqual((await self.send_bad(gateway))[0], 503, gateway.name)
            await self.assert_all_served(gateway, 6)
        self.assertEqual(len(self.fleet.bad_arrivals), arrived)
        self.assertLess(self.fleet.largest_message, 1400)

    async def test_a_gateway_that_starts_after_the_crashes_learns_of_them(self):
        for gateway in self.fleet.gateways:
            await self.send_sound(gateway, 6)
        await self.crash_until_quarantined(self.fleet.gateways[0])
        await self.fleet.add_gateway()
        await asyncio.sleep(self.LEARNED_S)
        await self.assert_refused_everywhere()

    async def test_a_gateway_that_lost_all_messages_learns_once_they_arrive_again(self):
        for gateway in self.fleet.gateways:
            await self.send_sound(gateway, 6)
        self.fleet.cut_off.add("g-2")
        await self.crash_until_quarantined(self.fleet.gateways[0])
        self.fleet.cut_off.clear()
        await asyncio.sleep(self.LEARNED_S)
        await self.assert_refused_everywhere()

    async def test_gateways_that_were_apart_agree_on_what_is_sound(self):
        first, second, third = self.fleet.gateways
        await self.send_sound(third, 6)
        self.fleet.cut_off.update(("g-0", "g-1"))
        await self.crash_until_quarantined(first)
        await self.crash_until_quarantined(second)
        self.fleet.cut_off.clear()
        await asyncio.sleep(self.LEARNED_S)
        await self.assert_refused_everywhere()
        digests = {gateway.crashes._ledger.digest for gateway in self.fleet.gateways}
        self.assertEqual(len(digests), 1)


class JudgedBeforeSendTest(FleetCase):
    """Requests that are admitted before the crashes are known."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.gateway = self.fleet.gateways[0]

    def report_crashes(self, *parts):
        subjects = subjects_of(*make_request(*parts)).parts
        for number in range(2):
            self.gateway.crashes.add_report(
                CrashSeen(f"crash-{number}", [*subjects, f"f{number}"], 4.0 * number)
            )

    async def test_a_request_that_waits_for_a_slot_is_refused_once_its_part_is_quarantined(self):
        for server in self.fleet.backend_servers[2:]:
            self.gateway.services.drop(server.instance_id)
        for server in self.fleet.backend_servers:
            server.event_gap_s = 0.12
        slots = 6 * 2
        running = asyncio.create_task(self.send_sound(self.gateway, slots))
        while sum(server.running for server in self.fleet.backend_servers) < slots:
            await asyncio.sleep(0.01)
        sending = asyncio.create_task(self.send_bad(self.gateway))
        await asyncio.sleep(0.1)
        self.report_crashes(BAD_PART)
        began_s = time.monotonic()
        self.assertEqual((await sending)[0], 503)
        self.assertLess(time.monotonic() - began_s, 0.3)
        self.assertEqual(self.fleet.bad_arrivals, [])
        self.assertEqual(await running, slots)

    async def test_a_request_with_a_slot_is_not_sent_once_its_part_is_quarantined(self):
        queue = self.gateway.services.pool("s").queue
        acquire = queue.acquire

        async def acquire_late(request):
            assignment = await acquire(request)
            self.report_crashes(BAD_PART)
            return assignment

        queue.acquire = acquire_late
        status, body = await self.send_bad(self.gateway)
        self.assertEqual((status, self.fleet.bad_arrivals), (503, []))
        self.assertIn(b"quarantined", body)
        self.assertEqual(queue.running, 0)

    async def test_a_request_is_not_sent_again_once_a_peer_has_reported_its_part(self):
        async def crash_and_report(incarnation, address, must_refuse):
            self.report_crashes(BAD_PART)

        self.gateway.crashes.on_connection_broken = crash_and_report
        await self.send_bad(self.gateway)
        self.assertEqual(len(self.fleet.bad_arrivals), 1)

    async def test_suspects_run_one_at_a_time(self):
        self.report_crashes(BAD_PART, "first")
        for server in self.fleet.backend_servers:
            server.event_gap_s = 0.1
        answers = await asyncio.gather(*(self.fleet.send(self.gateway, "first") for _ in range(4)))
        self.assertEqual(sorted(status for status, _ in answers), [200, 503, 503, 503])
        await self.assert_all_served(self.gateway, 4)
        self.assertEqual((await self.send_bad(self.gateway))[0], 503)


def make_request(*shared_parts):
    value = ",".join(f"{part}:40" for part in (*shared_parts, "own"))
    headers = ((b"prompt-prefix", value.encode()), (b"x-api-key", b"key"))
    request = Request(b"POST", b"/stream/", headers, b"")
    return request, decode_request(request)


if __name__ == "__main__":
    unittest.main()
