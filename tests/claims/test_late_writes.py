"""Tests that a late or repeated release never frees a key that was claimed again.

A release is written on condition of a version of the shard's head. It may arrive after its writer
has timed out, and is written again after a conflict or an error. If it took effect after a new
claim of the key, another agent could be granted the key while its request runs.
"""

from __future__ import annotations

import asyncio
import unittest

import anyio.lowlevel

from bench.harness.memory_store import DOWN, LOST, HeldCall, MemoryStore, Objects
from bronzerudder.claims import ClaimKey, Granted, StoredClaimRegister

LOOP_TURNS = 30
NO_TIMEOUT_S = 1e6
SETTINGS = {"finish_delay_s": 0.0, "retry_after_s": 0.0, "store_timeout_s": NO_TIMEOUT_S}
KEY = ClaimKey(bytes(16), b"12345678")
OTHER_KEY = ClaimKey(bytes(15) + b"\1", b"12345678")


async def run_pending_tasks() -> None:
    for _ in range(LOOP_TURNS):
        await anyio.lowlevel.checkpoint()


class LateWritesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.objects = Objects()
        self.held: list[HeldCall] = []
        self.granted: list[tuple[str, ClaimKey]] = []
        self.tasks: list[asyncio.Task] = []
        self.left = self.start_register("left", 1)
        self.right = self.start_register("right", 2)

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        await run_pending_tasks()

    def start_register(self, owner: str, incarnation: int) -> StoredClaimRegister:
        store = MemoryStore(self.objects, held_calls=self.held, owner=owner)
        register = StoredClaimRegister(store, "p", incarnation, SETTINGS, lambda: 0.0)
        self.tasks.append(asyncio.ensure_future(register.run()))
        return register

    async def start_claim(self, owner: str, key: ClaimKey) -> None:
        register = {"left": self.left, "right": self.right}[owner]

        async def claim() -> None:
            if isinstance(await register.claim(key, NO_TIMEOUT_S), Granted):
                self.granted.append((owner, key))

        self.tasks.append(asyncio.ensure_future(claim()))
        await run_pending_tasks()

    def pop_call(self, owner: str) -> HeldCall:
        for call in self.held:
            if call.owner == owner:
                self.held.remove(call)
                return call
        raise AssertionError(f"{owner} has no held call")

    async def answer_all(self, owner: str) -> None:
        while any(call.owner == owner for call in self.held):
            call = self.pop_call(owner)
            call.complete(call.perform())
            await run_pending_tasks()

    async def answer_some(self, owner: str, calls: int) -> None:
        for _ in range(calls):
            call = self.pop_call(owner)
            call.complete(call.perform())
            await run_pending_tasks()

    async def test_a_release_still_on_its_way_when_its_key_is_claimed_again(self):
        await self.start_claim("left", KEY)
        await self.answer_all("left")
        self.left.release(KEY)
        await run_pending_tasks()
        late = self.pop_call("left")
        late.complete(LOST)
        await run_pending_tasks()
        await self.start_claim("left", KEY)
        reading = self.pop_call("left")
        reading.complete(reading.perform())
        await run_pending_tasks()
        late.perform()
        await self.answer_all("left")
        await self.start_claim("right", KEY)
        await self.answer_all("right")
        self.assertEqual(self.granted, [("left", KEY), ("left", KEY)])

    async def test_a_release_that_lost_its_version_check_when_its_key_is_claimed_again(self):
        await self.start_claim("left", KEY)
        await self.answer_all("left")
        await self.start_claim("right", OTHER_KEY)
        await self.answer_all("right")
        self.left.release(KEY)
        await self.start_claim("left", KEY)
        await self.answer_all("left")
        await self.start_claim("right", KEY)
        await self.answer_all("right")
        self.assertEqual(self.granted.count(("left", KEY)), 2)
        self.assertNotIn(("right", KEY), self.granted)

    async def test_a_withdrawal_still_on_its_way_when_its_key_is_claimed_again(self):
        await self.start_claim("left", KEY)
        await self.answer_some("left", 1)
        self.tasks[-1].cancel()
        await run_pending_tasks()
        await self.answer_some("left", 1)
        self.pop_call("left").complete(LOST)
        await run_pending_tasks()
        reading = self.pop_call("left")
        reading.complete(reading.perform())
        await run_pending_tasks()
        await self.start_claim("left", KEY)
        late = self.pop_call("left")
        late.complete(LOST)
        await run_pending_tasks()
        reading = self.pop_call("left")
        reading.complete(reading.perform())
        await run_pending_tasks()
        late.perform()
        await self.answer_all("left")
        await self.start_claim("right", KEY)
        await self.answer_all("right")
        self.assertEqual(self.granted, [("left", KEY)])

    async def test_a_claim_refused_by_the_platform_after_its_release_was_lost(self):
        await self.start_claim("left", KEY)
        await self.answer_all("left")
        self.left.release(KEY)
        await self.start_claim("left", KEY)
        self.pop_call("left").complete(DOWN)
        await run_pending_tasks()
        await self.start_claim("left", KEY)
        await self.answer_all("left")
        await self.start_claim("right", KEY)
        await self.answer_all("right")
        self.assertNotIn(("right", KEY), self.granted)


if __name__ == "__main__":
    unittest.main()
