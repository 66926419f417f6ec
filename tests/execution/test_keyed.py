"""Tests of attempts that have an idempotency key and may not be repeated, at one agent."""

from __future__ import annotations

import contextlib
import unittest

import anyio

from bench.harness.memory_store import MemoryStore, Objects
from bronzerudder.backend_server import BackendError, BackendErrorKind
from bronzerudder.claims import StoredClaimRegister, make_claim_key
from bronzerudder.execution import CrashGuard, Executor
from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.observability import Tracing
from bronzerudder.policy.admission import FairQueue, FairQueueLimits
from bronzerudder.quarantine import QuarantineFeed
from tests.execution.test_executor import INCARNATION, Recorder, build_submit
from tests.fakes import PLAIN, ScriptedBackendServer

MAX_ATTEMPTS = 8
SETTLE_S = 0.1
SETTINGS = {"retry_after_s": 0.2}


def build_service(*scripts) -> ScriptedBackendServer:
    return ScriptedBackendServer(*scripts, headers=PLAIN)


def keyed(request_id: str, **fields) -> pb.Submit:
    values = {"idempotency_key": "k", "workspace": "w", "method": "POST", "path": "/bookings"}
    return build_submit(request_id, **{**values, **fields})


@contextlib.asynccontextmanager
async def keyed_executor(backend_server, store=None, max_running=4):
    store = store or MemoryStore(Objects())
    register = StoredClaimRegister(store, "p", INCARNATION, SETTINGS)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(register.run)
        limits = FairQueue(max_running, FairQueueLimits(10))
        tracing = Tracing("agent", "a", 0.0)
        guard = CrashGuard(backend_server, QuarantineFeed(), tasks, INCARNATION)
        yield Executor(backend_server, False, limits, tasks, INCARNATION, tracing, register, guard)
        tasks.cancel_scope.cancel()


async def submit_until_accepted(executor: Executor, request_id: str) -> pb.Finished:
    """Retry, as an entry does, while attempts are refused because a claim is being released."""
    for attempt in range(1, MAX_ATTEMPTS + 1):
        entry = Recorder()
        executor.submit(keyed(request_id, attempt=attempt), entry)
        kind = await entry.wait_for_any("finished", "refused")
        if kind == "finished":
            return await entry.wait_for("finished")
    raise AssertionError(f"refused {MAX_ATTEMPTS} times")


class KeyedTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_repeat_of_a_finished_key_gets_the_stored_answer(self):
        backend_server = build_service([b"booked"])
        async with keyed_executor(backend_server) as executor:
            first, repeat = Recorder(), Recorder()
            executor.submit(keyed("r"), first)
            await first.wait_for("finished")
            executor.submit(keyed("s"), repeat)
            finished = await repeat.wait_for("finished")
        self.assertTrue(finished.replayed)
        self.assertEqual((await repeat.wait_for("chunk")).payload, b"booked")
        self.assertEqual(len(backend_server.calls), 1)

    async def replay_stream(self, last_event_id):
        """Return the body and the final frame of a repeat that continues a stored stream."""
        backend_server = ScriptedBackendServer([b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"])
        header = pb.Header(name="last-event-id", value=last_event_id)
        async with keyed_executor(backend_server) as executor:
            first, repeat = Recorder(), Recorder()
            executor.submit(keyed("r"), first)
            await first.wait_for("finished")
            executor.submit(keyed("r", attempt=2, headers=[header]), repeat)
            finished = await repeat.wait_for("finished")
        return repeat.body(), finished

    async def test_a_stored_stream_is_not_repeated_to_a_caller_that_has_its_start(self):
        body, finished = await self.replay_stream("1")
        self.assertEqual(body, b"id: 2\ndata: b\n\n")
        self.assertEqual(finished.state, pb.FINISH_STATE_COMPLETE)

    async def test_a_stored_stream_without_the_last_event_delivered_is_not_sent(self):
        body, finished = await self.replay_stream("9")
        self.assertEqual((body, finished.state), (b"", pb.FINISH_STATE_UNKNOWN))

    async def test_a_repeat_of_a_running_key_attaches_to_it(self):
        hold = anyio.Event()
        backend_server = build_service([hold, b"booked"])
        async with keyed_executor(backend_server) as executor:
            first, repeat = Recorder(), Recorder()
            executor.submit(keyed("r"), first)
            await first.wait_for("head")
            executor.submit(keyed("s"), repeat)
            hold.set()
            finished = await repeat.wait_for("finished")
        self.assertTrue(finished.replayed)
        self.assertEqual(len(backend_server.calls), 1)

    async def test_a_key_claimed_by_another_process_is_unknown_and_does_not_run(self):
        store = MemoryStore(Objects())
        other = StoredClaimRegister(store, "p", INCARNATION + 1, SETTINGS)
        backend_server = build_service([b"booked"])
        async with keyed_executor(backend_server, store) as executor:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(other.run)
                key = make_claim_key("w", "k", "POST", "/bookings", b"")
                await other.claim(key, 1.0)
                tasks.cancel_scope.cancel()
            entry = Recorder()
            executor.submit(keyed("r"), entry)
            finished = await entry.wait_for("finished")
        self.assertEqual(finished.state, pb.FINISH_STATE_UNKNOWN)
        self.assertGreater(finished.retry_after_ms, 0)
        self.assertEqual(backend_server.calls, [])

    async def test_a_key_of_another_request_is_refused(self):
        backend_server = build_service([b"booked"])
        async with keyed_executor(backend_server) as executor:
            first, other = Recorder(), Recorder()
            executor.submit(keyed("r", payload=b"a"), first)
            await first.wait_for("finished")
            executor.submit(keyed("s", payload=b"b"), other)
            refused = await other.wait_for("refused")
        self.assertEqual(refused.reason, pb.REFUSAL_REASON_KEY_REUSED)

    async def test_an_answer_that_broke_off_is_unknown_to_every_repeat(self):
        broken = BackendError(BackendErrorKind.BROKEN, "reset")
        backend_server = build_service([b"boo", broken])
        async with keyed_executor(backend_server) as executor:
            first, repeat = Recorder(), Recorder()
            executor.submit(keyed("r"), first)
            await first.wait_for("finished")
            executor.submit(keyed("s"), repeat)
            finished = await repeat.wait_for("finished")
        self.assertEqual(finished.state, pb.FINISH_STATE_UNKNOWN)
        self.assertEqual(len(backend_server.calls), 1)

    async def test_a_request_that_did_not_reach_the_backend_server_can_run_later(self):
        unreachable = BackendError(BackendErrorKind.UNREACHABLE, "refused")
        backend_server = build_service(unreachable, [b"booked"])
        async with keyed_executor(backend_server) as executor:
            first = Recorder()
            executor.submit(keyed("r"), first)
            await first.wait_for("refused")
            finished = await submit_until_accepted(executor, "s")
        self.assertEqual(finished.state, pb.FINISH_STATE_COMPLETE)
        self.assertFalse(finished.replayed)

    async def test_a_request_withdrawn_while_it_is_claimed_never_starts(self):
        store = MemoryStore(Objects(), round_trip_s=0.05)
        backend_server = build_service([b"booked"])
        async with keyed_executor(backend_server, store) as executor:
            first = Recorder()
            executor.submit(keyed("r"), first)
            executor.cancel(pb.Cancel(request_id="r", attempt=1), first)
            await first.wait_for("refused")
            finished = await submit_until_accepted(executor, "s")
        self.assertEqual(finished.state, pb.FINISH_STATE_COMPLETE)
        self.assertEqual(len(backend_server.calls), 1)

    async def test_a_repeat_of_a_key_given_back_does_not_pass_the_queue(self):
        hold = anyio.Event()
        backend_server = build_service([hold, b"x"], [b"booked"])
        async with keyed_executor(backend_server, max_running=1) as executor:
            occupant, first, repeat = Recorder(), Recorder(), Recorder()
            executor.submit(keyed("o", idempotency_key=""), occupant)
            await occupant.wait_for("head")
            executor.submit(keyed("r"), first)
            executor.submit(keyed("s"), repeat)
            with anyio.move_on_after(SETTLE_S):
                await repeat.wait_for_any("finished", "refused")
            executor.cancel(pb.Cancel(request_id="r", attempt=1), first)
            await repeat.wait_for_any("finished", "refused")
            self.assertEqual(len(backend_server.calls), 1)
            hold.set()
            await occupant.wait_for("finished")
            finished = await submit_until_accepted(executor, "t")
        self.assertEqual(finished.state, pb.FINISH_STATE_COMPLETE)

    async def test_while_the_platform_is_down_keyed_requests_are_refused(self):
        store = MemoryStore(Objects())
        store.down = True
        async with keyed_executor(build_service([b"x"]), store) as executor:
            entry, unkeyed = Recorder(), Recorder()
            executor.submit(keyed("r"), entry)
            refused = await entry.wait_for("refused")
            executor.submit(keyed("s", idempotency_key=""), unkeyed)
            await unkeyed.wait_for("finished")
        self.assertEqual(refused.reason, pb.REFUSAL_REASON_CLAIM_UNAVAILABLE)
        self.assertEqual(refused.retry_after_ms, 200)


if __name__ == "__main__":
    unittest.main()
