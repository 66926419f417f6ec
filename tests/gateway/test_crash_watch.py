"""Tests of what counts as a crash of a backend server."""

from __future__ import annotations

import asyncio
import unittest

from bronzerudder.standin.fleet import Behaviour
from tests.gateway.gateway_fleet import BAD_PART, GatewayFleet


class SharedCrashTest(unittest.IsolatedAsyncioTestCase):
    async def test_reports_of_two_gateways_of_one_crash_do_not_quarantine_a_sound_request(self):
        fleet = GatewayFleet(gateways=2, servers=1)
        await fleet.start()
        self.addAsyncCleanup(fleet.stop)
        fleet.backend_servers[0].event_gap_s = 0.2
        first, second = fleet.gateways
        waiting = [
            asyncio.create_task(gateway.send_request("/stream/", gateway.name))
            for gateway in fleet.gateways
        ]
        while fleet.backend_servers[0].running < 2:
            await asyncio.sleep(0.005)
        await fleet.send(first, "first", BAD_PART)
        await asyncio.gather(*waiting)
        self.assertEqual(len(first.crash_reports), 1)
        self.assertEqual(len(second.crash_reports), 1)
        fleet.backend_servers[0].event_gap_s = 0.01
        await asyncio.sleep(0.4)
        status, _, body = await first.send_request("/stream/", "again")
        self.assertEqual((status, b"id: 6" in body), (200, True), body)


class LockstepCrashTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = GatewayFleet(gateways=1, servers=4)
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)
        self.gateway = self.fleet.gateways[0]
        self.gateway.services.pool("s").groups.set_in_lockstep(True)

    async def send_sound(self, count):
        answers = await asyncio.gather(
            *(self.fleet.send(self.gateway, "first") for _ in range(count))
        )
        return [status for status, _ in answers]

    async def test_streams_reset_by_ranks_that_still_listen_are_no_crashes(self):
        for server in self.fleet.backend_servers:
            server.usual = Behaviour.RESET
        for _ in range(3):
            await self.send_sound(4)
        self.assertGreater(sum(len(server.runs) for server in self.fleet.backend_servers), 0)
        self.assertEqual(self.gateway.crash_reports, [])

    async def test_a_rank_that_refuses_connections_after_the_break_has_crashed(self):
        await self.fleet.send(self.gateway, "first", BAD_PART)
        self.assertEqual(len(self.fleet.crashes), len(self.gateway.crash_reports))
        self.assertGreater(len(self.gateway.crash_reports), 0)

    async def test_a_crash_is_reported_before_the_request_is_sent_again(self):
        await self.fleet.send(self.gateway, "first", BAD_PART)
        self.assertEqual(len(self.fleet.crashes), 2)
        reports = self.gateway.report_at_s
        self.assertLess(reports[0], self.fleet.bad_arrivals[1])

    async def test_a_crash_is_reported_although_its_caller_left(self):
        async def probe_slowly(address):
            await asyncio.sleep(0.1)
            return True

        self.gateway.crashes._probe = probe_slowly
        sending = asyncio.create_task(self.fleet.send(self.gateway, "first", BAD_PART))
        while not self.fleet.crashes:
            await asyncio.sleep(0.005)
        sending.cancel()
        await asyncio.sleep(0.2)
        self.assertEqual(len(self.gateway.crash_reports), 1)


if __name__ == "__main__":
    unittest.main()
