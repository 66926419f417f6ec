"""Tests of the claim register on an in-memory store."""

from __future__ import annotations

import contextlib
import itertools
import random
import unittest
from collections.abc import AsyncIterator

import anyio
from prometheus_client import CollectorRegistry, generate_latest

from bench.harness.memory_store import DOWN, LOST, MemoryStore, Objects
from bronzerudder.claims import (
    AlreadyFinished,
    ClaimError,
    ClaimErrorKind,
    ClaimKey,
    Granted,
    Running,
    StoredAnswer,
    StoredClaimRegister,
    Unknown,
    make_claim_key,
)
from bronzerudder.claims.metrics import ClaimCollector
from bronzerudder.claims.records import HEAD_KIND, SEGMENT_KIND
from bronzerudder.platform import MAX_VALUE_BYTES

TIMEOUT_S = 5.0
RETRY_INTERVAL_S = 0.01
ANSWER = StoredAnswer(201, (("content-type", "application/json"),), b'{"booking": 1}')


def key(name: str, body: bytes = b"slot"):
    return make_claim_key("school", name, "POST", "/bookings", body)


@contextlib.asynccontextmanager
async def running(*registers: StoredClaimRegister) -> AsyncIterator[None]:
    """Run registers while the block runs."""
    async with anyio.create_task_group() as tasks:
        for register in registers:
            tasks.start_soon(register.run)
        yield
        tasks.cancel_scope.cancel()


async def claim_until_granted(register: StoredClaimRegister, wanted: ClaimKey) -> None:
    """Repeat a claim until it is granted, or fail at the deadline."""
    deadline_s = anyio.current_time() + TIMEOUT_S
    for attempt in itertools.count():
        if isinstance(await register.claim(wanted, TIMEOUT_S), Granted):
            return
        if anyio.current_time() > deadline_s:
            raise AssertionError(f"not granted in {attempt + 1} attempts")
        await anyio.sleep(RETRY_INTERVAL_S)


class RegisterTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.objects = Objects()
        self.time_s = 1_000_000.0

    def make(self, incarnation: int, **settings) -> tuple[StoredClaimRegister, MemoryStore]:
        store = MemoryStore(self.objects)
        chosen = {"finish_delay_s": 0.01, "retry_after_s": 0.05, "store_timeout_s": 0.2, **settings}
        clock = lambda: self.time_s  # noqa: E731
        return StoredClaimRegister(store, "bookings", incarnation, chosen, clock), store

    async def test_a_key_runs_once_and_its_answer_is_given_again_by_any_agent(self):
        first, _ = self.make(1)
        second, _ = self.make(2)
        async with running(first, second):
            self.assertEqual(await first.claim(key("a"), TIMEOUT_S), Granted(key("a")))
            self.assertEqual(await first.claim(key("a"), TIMEOUT_S), Running(key("a")))
            self.assertIsInstance(await second.claim(key("a"), TIMEOUT_S), Unknown)
            first.finish(key("a"), ANSWER)
            self.assertEqual(await first.wait(key("a")), AlreadyFinished(ANSWER))
            await first.flush()
            for register in (first, second):
                outcome = await register.claim(key("a"), TIMEOUT_S)
                self.assertEqual(outcome, AlreadyFinished(ANSWER))

    async def test_a_key_used_for_another_request_is_refused(self):
        first, _ = self.make(1)
        second, _ = self.make(2)
        async with running(first, second):
            await first.claim(key("a"), TIMEOUT_S)
            for register in (first, second):
                outcome = await register.claim(key("a", b"other"), TIMEOUT_S)
                self.assertEqual(outcome.kind, ClaimErrorKind.MISMATCH)

    async def test_claims_made_at_once_share_writes_and_one_key_is_granted_once(self):
        register, store = self.make(1)
        store.round_trip_s = 0.005
        outcomes = []

        async def claim(number: int) -> None:
            outcomes.append(await register.claim(key(str(number % 100)), TIMEOUT_S))

        async with running(register), anyio.create_task_group() as tasks:
            for number in range(200):
                tasks.start_soon(claim, number)
        granted = [outcome for outcome in outcomes if isinstance(outcome, Granted)]
        attached = [outcome for outcome in outcomes if isinstance(outcome, Running)]
        self.assertEqual((len(granted), len(set(granted)), len(attached)), (100, 100, 100))
        self.assertLessEqual(self.objects.puts, 6)

    async def test_a_claim_whose_answers_are_lost_is_settled_by_reading_back(self):
        register, store = self.make(1)
        answers = iter([LOST, None])
        store.fault = lambda: next(answers, None)
        async with running(register):
            self.assertEqual(await register.claim(key("a"), TIMEOUT_S), Granted(key("a")))
        self.assertEqual(self.objects.puts, 1)

    async def test_a_claim_that_is_lost_before_it_takes_effect_is_written_again(self):
        register, store = self.make(1)
        not_applied = LOST._replace(reason="lost on the way")
        answers = iter([not_applied, None])
        store.fault = lambda: next(answers, None)
        async with running(register):
            self.assertEqual(await register.claim(key("a"), TIMEOUT_S), Granted(key("a")))
        self.assertEqual(self.objects.puts, 1)

    async def test_while_the_platform_is_down_claims_are_refused_at_once(self):
        register, store = self.make(1, retry_after_s=0.2)
        async with running(register):
            await register.claim(key("done"), TIMEOUT_S)
            register.finish(key("done"), ANSWER)
            await register.flush()
            store.down = True
            for _ in range(2):
                with anyio.fail_after(0.1):
                    outcome = await register.claim(key("a"), TIMEOUT_S)
                self.assertEqual(outcome.kind, ClaimErrorKind.UNAVAILABLE)
                self.assertGreater(outcome.retry_after_s, 0)
            outcome = await register.claim(key("done"), TIMEOUT_S)
            self.assertEqual(outcome, AlreadyFinished(ANSWER))
            store.down = False
            await claim_until_granted(register, key("a"))

    async def test_a_claim_withdrawn_on_its_deadline_is_released_and_can_run_elsewhere(self):
        first, store = self.make(1)
        second, _ = self.make(2)
        store.round_trip_s = 0.1
        async with running(first, second):
            outcome = await first.claim(key("a"), 0.06)
            self.assertIsInstance(outcome, ClaimError)
            await claim_until_granted(second, key("a"))

    async def test_a_released_key_can_run_at_another_agent_and_an_abandoned_one_nowhere(self):
        first, _ = self.make(1)
        second, _ = self.make(2)
        async with running(first, second):
            await first.claim(key("a"), TIMEOUT_S)
            await first.claim(key("b"), TIMEOUT_S)
            first.release(key("a"))
            first.abandon(key("b"))
            await first.flush()
            self.assertEqual(await second.claim(key("a"), TIMEOUT_S), Granted(key("a")))
            for register in (first, second):
                self.assertIsInstance(await register.claim(key("b"), TIMEOUT_S), Unknown)
            self.assertIsInstance(await first.claim(key("a"), TIMEOUT_S), Unknown)

    async def test_segments_keep_heads_small_and_expire(self):
        register, _ = self.make(1, seal_bytes=4096, retention_s=1000)
        chooser = random.Random(4)
        async with running(register):
            for number in range(800):
                outcome = await register.claim(key(str(number)), TIMEOUT_S)
                self.assertIsInstance(outcome, Granted)
                body = chooser.randbytes(60)
                register.finish(key(str(number)), StoredAnswer(200, (), body))
            await register.flush()
            self.assertLess(self.objects.largest_put, MAX_VALUE_BYTES)
            heads = [held for held in self.objects.stored.values() if held.kind == HEAD_KIND]
            self.assertLess(max(len(held.value) for held in heads), 3 * 4096)
            segments = [held for held in self.objects.stored.values() if held.kind == SEGMENT_KIND]
            self.assertGreater(len(segments), 3)
            successor, _ = self.make(2, seal_bytes=4096, retention_s=1000)
            async with running(successor):
                for number in (0, 400, 799):
                    outcome = await successor.claim(key(str(number)), TIMEOUT_S)
                    self.assertIsInstance(outcome, AlreadyFinished)
                    self.assertEqual(outcome.answer.status, 200)
                self.time_s += 2000
                for number in range(300):
                    await successor.claim(key(f"late {number}"), TIMEOUT_S)
        segments = [held for held in self.objects.stored.values() if held.kind == SEGMENT_KIND]
        self.assertLess(len(segments), 12)

    async def test_an_answer_too_large_to_keep_still_stops_a_second_run(self):
        register, _ = self.make(1, answer_limit_bytes=10)
        async with running(register):
            await register.claim(key("a"), TIMEOUT_S)
            register.finish(key("a"), ANSWER)
            await register.flush()
            self.assertEqual(await register.claim(key("a"), TIMEOUT_S), AlreadyFinished(None))

    async def test_a_cancelled_claim_leaves_its_key_free(self):
        register, store = self.make(1)
        store.round_trip_s = 0.02
        async with running(register):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(register.claim, key("a"), TIMEOUT_S)
                await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
            self.assertEqual(await register.claim(key("a"), TIMEOUT_S), Granted(key("a")))

    async def test_a_platform_that_does_not_answer_is_given_up_on(self):
        register, store = self.make(1, store_timeout_s=0.05, retry_after_s=1.0)
        store.round_trip_s = 100.0
        async with running(register):
            with anyio.fail_after(1.0):
                outcome = await register.claim(key("a"), TIMEOUT_S)
            self.assertEqual(outcome.kind, ClaimErrorKind.UNAVAILABLE)

    async def test_shows_its_totals(self):
        register, _ = self.make(1)
        registry = CollectorRegistry()
        ClaimCollector(register, registry)
        async with running(register):
            await register.claim(key("a"), TIMEOUT_S)
            await register.claim(key("a"), TIMEOUT_S)
        text = generate_latest(registry).decode()
        self.assertIn('bronzerudder_claim_outcomes_total{outcome="granted"} 1.0', text)
        self.assertIn('bronzerudder_claim_outcomes_total{outcome="running"} 1.0', text)
        self.assertIn("bronzerudder_claim_writes_total 1.0", text)

    async def test_refused_writes_leave_the_key_free(self):
        register, store = self.make(1, retry_after_s=0.0)
        answers = iter([DOWN])
        store.fault = lambda: next(answers, None)
        async with running(register):
            self.assertIsInstance(await register.claim(key("a"), TIMEOUT_S), ClaimError)
            self.assertEqual(await register.claim(key("a"), TIMEOUT_S), Granted(key("a")))


if __name__ == "__main__":
    unittest.main()
