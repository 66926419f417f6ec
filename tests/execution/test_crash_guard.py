"""Tests that crashes are detected and that suspects run one at a time."""

from __future__ import annotations

import unittest

import anyio

from bronzerudder.backend_server import BackendError, BackendErrorKind
from bronzerudder.execution import AttemptKey, CrashGuard
from bronzerudder.policy.quarantine import QuarantineState
from bronzerudder.quarantine import QuarantineFeed
from tests.fakes import ScriptedBackendServer

TIMEOUT_S = 5.0
BROKEN = BackendError(BackendErrorKind.BROKEN, "answer broke off")
UNREACHABLE = BackendError(BackendErrorKind.UNREACHABLE, "refused")


class ProbedServer(ScriptedBackendServer):
    """Answers every probe with a given result."""

    def __init__(self, answer):
        super().__init__()
        self.answer = answer
        self.probes = 0

    async def probe(self):
        self.probes += 1
        await anyio.lowlevel.checkpoint()
        return self.answer


class CrashGuardTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.feed = QuarantineFeed()
        self.server = ProbedServer(UNREACHABLE)

    def quarantine_state(self, fingerprint):
        return self.feed.ledger.judge(fingerprint, anyio.current_time()).quarantine_state

    async def run_attempt(self, guard, number, fingerprint, error, together=None, order=None):
        key = AttemptKey(f"r-{number}", 1)
        async with guard.track_run(key, fingerprint):
            guard.mark_started(key)
            if order is not None:
                order.append(("begin", fingerprint))
            if together is not None:
                await together.wait()
            await guard.record_result(key, error)
            if order is not None:
                order.append(("end", fingerprint))

    async def run_together(self, errors):
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                guard = CrashGuard(self.server, self.feed, tasks, 7)
                together = anyio.Event()
                for number, (fingerprint, error) in enumerate(errors.items()):
                    tasks.start_soon(self.run_attempt, guard, number, fingerprint, error, together)
                await anyio.wait_all_tasks_blocked()
                together.set()

    async def test_one_crash_makes_one_report_with_all_in_flight(self):
        await self.run_together({"a": BROKEN, "b": BROKEN, "c": BROKEN})
        reports = self.feed.ledger.reports
        self.assertEqual([report.fingerprints for report in reports], [{"a", "b", "c"}])
        self.assertEqual(self.server.probes, 1)

    async def test_a_cut_connection_is_no_crash(self):
        for answer in (None, BackendError(BackendErrorKind.UNRESPONSIVE, "no answer in time")):
            self.server = ProbedServer(answer)
            await self.run_together({"a": BROKEN, "b": BROKEN})
            self.assertEqual(self.feed.ledger.reports, ())

    async def test_a_backend_server_that_was_down_already_is_no_crash(self):
        await self.run_together({"a": UNREACHABLE})
        self.assertEqual(self.feed.ledger.reports, ())

    async def test_a_suspect_that_runs_to_its_end_is_cleared(self):
        self.feed.publish_crash("before", ["a", "b"])
        await self.run_together({"a": None})
        self.assertEqual(self.quarantine_state("a"), QuarantineState.CLEAR)
        self.assertEqual(self.quarantine_state("b"), QuarantineState.SUSPECT)

    async def test_suspects_run_one_at_a_time_and_others_beside_them(self):
        self.feed.publish_crash("before", ["a", "b"])
        order = []
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                guard = CrashGuard(self.server, self.feed, tasks, 7)
                together = anyio.Event()
                for number, name in enumerate(("a", "b", "fresh")):
                    tasks.start_soon(self.run_attempt, guard, number, name, None, together, order)
                await anyio.wait_all_tasks_blocked()
                self.assertEqual(order, [("begin", "a"), ("begin", "fresh")])
                together.set()
        self.assertLess(order.index(("end", "a")), order.index(("begin", "b")))

    async def test_the_report_is_out_before_the_attempt_is_concluded(self):
        async with anyio.create_task_group() as tasks:
            guard = CrashGuard(self.server, self.feed, tasks, 7)
            key = AttemptKey("r", 1)
            async with guard.track_run(key, "crashing"):
                guard.mark_started(key)
                await guard.record_result(key, BROKEN)
                self.assertEqual(self.quarantine_state("crashing"), QuarantineState.SUSPECT)


if __name__ == "__main__":
    unittest.main()
