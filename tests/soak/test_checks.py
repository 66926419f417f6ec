"""Tests that the soak's checks find violations."""

from __future__ import annotations

import pathlib
import random
import tempfile
import unittest

from bench.harness.fleet import Fleet, FleetShape
from bench.soak.callers import INCOMPLETE, Result
from bench.soak.checks import Disturbance, History, find_violations
from bronzerudder.http1 import Request
from bronzerudder.platform import wire
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
        self.history = History([], [], {}, {})

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


if __name__ == "__main__":
    unittest.main()
