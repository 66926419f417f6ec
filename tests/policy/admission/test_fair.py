"""Tests of the fair admission queue: order, bounds, estimates and refusals."""

from __future__ import annotations

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from bronzerudder.policy.admission import (
    AdmissionRefusal,
    AdmissionRefusalKind,
    AdmissionRequest,
    FairQueue,
    FairQueueLimits,
    Queued,
)

FAR_S = 1e6
UNLIMITED_WAIT = FairQueueLimits(max_queued=1000, max_wait_s=FAR_S)


def make_request(
    number: int,
    workspace: str = "w",
    tokens: int = 100,
    deadline_s: float = FAR_S,
    priority: int = 0,
    weight: int = 1,
) -> AdmissionRequest:
    return AdmissionRequest(str(number), workspace, tokens, deadline_s, priority, weight)


def drain(queue: FairQueue, now_s: float = 0.0) -> list[AdmissionRequest]:
    started = []
    while (request := queue.next(now_s)) is not None:
        started.append(request)
        queue.finished(request.request_id, now_s)
    return started


class TestOrder(unittest.TestCase):
    def test_small_workspace_does_not_wait_behind_a_flood(self):
        queue = FairQueue(1, UNLIMITED_WAIT)
        for number in range(50):
            queue.offer(make_request(number, "large"), 0.0)
        queue.next(0.0)
        queue.offer(make_request(100, "small"), 0.0)
        queue.progressed("0", 100, 0.1)
        queue.finished("0", 0.1)
        started = [request.workspace for request in drain(queue)]
        self.assertLessEqual(started.index("small"), 1)

    def test_weights_set_the_shares(self):
        queue = FairQueue(1, UNLIMITED_WAIT)
        for number in range(40):
            queue.offer(make_request(number, "heavy", weight=3), 0.0)
            queue.offer(make_request(100 + number, "light", weight=1), 0.0)
        started = []
        for _ in range(40):
            request = queue.next(0.0)
            queue.progressed(request.request_id, request.tokens, 0.0)
            queue.finished(request.request_id, 0.0)
            started.append(request.workspace)
        self.assertAlmostEqual(30, started.count("heavy"), delta=1)

    def test_higher_priority_first_within_a_workspace(self):
        queue = FairQueue(1, UNLIMITED_WAIT)
        for number, priority in enumerate((0, 5, -5, 5)):
            queue.offer(make_request(number, priority=priority), 0.0)
        self.assertEqual(["1", "3", "0", "2"], [r.request_id for r in drain(queue)])

    def test_unused_estimate_is_given_back(self):
        queue = FairQueue(1, UNLIMITED_WAIT)
        for number in range(10):
            queue.offer(make_request(number, "overestimates", tokens=1000), 0.0)
            queue.offer(make_request(100 + number, "exact", tokens=100), 0.0)
        started = []
        for _ in range(10):
            request = queue.next(0.0)
            queue.progressed(request.request_id, 100, 0.0)
            queue.finished(request.request_id, 0.0)
            started.append(request.workspace)
        self.assertAlmostEqual(5, started.count("overestimates"), delta=1)


class TestRefusal(unittest.TestCase):
    def make_busy(self, limits: FairQueueLimits) -> FairQueue:
        """Return a queue with one slot, in use, and a measured rate of 100 tokens per second."""
        queue = FairQueue(1, limits)
        now_s = 0.0
        for number in range(200):
            queue.offer(make_request(number), now_s)
            queue.next(now_s)
            now_s += 1.0
            queue.progressed(str(number), 100, now_s)
            queue.finished(str(number), now_s)
        queue.offer(make_request(1000), now_s)
        queue.next(now_s)
        queue.progressed("1000", 1, now_s)
        self.now_s = now_s
        return queue

    def test_hopeless_deadline_is_refused_at_once_with_a_hint(self):
        queue = self.make_busy(FairQueueLimits(max_wait_s=FAR_S))
        for number in range(3):
            queue.offer(make_request(2000 + number), self.now_s)
        refused = queue.offer(make_request(3000, deadline_s=self.now_s + 2.0), self.now_s)
        self.assertEqual(AdmissionRefusalKind.DEADLINE, refused.kind)
        self.assertAlmostEqual(2.0, refused.retry_after_s, delta=0.3)
        self.assertIsInstance(
            queue.offer(make_request(3001, deadline_s=self.now_s + 5.0), self.now_s), Queued
        )

    def test_long_wait_is_refused_at_once_with_a_hint(self):
        queue = self.make_busy(FairQueueLimits(max_wait_s=1.5))
        queue.offer(make_request(2000, "a"), self.now_s)
        queue.offer(make_request(2001, "a"), self.now_s)
        refused = queue.offer(make_request(2002, "a"), self.now_s)
        self.assertEqual(AdmissionRefusalKind.QUEUE_FULL, refused.kind)
        self.assertGreater(refused.retry_after_s, 0.0)
        self.assertIsInstance(queue.offer(make_request(2003, "b"), self.now_s), Queued)

    def test_queued_request_that_became_hopeless_is_refused(self):
        queue = self.make_busy(FairQueueLimits(max_wait_s=FAR_S))
        queue.offer(make_request(2000, deadline_s=self.now_s + 3.0), self.now_s)
        self.assertEqual((), queue.expire(self.now_s + 1.0))
        refused = queue.expire(self.now_s + 2.5)
        self.assertEqual(["2000"], [refusal.request_id for refusal in refused])
        self.assertEqual(0, queue.queued_requests)

    def test_silent_backend_server_is_expected_to_stay_silent(self):
        queue = self.make_busy(FairQueueLimits(max_wait_s=FAR_S))
        refused = queue.offer(make_request(2000, deadline_s=self.now_s + 16.0), self.now_s + 10.0)
        self.assertEqual(AdmissionRefusalKind.DEADLINE, refused.kind)

    def test_answer_that_waits_for_its_reader_is_no_stall(self):
        queue = self.make_busy(FairQueueLimits(max_wait_s=FAR_S))
        self.assertTrue(queue.is_stalled(self.now_s + 10.0))
        queue.paused("1000")
        self.assertFalse(queue.is_stalled(self.now_s + 10.0))
        queue.progressed("1000", 1, self.now_s + 10.0)
        self.assertFalse(queue.is_stalled(self.now_s + 10.1))
        self.assertTrue(queue.is_stalled(self.now_s + 20.0))

    def test_backend_server_that_may_pause_has_no_stall(self):
        queue = self.make_busy(FairQueueLimits(max_wait_s=FAR_S, stall_threshold_s=math.inf))
        self.assertFalse(queue.is_stalled(self.now_s + 10.0))

    def test_full_queue_gives_up_the_flood_not_the_newcomer(self):
        queue = FairQueue(1, FairQueueLimits(max_queued=10, max_wait_s=FAR_S))
        for number in range(11):
            queue.offer(make_request(number, "large"), 0.0)
            queue.next(0.0)
        refused = queue.offer(make_request(50, "large"), 0.0)
        self.assertEqual("50", refused.request_id)
        answer = queue.offer(make_request(60, "small"), 0.0)
        self.assertEqual(["10"], [refusal.request_id for refusal in answer.evicted])
        self.assertEqual(10, queue.queued_requests)


class TestAccounts(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("offer", "next", "finish", "cancel", "expire")),
                st.integers(0, 5),
                st.integers(1, 500),
                st.floats(0.0, 20.0),
            ),
            max_size=60,
        )
    )
    def test_every_request_ends_exactly_once(self, steps):
        queue = FairQueue(2, FairQueueLimits(max_queued=5))
        queued: set[str] = set()
        running: list[str] = []
        for number, (step, workspace, tokens, slack_s) in enumerate(steps):
            now_s = number * 0.5
            if step == "offer":
                request = make_request(number, f"w-{workspace}", tokens, now_s + slack_s)
                answer = queue.offer(request, now_s)
                if isinstance(answer, AdmissionRefusal):
                    self.assertEqual(request.request_id, answer.request_id)
                    self.assertGreater(answer.retry_after_s, 0.0)
                    continue
                queued.add(request.request_id)
                for refusal in answer.evicted:
                    queued.remove(refusal.request_id)
            elif step == "next" and (started := queue.next(now_s)) is not None:
                queued.remove(started.request_id)
                running.append(started.request_id)
            elif step == "finish" and running:
                queue.finished(running.pop(0), now_s)
            elif step == "cancel" and queued:
                self.assertTrue(queue.cancel(min(queued), now_s))
                queued.remove(min(queued))
            for refusal in queue.expire(now_s):
                queued.remove(refusal.request_id)
            self.assertLessEqual(len(running), 2)
            self.assertEqual(
                (len(queued), len(running)), (queue.queued_requests, queue.running_requests)
            )
        if not queued and not running:
            self.assertEqual(0, queue.outstanding_tokens)
