"""Tests that the soak's checks find violations."""

from __future__ import annotations

import pathlib
import random
import tempfile
import unittest
from unittest import mock

from bench.harness.fleet import Fleet, FleetShape
from bench.soak.callers import ANSWERS, INCOMPLETE, PROMPTS, Result, find_fault
from bench.soak.checks import (
    STABLE_WINDOW_S,
    CrashWindow,
    Disturbance,
    History,
    LimitWindow,
    find_violations,
)
from bronzerudder.http1 import Request
from bronzerudder.platform import wire
from bronzerudder.standin.fleet import CrashingArrival, StandinBackendServer, rate_limit
from bronzerudder.standin.fleet.answer_script import EVENTS, event_of, plain_body
from bronzerudder.standin.fleet.group import LoadedMap


def make_result(status=200, kind="book", **changes):
    fields = {
        "request_id": "r1",
        "kind": kind,
        "workspace": "school-a",
        "gateway": "g",
        "sent_at_s": 1.0,
        "ended_at_s": 1.2,
        "sent": True,
        "status": status,
        "answers_to": "r1",
        "fault": "",
    }
    return Result(**{**fields, **changes})


class ChecksTest(unittest.TestCase):
    def setUp(self):
        directory = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.fleet = Fleet(directory, FleetShape(ranks=2), random.Random(1))
        self.history = History([], [], {}, {}, [], [], [])

    def record_runs(self, times=1, workspace=b"school-a", backend=0):
        headers = [(wire.REQUEST_ID, b"r1"), (wire.WORKSPACE, workspace)]
        for _ in range(times):
            request = Request(b"POST", b"/book/r1", tuple(headers), b"")
            self.fleet.plain_servers[backend].runs.append(request)
            self.fleet.plain_servers[backend].run_at_s.append(1.1)

    def find(self, *results):
        self.history.results.extend(results)
        return [line.partition(":")[0] for line in find_violations(self.fleet, self.history)]

    def test_a_good_answer_breaks_nothing(self):
        self.record_runs()
        self.assertEqual(self.find(make_result()), [])

    def test_a_booking_that_ran_twice_is_found(self):
        self.record_runs(2)
        self.assertEqual(self.find(make_result()), ["ran 2 times"])

    def test_a_false_promise_is_found(self):
        self.record_runs()
        self.assertEqual(self.find(make_result(503)), ["reported as not run, but it ran"])

    def test_an_answer_to_another_request_is_found(self):
        self.record_runs()
        self.assertEqual(self.find(make_result(answers_to="r2")), ["answer to another request"])

    def test_an_answer_that_nobody_made_is_found(self):
        self.assertEqual(self.find(make_result()), ["successful answer without a run"])

    def test_a_cut_answer_is_found_unless_something_was_disturbed(self):
        self.record_runs()
        incomplete = make_result(INCOMPLETE)
        self.assertEqual(self.find(incomplete), ["no complete answer without a disturbance"])
        self.history.disturbances.append(Disturbance("g", 0.5, 1.1))
        self.assertEqual(self.find(), [])

    def test_a_false_denial_is_found(self):
        self.assertEqual(self.find(make_result(401)), ["denied though allowed"])
        self.history.revoked_until_s["school-a"] = 0.5
        self.assertEqual(self.find(), [])

    def test_a_wrong_workspace_and_a_run_after_leaving_are_found(self):
        self.record_runs(workspace=b"school-b")
        self.history.left_at_s["p-0"] = 1.0
        self.assertEqual(len(self.find(make_result())), 2)

    def test_a_step_on_two_maps_is_found(self):
        self.fleet.group.mixed_steps.append((4, {LoadedMap(1, "a"), LoadedMap(2, "b")}))
        self.assertEqual(self.find(), ["step 4 ran on 2 maps"])


class ForeignBytesTest(unittest.TestCase):
    def find(self, kind, body, whole=True):
        return find_fault("r1", kind, 200, body, whole, ANSWERS)

    def test_a_whole_answer_is_the_requests_own(self):
        body = plain_body(b"r1")
        self.assertEqual(self.find("read", body), "")
        for wrong in (body + body, body[:-1], plain_body(b"r2"), b""):
            self.assertNotEqual(self.find("read", wrong), "", wrong)

    def test_a_cut_stream_is_the_start_of_the_requests_own(self):
        events = b"".join(event_of(b"r1", number) for number in range(1, EVENTS + 1))
        self.assertEqual(self.find("stream", events), "")
        self.assertEqual(self.find("stream", events[:50], whole=False), "")
        self.assertNotEqual(self.find("stream", events[:50]), "")
        self.assertNotEqual(self.find("stream", b"id: 1" + events, whole=False), "")


class CrashChecksTest(unittest.TestCase):
    """The fifth crash is at 2 s, so the bound holds from 2 s and the stable window on."""

    BOUND_FROM_S = 2.0 + STABLE_WINDOW_S

    def setUp(self):
        directory = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.fleet = Fleet(directory, FleetShape(ranks=2), random.Random(1))
        self.server = StandinBackendServer("c-0")
        self.fleet.further_servers.append(self.server)
        self.server.crash_at_s = [1.0, 1.2, 1.4, 1.6, 2.0]
        self.history = History([], [], {}, {}, [], [CrashWindow("bad", 0.5, 30.0)], [])

    def add_prompts(self, count, sent_at_s, status=200, crashes=False):
        for _ in range(count):
            request_id = f"r{len(self.history.results)}"
            request = Request(b"POST", b"/stream/", ((wire.REQUEST_ID, request_id.encode()),), b"")
            if status == 200:
                self.server.runs.append(request)
                self.server.run_at_s.append(sent_at_s)
            if crashes:
                self.server.crashing_arrivals.append(CrashingArrival(request, sent_at_s))
            result = make_result(
                status,
                "stream",
                request_id=request_id,
                answers_to=request_id,
                sent_at_s=sent_at_s,
                workload=PROMPTS._replace(crashes=crashes),
            )
            self.history.results.append(result)

    def find(self):
        found = find_violations(self.fleet, self.history)
        return [line for line in found if "part bad" in line]

    def test_three_arrivals_after_the_bound_are_allowed(self):
        self.add_prompts(10, self.BOUND_FROM_S - 0.1, 502, crashes=True)
        self.add_prompts(3, self.BOUND_FROM_S + 0.1, 502, crashes=True)
        self.assertEqual(self.find(), [])
        self.add_prompts(1, self.BOUND_FROM_S + 5.0, 502, crashes=True)
        self.assertEqual(len(self.find()), 1)

    def test_arrivals_from_a_gateway_out_of_touch_do_not_count(self):
        self.add_prompts(9, self.BOUND_FROM_S + 2.0, 502, crashes=True)
        self.history.restarts.append(Disturbance("g", 4.0, 5.0))
        self.assertEqual(self.find(), [])
        self.history.restarts[0] = Disturbance("another", 4.0, 5.0)
        self.assertEqual(len(self.find()), 1)

    def test_sound_requests_that_are_refused_beside_the_part_are_found(self):
        self.add_prompts(30, 0.1)
        self.add_prompts(15, self.BOUND_FROM_S + STABLE_WINDOW_S + 1.0)
        self.add_prompts(15, self.BOUND_FROM_S + STABLE_WINDOW_S + 1.0, 503)
        self.assertEqual(self.find(), [])
        self.add_prompts(5, self.BOUND_FROM_S + STABLE_WINDOW_S + 1.0, 503)
        self.assertEqual(len(self.find()), 1)

    def test_sound_requests_that_are_refused_after_fewer_than_five_crashes_are_found(self):
        self.server.crash_at_s = [1.0, 2.0]
        self.add_prompts(30, 0.1)
        self.add_prompts(30, self.BOUND_FROM_S + STABLE_WINDOW_S + 1.0, 503)
        self.add_prompts(9, self.BOUND_FROM_S + 2.0, 502, crashes=True)
        found = self.find()
        self.assertEqual(len(found), 1)
        self.assertIn("sound requests", found[0])


class LimitChecksTest(unittest.TestCase):
    """A server names 1 request a second at 0 s, so the bound holds from the stable window on."""

    def setUp(self):
        directory = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.fleet = Fleet(directory, FleetShape(ranks=2), random.Random(1))
        self.server = self.fleet.plain_servers[0]
        self.history = History([], [], {}, {}, [], [], [])
        self.now_s = 0.0
        clock = mock.Mock(monotonic=lambda: self.now_s)
        self.enterContext(mock.patch.object(rate_limit, "time", clock))
        self.server.limit.set_rate(1.0)

    def add_requests(self, begin_s, end_s, rate_rps, gateway="g"):
        for number in range(int((end_s - begin_s) * rate_rps)):
            self.now_s = begin_s + number / rate_rps
            request_id = f"r{len(self.history.results)}"
            self.server.limit.record_arrival(request_id)
            self.server.limit.headers(request_id)
            result = make_result(503, request_id=request_id, gateway=gateway, sent_at_s=self.now_s)
            self.history.results.append(result)

    def find(self):
        return [line for line in find_violations(self.fleet, self.history) if "limit" in line]

    def test_requests_beyond_a_limit_are_found(self):
        self.add_requests(0.0, 12.0, 2.0)
        self.assertEqual(self.find(), [])
        self.add_requests(12.0, 14.0, 8.0)
        self.assertEqual(len(self.find()), 1)

    def test_a_gateway_that_was_restarted_is_excused(self):
        self.add_requests(0.0, 12.0, 8.0)
        self.history.restarts.append(Disturbance("g", 2.0, 10.0))
        self.assertEqual(self.find(), [])
        self.history.restarts[0] = Disturbance("another", 2.0, 10.0)
        self.assertEqual(len(self.find()), 1)

    def test_refusals_beside_servers_without_a_limit_are_found(self):
        self.add_requests(0.0, 12.0, 2.0)
        self.history.limit_windows.append(LimitWindow(("book",), False, 0.0, 12.0))
        self.assertEqual(self.find(), [])
        self.history.limit_windows[0] = LimitWindow(("book",), True, 0.0, 12.0)
        self.assertEqual(len(self.find()), 1)


if __name__ == "__main__":
    unittest.main()
