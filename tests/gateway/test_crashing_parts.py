"""Tests that a prompt part which crashes backend servers is quarantined, and sound ones are not.

No two requests are alike; sound ones share the key, the first part and other parts with those that
crash a backend server.
"""

from __future__ import annotations

import asyncio
import unittest

from tests.gateway.gateway_fleet import BAD_PART, GatewayFleet

CRASHES_BEFORE_BOUND = 5
MAX_ARRIVALS_AFTER = 3
"""Requests with the part that may still reach backend servers after `CRASHES_BEFORE_BOUND`."""


class FleetCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = GatewayFleet()
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
        return sum(status == 200 and body is not None for status, body in answers)

    async def send_bad(self, gateway):
        return await self.fleet.send(gateway, "first", "other0", BAD_PART, "common")


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


if __name__ == "__main__":
    unittest.main()
