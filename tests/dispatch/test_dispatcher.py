"""Tests of how the results of attempts determine the outcome."""

from __future__ import annotations

import random
import unittest

import anyio

from bronzerudder.agent import RemoteAttempt
from bronzerudder.configuration import Match
from bronzerudder.dispatch import AnswerSink, CallerRequest, Dispatcher, OutcomeKind, Target
from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.observability import Tracing
from bronzerudder.policy.limits import RecentUseLimiter
from bronzerudder.policy.retry import ShareBudget
from bronzerudder.policy.routing import Candidate, NoCandidate, NoCandidateKind

DONE = (
    pb.AgentFrame(head=pb.Head(status=200)),
    pb.AgentFrame(chunk=pb.Chunk(sequence=1, payload=b"x")),
    pb.AgentFrame(finished=pb.Finished(chunk_count=1, state=pb.FINISH_STATE_COMPLETE)),
)
LOST = "lost"
UNANSWERED = ()
STREAM_HEAD = pb.Head(
    status=200, headers=[pb.Header(name="content-type", value="text/event-stream")]
)
EVENT = b"id: 1\ndata: a\n\n"
NOT_RUN, UNKNOWN = OutcomeKind.NOT_RUN, OutcomeKind.UNKNOWN


def refuse(reason):
    return (pb.AgentFrame(refused=pb.Refused(reason=reason)),)


LEAVING = refuse(pb.REFUSAL_REASON_LEAVING)
QUEUE_FULL = refuse(pb.REFUSAL_REASON_QUEUE_FULL)


class ScriptedConnection:
    """Plays the next script to each attempt, and `cancelled_script` to a cancelled one."""

    def __init__(self, scripts, cancelled_script=UNANSWERED):
        self._scripts = list(scripts)
        self._cancelled_script = cancelled_script
        self.started = 0

    def start(self, submit):
        self.started += 1
        attempt = RemoteAttempt(submit, lambda frame: self._receive(attempt, frame))
        attempt.mark_sent()
        self._play(attempt, self._scripts.pop(0))
        return attempt

    def forget(self, attempt):
        return None

    def _receive(self, attempt, frame):
        if frame.HasField("cancel"):
            self._play(attempt, self._cancelled_script)

    def _play(self, attempt, script):
        for frame in (LOST,) if script == LOST else script:
            if frame == LOST:
                attempt.fail("the agent's process is gone")
                return
            attempt.handle_frame(frame, frame.WhichOneof("body"))


class ScriptedTargets:
    """Serves as both the target table and its only pool."""

    def __init__(self, connection, servers=3):
        self._targets = [Target(Candidate(f"s{i}", "d"), connection) for i in range(servers)]

    def get(self, pool):
        return self if pool == "p" else None

    def refresh(self, now_s):
        return None

    def pick(self, request, now_s):
        for target in self._targets:
            if target.candidate.name not in request.excluded:
                return target
        return NoCandidate(NoCandidateKind.ALL_EXCLUDED, "all tried", 1.0)


class Snapshot:
    """Configuration with one route for all requests."""

    def __init__(self, repeatable, pool, deadline_s):
        route = {"deadline_s": deadline_s, "repeatable": repeatable, "pool": pool}
        self._match = Match("r", route, pool, {})

    def match(self, workspace, path, model):
        return self._match


class Sink(AnswerSink):
    """Collects the body."""

    def __init__(self):
        self.body = b""

    async def begin(self, status, headers):
        return None

    async def write(self, payload):
        self.body += payload


class DispatcherTest(unittest.IsolatedAsyncioTestCase):
    async def serve(
        self, *scripts, repeatable=True, pool="p", cancelled_script=UNANSWERED, deadline_s=0.05
    ):
        self.connection = ScriptedConnection(scripts, cancelled_script)
        self.sink = Sink()
        dispatcher = Dispatcher(
            lambda: Snapshot(repeatable, pool, deadline_s),
            ScriptedTargets(self.connection),
            RecentUseLimiter(random.Random(1)),
            ShareBudget,
            Tracing("entry", "e", 0.0),
        )
        request = CallerRequest(
            "id", "w", "POST", "/x", "", (), b"", "", None, "", 1, 0, "", "fingerprint"
        )
        with anyio.fail_after(5):
            return await dispatcher.serve(request, self.sink)

    async def test_a_refusal_that_says_nothing_about_load_goes_elsewhere_free(self):
        outcome = await self.serve(LEAVING, LEAVING, DONE, repeatable=False)
        self.assertEqual((outcome.kind, self.sink.body), (OutcomeKind.DONE, b"x"))

    async def test_a_lost_attempt_is_moved_once_if_it_may_be_repeated(self):
        outcome = await self.serve(LOST, DONE)
        self.assertEqual((outcome.kind, self.connection.started), (OutcomeKind.DONE, 2))

    async def test_a_second_loss_ends_the_request(self):
        outcome = await self.serve(LOST, LOST)
        self.assertEqual((outcome.kind, self.connection.started), (UNKNOWN, 2))

    async def test_a_lost_attempt_that_may_not_be_repeated_is_unknown(self):
        outcome = await self.serve(LOST, repeatable=False)
        self.assertEqual((outcome.kind, self.connection.started), (UNKNOWN, 1))

    async def test_a_refusal_after_a_loss_does_not_prove_that_it_never_ran(self):
        outcome = await self.serve(LOST, LEAVING, LEAVING)
        self.assertEqual(outcome.kind, UNKNOWN)

    async def test_an_error_is_not_appended_to_the_stream_that_it_should_continue(self):
        begun = (
            pb.AgentFrame(head=STREAM_HEAD),
            pb.AgentFrame(chunk=pb.Chunk(sequence=1, payload=EVENT)),
            LOST,
        )
        error_head = pb.AgentFrame(head=pb.Head(status=404))
        outcome = await self.serve(begun, (error_head, *DONE[1:]))
        self.assertEqual((outcome.kind, self.sink.body), (UNKNOWN, EVENT))

    async def test_refusals_for_load_spend_the_retry_budget(self):
        outcome = await self.serve(QUEUE_FULL, QUEUE_FULL, QUEUE_FULL, deadline_s=1.0)
        self.assertEqual((outcome.kind, outcome.status), (NOT_RUN, 503))
        self.assertEqual(self.connection.started, 2)

    async def test_at_the_deadline_a_proof_makes_it_not_run(self):
        cancelled = refuse(pb.REFUSAL_REASON_CANCELLED)
        outcome = await self.serve(UNANSWERED, cancelled_script=cancelled)
        self.assertEqual((outcome.kind, outcome.status), (NOT_RUN, 504))

    async def test_at_the_deadline_without_a_proof_it_is_unknown(self):
        outcome = await self.serve(UNANSWERED, repeatable=False)
        self.assertEqual((outcome.kind, outcome.status), (UNKNOWN, 504))

    async def test_a_pool_that_is_not_connected_yet_gives_a_refusal(self):
        outcome = await self.serve(pool="new")
        self.assertEqual((outcome.kind, outcome.status), (NOT_RUN, 503))
        self.assertGreater(outcome.retry_after_s, 0)


if __name__ == "__main__":
    unittest.main()
