"""Tests that a quarantined prompt part stays so when the gateway process is killed."""

from __future__ import annotations

import json
import unittest

import anyio

from bronzerudder.http1 import ClientPool
from bronzerudder.standin.fleet import CrashPlan
from tests.processes.gateway_case import TIMEOUT_S, GatewayProcessCase

BAD_PART = "bad0"
MAX_ROUNDS = 12


class CrashingPartProcessTest(GatewayProcessCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.sent = 0
        server = self.backend_server
        server.crash_plan = CrashPlan(frozenset({BAD_PART}), down_s=0.3, new_instance=True)
        self.entry = self.store._objects["servers"]["i-0"]["spec"]
        server.on_new_instance = self.relist

    def relist(self, old_id):
        self.store.remove("servers", old_id)
        self.store.put("servers", self.backend_server.instance_id, self.entry)

    async def send_prompt(self, *shared_parts):
        self.sent += 1
        parts = ",".join(f"{part}:40" for part in (*shared_parts, f"own{self.sent}"))
        headers = [
            (b"host", b"h.example"),
            (b"x-api-key", b"key"),
            (b"attempt-id", b"r%d" % self.sent),
            (b"deadline-ms", b"1500"),
            (b"prompt-prefix", parts.encode()),
        ]
        with anyio.fail_after(TIMEOUT_S):
            return await ClientPool().call(
                self.addresses["caller_address"],
                b"POST",
                b"/stream/",
                headers,
                b"%d" % self.sent,
            )

    async def test_a_part_stays_quarantined_when_all_gateways_are_killed(self):
        process = await self.start()
        self.assertEqual((await self.send_prompt("first"))[0], 200)
        for _ in range(MAX_ROUNDS):
            answer = await self.send_prompt("first", BAD_PART)
            if isinstance(answer, tuple) and b"quarantined" in answer[1]:
                break
            await anyio.sleep(0.5)
        self.assertIn(b"quarantined", answer[1])
        with anyio.fail_after(TIMEOUT_S):
            while len(self.store._objects.get("bronzerudder-crashes", {})) < 2:
                await anyio.sleep(0.05)
        process.kill()
        process.wait()
        arrived = len(self.backend_server.crashing_arrivals)
        await self.start()
        with anyio.fail_after(TIMEOUT_S):
            while '"crash read"' not in self.log.read_text():
                await anyio.sleep(0.05)
        for _ in range(5):
            self.assertEqual((await self.send_prompt("first", BAD_PART))[0], 503)
        self.assertEqual((await self.send_prompt("first"))[0], 200)
        self.assertEqual(len(self.backend_server.crashing_arrivals), arrived)
        events = [json.loads(line)["event"] for line in self.log.read_text().splitlines()]
        self.assertIn("request quarantined", events)


if __name__ == "__main__":
    unittest.main()
