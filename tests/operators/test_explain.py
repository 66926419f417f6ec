"""Tests of collecting a request's lines from the logs of several processes."""

from __future__ import annotations

import json
import unittest

from bronzerudder.operators.explain import explain, read_lines


def line(name, steady_s, event, **fields) -> bytes:
    document = {"time_s": 1e9 + steady_s, "steady_s": steady_s, "role": "gateway", "name": name}
    return json.dumps({**document, "event": event, **fields}).encode() + b"\n"


class ExplainTest(unittest.TestCase):
    def test_lines_of_a_request_come_in_the_order_of_each_process(self):
        first = line("a", 5.0, "request failed", request="r", status=502)
        first += line("a", 4.0, "attempt failed", request="r", instance="i-1", kind="broken")
        first += line("a", 3.0, "request finished", request="other")
        second = line("b", 1.0, "request failed", request="r", status=503)
        description = explain("r", [read_lines(first), read_lines(second)])
        self.assertEqual(
            [text for text in description if text.endswith(":")], ["gateway b:", "gateway a:"]
        )
        self.assertIn("an attempt at a backend server failed", description[3])
        self.assertIn("status=502", description[4])
        self.assertNotIn("other", "\n".join(description))

    def test_what_was_believed_of_a_backend_server_shortly_before_is_shown(self):
        log = line("a", 1.0, "backend server listed", instance="i-1", service="s")
        log += line("a", 8.0, "backend server suspected", instance="i-1", service="s")
        log += line("a", 9.0, "attempt failed", request="r", instance="i-1", service="s")
        description = "\n".join(explain("r", [read_lines(log)]))
        self.assertIn("backend server suspected", description)
        self.assertNotIn("backend server listed", description)

    def test_other_bytes_are_passed_over(self):
        log = b"Traceback\n\xff\xfe\n{}\n{broken\n" + line("a", 1.0, "request failed", request="r")
        self.assertEqual(len(explain("r", [read_lines(log)])), 2)

    def test_an_unknown_request_has_no_story(self):
        self.assertEqual(explain("r", [read_lines(line("a", 1.0, "started"))]), [])


if __name__ == "__main__":
    unittest.main()
