"""Tests of keyed attempts that may not be repeated, at one agent."""

from __future__ import annotations

import contextlib
import unittest

import anyio

from bench.harness.memory_store import MemoryStore, Objects
from bronzerudder.backend_server import BackendError, BackendErrorKind
from bronzerudder.claims import StoredClaimRegister
from bronzerudder.execution import CrashGuard, Executor
from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.observability import Tracing
from bronzerudder.policy.admission import FairQueue, FairQueueTerms
from bronzerudder.quarantine import QuarantineFeed
from tests.execution.test_executor import INCARNATION, Recorder, build_submit
from tests.fakes import ScriptedBackendServer

SETTINGS = {"retry_after_s": 0.2}


def keyed(request_id: str, **fields) -> pb.Submit:
    values = {"idempotency_key": "k", "workspace": "w", "method": "POST", "path": "/bookings"}
    return build_submit(request_id, **{**values, **fields})


@contextlib.asynccontextmanager
async def keyed_executor(backend_server, store=None, max_running=4):
    store = store or MemoryStore(Objects())
    register = StoredClaimRegister(store, "p", INCARNATION, SETTINGS)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(register.run)
        limits = FairQueue(max_running, FairQueueTerms(10))
        tracing = Tracing("agent", "a", 0.0)
        guard = CrashGuard(backend_server, QuarantineFeed(), tasks, INCARNATION)
        yield Executor(backend_server, False, limits, tasks, INCARNATION, tracing, register, guard)
        tasks.cancel_scope.cancel()


class KeyedTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_repeat_of_a_finished_key_gets_the_stored_answer(self):
        backend_server = ScriptedBackendServer([b"booked"])
        async with keyed_executor(backend_server) as executor:
            first, repeat = Recorder(), Recorder()
            executor.submit(keyed("r"), first)
            await first.wait_for("finished")
            executor.submit(keyed("s"), repeat)
            finished = await repeat.wait_for("finished")
        self.assertTrue(finished.replayed)
        self.assertEqual((await repeat.wait_for("chunk")).payload, b"booked")
        self.assertEqual(len(backend_server.calls), 1)

    async def test_a_repeat_of_a_running_key_attaches_to_it(self):
        hold = anyio.Event()
        backend_server = ScriptedBackendServer([hold, b"booked"])
        async with keyed_executor(backend_server) as executor:
            first, repeat = Recorder(), Recorder()
            executor.submit(keyed("r"), first)
            await first.wait_for("head")
            executor.submit(keyed("s"), repeat)
            hold.set()
            finished = await repeat.wait_for("finished")
        self.assertTrue(finished.replayed)
        self.assertEqual(len(backend_server.calls), 1)

    async def test_a_key_of_another_request_is_refused(self):
        backend_server = ScriptedBackendServer([b"booked"])
        async with keyed_executor(backend_server) as executor:
            first, other = Recorder(), Recorder()
            executor.submit(keyed("r", payload=b"a"), first)
            await first.wait_for("finished")
            executor.submit(keyed("s", payload=b"b"), other)
            refused = await other.wait_for("refused")
        self.assertEqual(refused.reason, pb.REFUSAL_REASON_KEY_REUSED)

    async def test_an_answer_that_broke_off_is_unknown_to_every_repeat(self):
        broken = BackendError(BackendErrorKind.BROKEN, "reset")
        backend_server = ScriptedBackendServer([b"boo", broken])
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
        backend_server = ScriptedBackendServer(unreachable, [b"booked"])
        async with keyed_executor(backend_server) as executor:
            first, repeat = Recorder(), Recorder()
            executor.submit(keyed("r"), first)
            await first.wait_for("refused")
            executor.submit(keyed("s"), repeat)
            finished = await repeat.wait_for("finished")
        self.assertEqual(finished.state, pb.FINISH_STATE_COMPLETE)
        self.assertFalse(finished.replayed)

    async def test_a_request_withdrawn_while_it_is_claimed_never_starts(self):
        store = MemoryStore(Objects(), round_trip_s=0.05)
        backend_server = ScriptedBackendServer([b"booked"])
        async with keyed_executor(backend_server, store) as executor:
            first, repeat = Recorder(), Recorder()
            executor.submit(keyed("r"), first)
            executor.cancel(pb.Cancel(request_id="r", attempt=1), first)
            await first.wait_for("refused")
            executor.submit(keyed("s"), repeat)
            finished = await repeat.wait_for("finished")
        self.assertEqual(finished.state, pb.FINISH_STATE_COMPLETE)
        self.assertEqual(len(backend_server.calls), 1)

    async def test_while_the_platform_is_down_keyed_requests_are_refused(self):
        store = MemoryStore(Objects())
        store.down = True
        async with keyed_executor(ScriptedBackendServer([b"x"]), store) as executor:
            entry, unkeyed = Recorder(), Recorder()
            executor.submit(keyed("r"), entry)
            refused = await entry.wait_for("refused")
            executor.submit(keyed("s", idempotency_key=""), unkeyed)
            await unkeyed.wait_for("finished")
        self.assertEqual(refused.reason, pb.REFUSAL_REASON_CLAIM_UNAVAILABLE)
        self.assertEqual(refused.retry_after_ms, 200)


if __name__ == "__main__":
    unittest.main()
