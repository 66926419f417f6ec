"""Tests of a gateway process while the store holds objects that can't be decoded."""

from __future__ import annotations

import json
import unittest

import anyio
import msgspec

from tests.platform.unreadable import UNREADABLE_VALUES
from tests.processes.gateway_case import TIMEOUT_S, GatewayProcessCase


class UnreadableEntryTest(GatewayProcessCase):
    def put_unreadable(self):
        for number, value in enumerate(UNREADABLE_VALUES):
            self.store.put("servers", f"a-{number}", msgspec.Raw(value))

    def log_lines(self, event):
        lines = [json.loads(line) for line in self.log.read_text(encoding="utf-8").splitlines()]
        return [line for line in lines if line["event"] == event]

    async def wait_for_lines(self, event, count=1):
        with anyio.fail_after(TIMEOUT_S):
            while len(self.log_lines(event)) < count:
                await anyio.sleep(0.05)

    async def test_a_gateway_that_starts_beside_unreadable_entries_serves(self):
        self.put_unreadable()
        await self.start()
        status, _ = await self.send_request(b"/read/a", "r-1")
        self.assertEqual(status, 200)
        ignored = self.log_lines("backend server entry ignored")
        self.assertEqual(len(ignored), len(UNREADABLE_VALUES))
        self.assertEqual(self.log_lines("store lost"), [])

    async def test_a_server_that_leaves_beside_unreadable_entries_is_noticed(self):
        await self.start()
        self.put_unreadable()
        record = self.store.find("servers", "i-0")
        self.store.put("servers", "i-0", {**record, "state": "draining"})
        self.put_unreadable()
        await self.wait_for_lines("backend server changed")
        self.assertTrue(self.log_lines("backend server changed")[0]["leaving"])
        self.assertEqual(self.log_lines("store lost"), [])

    async def test_an_unreadable_configuration_leaves_the_last_one_in_force(self):
        await self.start()
        before = self.store.find("config", "main")
        for value in UNREADABLE_VALUES:
            self.store.put("config", "main", msgspec.Raw(value))
        await self.wait_for_lines("configuration rejected")
        self.assertEqual((await self.send_request(b"/read/a", "r-1"))[0], 200)
        self.store.put("config", "main", {**before, "version": before["version"] + 1})
        await self.wait_for_lines("configuration in force", 2)
        self.assertEqual(self.log_lines("store lost"), [])

    async def test_a_gateway_that_cannot_read_the_list_says_why_once(self):
        # The store's own part of the page is not what the page describes.
        self.store.put("servers", "b", 1)
        self.store._objects["servers"]["b"]["metadata"]["revision"] = "none"
        with self.assertRaises(TimeoutError), anyio.fail_after(3.0):
            await self.start()
        lost = self.log_lines("store lost")
        self.assertEqual([line["kind"] for line in lost], ["servers"])
        self.assertIn("cannot be decoded", lost[0]["reason"])


if __name__ == "__main__":
    unittest.main()
