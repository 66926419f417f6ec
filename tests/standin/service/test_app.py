"""Tests of the stand-in service as a process."""

from __future__ import annotations

import contextlib
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Iterator

import httpx

TIMEOUT_S = 10


@contextlib.contextmanager
def running_service() -> Iterator[tuple[subprocess.Popen, httpx.Client]]:
    """Run the stand-in as a process on a free port."""
    with tempfile.TemporaryDirectory() as folder:
        settings = pathlib.Path(folder, "service.json")
        settings.write_text('{"address": "127.0.0.1:0", "name": "bookings"}', encoding="utf-8")
        command = [sys.executable, "-m", "bronzerudder", "standin", "service", str(settings)]
        process = subprocess.Popen(command, stdout=subprocess.PIPE)
        try:
            first = json.loads(process.stdout.readline())
            with httpx.Client(base_url=f"http://{first['address']}", timeout=TIMEOUT_S) as client:
                yield process, client
        finally:
            process.kill()
            process.wait()
            process.stdout.close()


class ServiceTest(unittest.TestCase):
    def test_counts_runs_and_plays_faults(self):
        with running_service() as (process, client):
            first = client.post("/bookings", headers={"Idempotency-Key": "a"}, content=b"slot")
            self.assertEqual((first.status_code, first.json()["booking"]), (201, 1))
            client.put("/behaviour", json={"fail": "before"})
            self.assertEqual(client.post("/bookings").status_code, 503)
            client.put("/behaviour", json={"fail": "after"})
            self.assertEqual(client.post("/bookings").status_code, 500)
            client.put("/behaviour", json={"lose_answer": True})
            with self.assertRaises(httpx.RemoteProtocolError):
                client.post("/bookings")
            self.assertEqual(client.put("/behaviour", json={"dely_s": 1}).status_code, 400)
            runs = client.get("/runs").json()
            self.assertEqual([run["key"] for run in runs["runs"]], ["a", "", ""])
            process.send_signal(signal.SIGTERM)
            self.assertEqual(process.wait(TIMEOUT_S), 0)
            lines = [json.loads(line) for line in process.stdout]
            self.assertEqual([line["number"] for line in lines], [1, 2, 3])

    def test_a_stall_ends_when_another_behaviour_is_set(self):
        with running_service() as (_, client):
            client.put("/behaviour", json={"stall": "after"})
            with self.assertRaises(httpx.ReadTimeout):
                client.post("/bookings", timeout=0.2)
            self.assertEqual(client.get("/runs").json()["count"], 1)
            client.put("/behaviour", json={})
            self.assertEqual(client.post("/bookings").status_code, 201)


if __name__ == "__main__":
    unittest.main()
