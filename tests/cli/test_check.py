"""Tests of the command that checks settings."""

from __future__ import annotations

import json
import pathlib
import tempfile
import unittest

from tests.cli.test_main import run

LISTENER = {"host": "127.0.0.1", "port": 0}
ENTRY = {
    "entry_id": "entry-1",
    "failure_domain": "domain-a",
    "listener": LISTENER,
    "admin_listener": LISTENER,
    "peer_listener": LISTENER,
    "platform": {"address": "127.0.0.1:1"},
}


class CheckTest(unittest.TestCase):
    def check(self, settings, *command):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "settings.json")
            path.write_text(settings if isinstance(settings, str) else json.dumps(settings))
            return run(*(command or ("check",)), str(path))

    def test_valid_settings(self):
        code, output, errors = self.check(ENTRY)
        self.assertEqual((code, errors), (0, ""))
        self.assertIn("valid settings of an entry", output)

    def test_it_prints_what_the_process_holds_for_callers(self):
        machine = {"memory_mb": 192, "max_descriptors": 120}
        code, output, _ = self.check({**ENTRY, "machine": machine})
        self.assertEqual(code, 0)
        self.assertIn("at most 40 connections of callers, 25165824 bytes", output)

    def test_each_fault_is_one_line_with_the_path_of_the_field(self):
        faults = {
            "$.drain_timeout_ms": {**ENTRY, "drain_timeout_ms": 30_000},
            "$.drain_timeout_s": {**ENTRY, "drain_timeout_s": "30s"},
            "$.listener.port": {**ENTRY, "listener": {"host": "127.0.0.1", "port": 70_000}},
            "$.platform.adress": {**ENTRY, "platform": {"adress": "127.0.0.1:1"}},
            "$.machine.memory_mb": {**ENTRY, "machine": {"memory_mb": 100}},
            "$.machine.max_descriptors": {**ENTRY, "machine": {"max_descriptors": 10}},
            "$": "{",
        }
        for path, settings in faults.items():
            with self.subTest(path):
                code, output, errors = self.check(settings)
                self.assertEqual((code, output), (2, ""))
                self.assertEqual(len(errors.splitlines()), 1)
                self.assertIn(f"{path}: ", errors)

    def test_the_role_is_told_from_the_file(self):
        _, _, errors = self.check({"agent_id": "agent-1"})
        self.assertIn("failure_domain", errors)
        self.assertNotIn("entry_id", errors)

    def test_a_process_refuses_bad_settings_in_the_same_way(self):
        code, output, errors = self.check({**ENTRY, "nothing": 1}, "entry")
        self.assertEqual((code, output), (2, ""))
        self.assertIn("$.nothing: unknown field", errors)

    def test_a_missing_file_is_one_line(self):
        code, _, errors = run("check", "missing.json")
        self.assertEqual((code, len(errors.splitlines())), (2, 1))


if __name__ == "__main__":
    unittest.main()
