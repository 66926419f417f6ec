"""The packaged binary runs an entry without starting child processes."""

from __future__ import annotations

import json
import os
import pathlib
import subprocess
import tempfile
import unittest

import psutil

ROOT = pathlib.Path(__file__).resolve().parent.parent
LISTENER = {"host": "127.0.0.1", "port": 0}
SETTINGS = {
    "entry_id": "entry-1",
    "failure_domain": "domain-a",
    "listener": LISTENER,
    "admin_listener": LISTENER,
    "peer_listener": LISTENER,
    "platform": {"address": "127.0.0.1:1"},
}


class BinaryTest(unittest.TestCase):
    def test_the_binary_runs_an_entry_in_one_process(self):
        subprocess.run(["make", "binary"], cwd=ROOT, check=True, capture_output=True)
        with tempfile.TemporaryDirectory() as folder:
            settings = pathlib.Path(folder, "entry.json")
            settings.write_text(json.dumps(SETTINGS))
            entry = subprocess.Popen(
                [ROOT / "dist" / "bronzerudder", "entry", settings],
                env={**os.environ, "SHIV_ROOT": folder},
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
            )
            try:
                self.assertEqual(json.loads(entry.stdout.readline())["event"], "listening")
                self.assertEqual(psutil.Process(entry.pid).children(recursive=True), [])
            finally:
                entry.terminate()
                entry.wait(10)
                entry.stdout.close()
        self.assertEqual(entry.returncode, 0)


if __name__ == "__main__":
    unittest.main()
