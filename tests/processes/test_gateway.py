"""Tests of the gateway as a process: start, service, logs, metrics, shutdown."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

import anyio
import msgspec

from bronzerudder.http1 import ClientPool, HttpError, listen
from bronzerudder.standin.fleet import Behaviour, StandinStore, StandinWorker
from tests.gateway.harness import make_configuration

TIMEOUT_S = 15.0


def free_port() -> int:
    listener = listen("127.0.0.1:0")
    port = listener.getsockname()[1]
    listener.close()
    return port


class GatewayProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.directory = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.store = StandinStore()
        self.worker = StandinWorker("i-0")
        self.store_address = self.serve(self.store.server)
        worker_address = self.serve(self.worker.server)
        self.store.put("config", "main", msgspec.json.decode(make_configuration()))
        entry = {"service": "s", "address": worker_address, "state": "ready", "slots": 6}
        self.store.put("servers", "i-0", entry)
        self.log = self.directory / "gateway.log"
        self.pool = ClientPool()

    def serve(self, server) -> str:
        listener = listen("127.0.0.1:0")
        self.addCleanup(listener.close)
        self.addCleanup(asyncio.create_task(server.serve(listener)).cancel)
        return f"127.0.0.1:{listener.getsockname()[1]}"

    async def start(self, **changes) -> subprocess.Popen:
        names = ("caller_address", "ready_address", "metrics_address", "peer_address")
        self.addresses = {name: f"127.0.0.1:{free_port()}" for name in names}
        settings = {
            "gateway_id": "g-1",
            "failure_domain": "z",
            "store_address": self.store_address,
            "grace_s": 6.0,
            "retry_budget": {"share": 0.2, "extra": 90, "window_s": 10},
            **self.addresses,
            **changes,
        }
        path = self.directory / "gateway.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        command = [sys.executable, "-m", "bronzerudder", "gateway", str(path)]
        process = self.spawn(command)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        with anyio.fail_after(TIMEOUT_S):
            while await self.status("ready_address", b"/-/readyz") != 200:
                await anyio.sleep(0.05)
        return process

    def spawn(self, command: list[str]) -> subprocess.Popen:
        with self.log.open("wb") as log:
            return subprocess.Popen(command, stdout=log)

    async def status(self, name, path) -> int:
        answer = await self.pool.call(self.addresses[name], b"GET", path, [(b"host", b"h")])
        return 0 if isinstance(answer, HttpError) else answer[0]

    async def ask(self, path: bytes, request_id: str) -> tuple[int, bytes] | HttpError:
        headers = [
            (b"host", b"h.example"),
            (b"x-api-key", b"key"),
            (b"attempt-id", request_id.encode()),
            (b"deadline-ms", b"1000"),
        ]
        with anyio.fail_after(TIMEOUT_S):
            return await ClientPool().call(
                self.addresses["caller_address"], b"POST", path, headers, b"body"
            )

    def explain(self, request_id: str) -> str:
        command = [sys.executable, "-m", "bronzerudder", "explain", request_id, str(self.log)]
        done = subprocess.run(command, capture_output=True, check=False, text=True)
        return done.stdout

    async def test_it_serves_and_leaves_gracefully(self):
        process = await self.start()
        answer = await self.ask(b"/read/", "r1")
        self.assertEqual(answer, (200, b"from i-0"))
        self.assertEqual(await self.status("metrics_address", b"/metrics"), 200)
        self.worker.event_gap_s = 0.8
        async with anyio.create_task_group() as tasks:
            results = []

            async def stream():
                results.append(await self.ask_stream())

            tasks.start_soon(stream)
            await anyio.sleep(0.5)
            process.send_signal(signal.SIGTERM)
            await anyio.sleep(0.2)
            self.assertEqual(await self.status("ready_address", b"/-/readyz"), 503)
        self.assertEqual(results[0][0], 200)
        self.assertIn(b"id: 6", results[0][1])
        with anyio.fail_after(TIMEOUT_S):
            while process.poll() is None:
                await anyio.sleep(0.05)
        self.assertEqual(process.returncode, 0)
        events = [json.loads(line)["event"] for line in self.log.read_text().splitlines()]
        self.assertEqual((events[0], events[-1]), ("started", "stopped"))

    async def ask_stream(self):
        headers = [(b"host", b"h.example"), (b"x-api-key", b"key"), (b"attempt-id", b"s")]
        changed = make_configuration(2).replace(b'"timeout_ms":1500', b'"timeout_ms":9000')
        self.store.put("config", "main", msgspec.json.decode(changed))
        await anyio.sleep(0.2)
        pool = ClientPool()
        return await pool.call(self.addresses["caller_address"], b"GET", b"/stream/", headers)

    async def test_a_configuration_that_comes_after_the_start_is_served_at_once(self):
        self.store.remove("config", "main")
        starting = asyncio.create_task(self.start())
        await anyio.sleep(2.0)
        self.store.put("config", "main", msgspec.json.decode(make_configuration()))
        await starting
        with anyio.fail_after(1.0):
            self.assertEqual((await self.ask(b"/read/", "r"))[0], 200)

    async def test_settings_are_reloaded_with_and_without_a_signal(self):
        process = await self.start()
        path = self.directory / "gateway.json"
        settings = json.loads(path.read_text())
        settings["retry_budget"]["extra"] = 10
        path.write_text(json.dumps(settings))
        await self.wait_for_event("settings reloaded")
        path.write_text("{}")
        process.send_signal(signal.SIGHUP)
        await self.wait_for_event("settings rejected, the last ones stay in force")
        self.assertEqual((await self.ask(b"/read/", "r"))[0], 200)

    async def wait_for_event(self, event):
        with anyio.fail_after(TIMEOUT_S):
            while event not in self.log.read_text():
                await anyio.sleep(0.05)

    async def test_three_kinds_of_failure_are_explained_from_the_log(self):
        await self.start()
        self.worker.script = [Behaviour.CUT]
        cut = await self.ask(b"/once/", "cut-in-the-middle")
        self.assertIsInstance(cut, HttpError)
        told = self.explain("cut-in-the-middle")
        self.assertIn("kind=broken", told)
        self.assertIn("instance=i-0", told)
        self.assertIn("last_event_id=2", told)

        self.worker.script = [Behaviour.RESET]
        unknown = await self.ask(b"/book/", "booking")
        self.assertEqual(unknown[0], 502)
        told = self.explain("booking")
        self.assertIn("outcome=unknown", told)
        self.assertIn("may not be repeated", told)

        self.store.remove("servers", "i-0")
        await anyio.sleep(0.3)
        refused = await self.ask(b"/read/", "refused")
        self.assertEqual(refused[0], 503)
        told = self.explain("refused")
        self.assertIn("outcome=not-run", told)
        self.assertIn("no-backend-server", told)

    async def test_a_traced_request_has_a_span_for_each_hop(self):
        await self.start(traces={"share": 1.0})
        self.assertEqual((await self.ask(b"/read/", "traced"))[0], 200)
        await self.wait_for_event('"span":"request"')
        lines = [json.loads(line) for line in self.log.read_text().splitlines()]
        spans = {line["span"]: line for line in lines if line["event"] == "span"}
        request, attempt = spans["request"], spans["attempt"]
        self.assertEqual(attempt["parent_span_id"], request["span_id"])
        self.assertEqual(attempt["attributes"]["instance"], "i-0")
        sent = self.worker.runs[-1].header(b"traceparent").decode()
        self.assertIn(attempt["span_id"], sent)
        self.assertIn(request["trace_id"], sent)

    async def test_it_lives_on_through_malformed_requests(self):
        process = await self.start()
        from bronzerudder.http1 import connect

        for name in self.addresses:
            if name == "peer_address":
                continue
            for data in (b"\xff" * 20, b"GET / HTTP/9.9\r\n\r\n", b"\r\n\r\n\r\n", b"GET"):
                connection = await connect(self.addresses[name], 1.0)
                await connection.send(data)
                connection.close()
        self.assertEqual((await self.ask(b"/read/", "r"))[0], 200)
        self.assertIsNone(process.poll())

    async def test_a_reader_of_the_log_that_stopped_does_not_stop_it(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.log = pathlib.Path(f"/proc/self/fd/{writer}")
        await self.start(log={"lines_per_s": 100_000})
        os.close(writer)
        for number in range(400):
            self.worker.script = [Behaviour.RESET]
            self.assertEqual((await self.ask(b"/book/", f"r{number}"))[0] // 100, 5)
        self.worker.script = []
        self.assertEqual((await self.ask(b"/read/", "last"))[0], 200)


if __name__ == "__main__":
    unittest.main()
