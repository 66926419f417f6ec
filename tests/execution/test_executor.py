"""Tests of admission, refusals and answers at an agent."""

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
from bronzerudder.policy.admission import FairQueue, FairQueueLimits
from bronzerudder.quarantine import QuarantineFeed
from tests.fakes import ScriptedAnswer, ScriptedBackendServer

INCARNATION = 7
TIMEOUT_S = 5.0
JSON = (("content-type", "application/json"),)
UNRESPONSIVE = BackendError(BackendErrorKind.UNRESPONSIVE, "silent")


class Recorder:
    """Records frames in place of a connection to an entry."""

    def __init__(self):
        self.frames = []
        self._changed = anyio.Event()

    def __call__(self, frame):
        self.frames.append(frame)
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    def kinds(self):
        return [frame.WhichOneof("body") for frame in self.frames]

    def body(self):
        return b"".join(frame.chunk.payload for frame in self.frames if frame.HasField("chunk"))

    async def wait_for_any(self, *kinds):
        with anyio.fail_after(TIMEOUT_S):
            while not set(kinds) & set(self.kinds()):
                await self._changed.wait()
        return next(kind for kind in self.kinds() if kind in kinds)

    async def wait_for(self, kind):
        with anyio.fail_after(TIMEOUT_S):
            while kind not in self.kinds():
                await self._changed.wait()
        return getattr(self.frames[self.kinds().index(kind)], kind)


def build_submit(request_id="r", **fields):
    values = {"attempt": 1, "incarnation": INCARNATION, "time_left_ms": 5_000, **fields}
    return pb.Submit(request_id=request_id, **values)


@contextlib.asynccontextmanager
async def run_executor(backend_server, max_running=1, max_queued=10):
    async with anyio.create_task_group() as tasks:
        limits = FairQueue(max_running, FairQueueLimits(max_queued))
        tracing = Tracing("agent", "a", 0.0)
        register = StoredClaimRegister(MemoryStore(Objects()), "p", INCARNATION, {})
        tasks.start_soon(register.run)
        guard = CrashGuard(backend_server, QuarantineFeed(), tasks, INCARNATION)
        yield Executor(backend_server, True, limits, tasks, INCARNATION, tracing, register, guard)
        tasks.cancel_scope.cancel()


class ExecutorTest(unittest.IsolatedAsyncioTestCase):
    async def test_relays_a_whole_answer_in_order(self):
        backend_server = ScriptedBackendServer([b"id: 1\ndata: a\n\nid: 2\nda", b"ta: b\n\n"])
        async with run_executor(backend_server) as executor:
            entry = Recorder()
            executor.submit(build_submit(), entry)
            finished = await entry.wait_for("finished")
        self.assertEqual(entry.kinds(), ["accepted", "head", "chunk", "chunk", "finished"])
        payloads = [frame.chunk.payload for frame in entry.frames if frame.HasField("chunk")]
        self.assertEqual(payloads, [b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n"])
        self.assertEqual((finished.chunk_count, finished.state), (2, pb.FINISH_STATE_COMPLETE))

    async def test_another_incarnation_is_refused(self):
        async with run_executor(ScriptedBackendServer()) as executor:
            entry = Recorder()
            executor.submit(build_submit(incarnation=8), entry)
        self.assertEqual(entry.frames[0].refused.reason, pb.REFUSAL_REASON_WRONG_INCARNATION)

    async def test_a_submit_that_arrives_after_its_cancellation_is_refused(self):
        backend_server = ScriptedBackendServer([b"x"])
        async with run_executor(backend_server) as executor:
            entry = Recorder()
            executor.cancel(pb.Cancel(request_id="r", attempt=1), entry)
            executor.submit(build_submit(), entry)
            await anyio.lowlevel.checkpoint()
        self.assertEqual(entry.kinds(), ["refused", "refused"])
        self.assertEqual(backend_server.calls, [])

    async def test_a_submit_that_arrives_after_its_resume_is_refused(self):
        backend_server = ScriptedBackendServer([b"x"])
        async with run_executor(backend_server) as executor:
            entry = Recorder()
            executor.resume(pb.Resume(request_id="r", attempt=1, incarnation=INCARNATION), entry)
            executor.submit(build_submit(), entry)
            await anyio.lowlevel.checkpoint()
        self.assertEqual(entry.kinds(), ["refused", "refused"])
        self.assertEqual(backend_server.calls, [])

    async def test_no_proof_is_given_for_an_attempt_that_ran_and_was_acknowledged(self):
        async with run_executor(ScriptedBackendServer([b"x\n\n"])) as executor:
            entry = Recorder()
            executor.submit(build_submit(), entry)
            finished = await entry.wait_for("finished")
            executor.acknowledge(
                pb.Ack(request_id="r", attempt=1, next_sequence=finished.chunk_count + 2)
            )
            self.assertEqual(executor.unfinished, 0)
            executor.cancel(pb.Cancel(request_id="r", attempt=1), entry)
            executor.resume(pb.Resume(request_id="r", attempt=1, incarnation=INCARNATION), entry)
        self.assertNotIn("refused", entry.kinds())
        self.assertEqual(entry.kinds()[-2:], ["resume_failed", "resume_failed"])

    async def test_an_answer_is_resumed_where_the_entry_left_off(self):
        hold = anyio.Event()
        backend_server = ScriptedBackendServer([b"a\n\n", hold, b"b\n\n"])
        async with run_executor(backend_server) as executor:
            first, second = Recorder(), Recorder()
            executor.submit(build_submit(), first)
            await first.wait_for("chunk")
            executor.detach(first)
            hold.set()
            resume = pb.Resume(request_id="r", attempt=1, next_sequence=1, incarnation=INCARNATION)
            executor.resume(resume, second)
            await second.wait_for("finished")
        self.assertEqual(second.kinds(), ["chunk", "chunk", "finished"])
        self.assertNotIn("finished", first.kinds())

    async def test_a_silent_answer_is_resumed_on_a_fresh_connection(self):
        unresponsive = BackendError(BackendErrorKind.UNRESPONSIVE, "silent")
        backend_server = ScriptedBackendServer(
            [b"id: 1\ndata: a\n\nid: 2\nda", unresponsive], [b"id: 2\ndata: b\n\n"]
        )
        async with run_executor(backend_server) as executor:
            entry = Recorder()
            executor.submit(build_submit(), entry)
            finished = await entry.wait_for("finished")
        payloads = [frame.chunk.payload for frame in entry.frames if frame.HasField("chunk")]
        self.assertEqual(b"".join(payloads), b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
        self.assertEqual(finished.state, pb.FINISH_STATE_COMPLETE)
        self.assertIn(("last-event-id", "1"), backend_server.calls[1].headers)

    async def check_not_continued(self, body, *answers):
        async with run_executor(ScriptedBackendServer(*answers)) as executor:
            entry = Recorder()
            executor.submit(build_submit(), entry)
            finished = await entry.wait_for("finished")
        self.assertEqual((entry.body(), finished.state), (body, pb.FINISH_STATE_BROKEN))

    async def test_a_second_plain_answer_is_not_appended_to_a_part_of_the_first(self):
        first = ScriptedAnswer([b'{"a":', UNRESPONSIVE], JSON)
        await self.check_not_continued(b'{"a":', first, ScriptedAnswer([b'{"a": 1}'], JSON))

    async def test_a_stream_without_ids_is_not_repeated_after_its_first_event(self):
        await self.check_not_continued(
            b"data: a\n\n", [b"data: a\n\n", UNRESPONSIVE], [b"data: a\n\ndata: b\n\n"]
        )

    async def test_an_error_is_not_appended_to_the_stream_that_it_should_continue(self):
        stream = b"id: 1\ndata: a\n\n"
        problem = ScriptedAnswer([b'{"error": "no such stream"}'], JSON, 404)
        await self.check_not_continued(stream, [stream, UNRESPONSIVE], problem)

    async def test_the_body_of_an_answer_does_not_follow_the_head_of_another(self):
        first = ScriptedAnswer([UNRESPONSIVE], JSON)
        await self.check_not_continued(b"", first, ScriptedAnswer([b"{}"], JSON, 500))

    async def test_a_slow_answer_to_the_probe_does_not_end_a_silent_answer(self):
        unresponsive = BackendError(BackendErrorKind.UNRESPONSIVE, "silent")
        backend_server = ScriptedBackendServer(
            [b"id: 1\ndata: a\n\n", unresponsive], [b"id: 2\ndata: b\n\n"]
        )
        backend_server.probes = [unresponsive, None]
        async with run_executor(backend_server) as executor:
            entry = Recorder()
            executor.submit(build_submit(), entry)
            finished = await entry.wait_for("finished")
        self.assertEqual(finished.state, pb.FINISH_STATE_COMPLETE)

    async def test_an_unreachable_backend_server_gives_a_refusal(self):
        unreachable = BackendError(BackendErrorKind.UNREACHABLE, "refused")
        async with run_executor(ScriptedBackendServer(unreachable)) as executor:
            entry = Recorder()
            executor.submit(build_submit(), entry)
            refused = await entry.wait_for("refused")
        self.assertEqual(refused.reason, pb.REFUSAL_REASON_BACKEND_DOWN)

    async def test_no_proof_is_given_once_an_earlier_connection_may_have_brought_the_call(self):
        unresponsive = BackendError(BackendErrorKind.UNRESPONSIVE, "silent")
        unreachable = BackendError(BackendErrorKind.UNREACHABLE, "refused")
        async with run_executor(ScriptedBackendServer(unresponsive, unreachable)) as executor:
            entry = Recorder()
            executor.submit(build_submit(), entry)
            finished = await entry.wait_for("finished")
        self.assertEqual(finished.state, pb.FINISH_STATE_UNKNOWN)
        self.assertNotIn("refused", entry.kinds())

    async def test_a_backend_server_that_answers_again_is_reported_up(self):
        unreachable = BackendError(BackendErrorKind.UNREACHABLE, "refused")
        async with run_executor(ScriptedBackendServer(unreachable)) as executor:
            entry = Recorder()
            executor.submit(build_submit(), entry)
            await entry.wait_for("refused")
            self.assertFalse(executor.build_load().backend_up)
            with anyio.move_on_after(TIMEOUT_S):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(executor.watch_backend_server)
                    while not executor.build_load().backend_up:
                        await anyio.sleep(0.01)
                    tasks.cancel_scope.cancel()
            self.assertTrue(executor.build_load().backend_up)

    async def test_a_cut_answer_is_never_complete(self):
        broken = BackendError(BackendErrorKind.BROKEN, "reset")
        async with run_executor(ScriptedBackendServer([b"a\n\n", broken], broken)) as executor:
            entry, other = Recorder(), Recorder()
            executor.submit(build_submit(), entry)
            executor.submit(build_submit("s"), other)
            cut = await entry.wait_for("finished")
            unknown = await other.wait_for("finished")
        self.assertEqual(cut.state, pb.FINISH_STATE_BROKEN)
        self.assertEqual(unknown.state, pb.FINISH_STATE_UNKNOWN)

    async def test_a_stream_that_ends_inside_an_event_is_not_complete(self):
        async with run_executor(
            ScriptedBackendServer([b"id: 1\ndata: a\n\nid: 2\nda"])
        ) as executor:
            entry = Recorder()
            executor.submit(build_submit(), entry)
            finished = await entry.wait_for("finished")
        self.assertEqual(entry.body(), b"id: 1\ndata: a\n\n")
        self.assertEqual(finished.state, pb.FINISH_STATE_BROKEN)

    async def test_a_stream_with_other_line_ends_or_blank_lines_at_its_end_is_complete(self):
        for stream in (b"id: 1\r\ndata: a\r\n\r\n", b"id: 1\ndata: a\n\n\n"):
            async with run_executor(ScriptedBackendServer([stream])) as executor:
                entry = Recorder()
                executor.submit(build_submit(), entry)
                finished = await entry.wait_for("finished")
            self.assertEqual((entry.body(), finished.state), (stream, pb.FINISH_STATE_COMPLETE))

    async def test_a_request_that_waits_until_its_deadline_is_refused_unrun(self):
        backend_server = ScriptedBackendServer([anyio.Event()])
        async with run_executor(backend_server) as executor:
            entry, late = Recorder(), Recorder()
            executor.submit(build_submit(), entry)
            await entry.wait_for("head")
            executor.submit(build_submit("s", time_left_ms=20), late)
            refused = await late.wait_for("refused")
        self.assertEqual(refused.reason, pb.REFUSAL_REASON_DEADLINE)
        self.assertEqual(len(backend_server.calls), 1)

    async def test_a_leaving_agent_refuses_new_work_and_finishes_the_rest(self):
        hold = anyio.Event()
        async with run_executor(ScriptedBackendServer([hold, b"a\n\n"])) as executor:
            entry, late = Recorder(), Recorder()
            executor.submit(build_submit(), entry)
            await entry.wait_for("head")
            executor.leave()
            executor.submit(build_submit("s"), late)
            hold.set()
            await entry.wait_for("finished")
        self.assertEqual(late.frames[0].refused.reason, pb.REFUSAL_REASON_LEAVING)


if __name__ == "__main__":
    unittest.main()
