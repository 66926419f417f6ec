"""Tests of the gateway as a process: start, reload, logs, traces, metrics, shutdown."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import unittest

import anyio
import msgspec

from bronzerudder.http1 import ClientPool, HttpError
from bronzerudder.peers.registry import GATEWAY_KIND
from bronzerudder.standin.fleet import Behaviour
from tests.gateway.harness import make_configuration
from tests.processes.gateway_case import TIMEOUT_S, GatewayProcessCase


class GatewayProcessTest(GatewayProcessCase):
    async def test_it_serves_and_leaves_gracefully(self):
        process = await self.start()
        answer = await self.send_request(b"/read/", "r1")
        self.assertEqual(answer, (200, b"from i-0"))
        self.assertEqual(await self.status("metrics_address", b"/metrics"), 200)
        self.backend_server.event_gap_s = 0.8
        async with anyio.create_task_group() as tasks:
            results = []

            async def stream():
                results.append(await self.send_stream_request())

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

    async def send_stream_request(self):
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
            self.assertEqual((await self.send_request(b"/read/", "r"))[0], 200)

    async def test_settings_are_reloaded_with_and_without_a_signal(self):
        process = await self.start()
        path = self.directory / "gateway.json"
        settings = json.loads(path.read_text())
        settings["retry_budget"]["extra"] = 10
        path.write_text(json.dumps(settings))
        await self.wait_for_event("settings reloaded")
        path.write_text("{}")
        process.send_signal(signal.SIGHUP)
        await self.wait_for_event("settings rejected, previous ones stay in force")
        self.assertEqual((await self.send_request(b"/read/", "r"))[0], 200)

    async def test_its_entry_is_written_again_after_the_store_came_back_from_an_older_copy(self):
        before = self.store.take_copy()
        await self.start()
        own = [self.addresses["peer_address"]]
        with anyio.fail_after(TIMEOUT_S):
            while self.store.names(GATEWAY_KIND) != own:
                await anyio.sleep(0.05)
        self.store.restore(before)
        self.assertEqual(self.store.names(GATEWAY_KIND), [])
        with anyio.fail_after(TIMEOUT_S):
            while self.store.names(GATEWAY_KIND) != own:
                await anyio.sleep(0.05)

    async def wait_for_event(self, event):
        with anyio.fail_after(TIMEOUT_S):
            while event not in self.log.read_text():
                await anyio.sleep(0.05)

    async def test_three_kinds_of_failure_are_explained_from_the_log(self):
        await self.start()
        self.backend_server.script = [Behaviour.TRUNCATED]
        truncated = await self.send_request(b"/once/", "cut-in-the-middle")
        self.assertIsInstance(truncated, HttpError)
        explained = self.explain("cut-in-the-middle")
        self.assertIn("kind=broken", explained)
        self.assertIn("instance=i-0", explained)
        self.assertIn("last_event_id=2", explained)

        self.backend_server.script = [Behaviour.RESET]
        unknown = await self.send_request(b"/book/", "booking")
        self.assertEqual(unknown[0], 502)
        explained = self.explain("booking")
        self.assertIn("outcome=unknown", explained)
        self.assertIn("may not be repeated", explained)

        self.store.remove("servers", "i-0")
        await anyio.sleep(0.3)
        refused = await self.send_request(b"/read/", "refused")
        self.assertEqual(refused[0], 503)
        explained = self.explain("refused")
        self.assertIn("outcome=not-run", explained)
        self.assertIn("no-backend-server", explained)

    async def test_a_traced_request_has_a_span_for_each_hop(self):
        await self.start(traces={"share": 1.0})
        self.assertEqual((await self.send_request(b"/read/", "traced"))[0], 200)
        await self.wait_for_event('"span":"request"')
        lines = [json.loads(line) for line in self.log.read_text().splitlines()]
        spans = {line["span"]: line for line in lines if line["event"] == "span"}
        request, attempt = spans["request"], spans["attempt"]
        self.assertEqual(attempt["parent_span_id"], request["span_id"])
        self.assertEqual(attempt["attributes"]["instance"], "i-0")
        sent = self.backend_server.runs[-1].header(b"traceparent").decode()
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
        self.assertEqual((await self.send_request(b"/read/", "r"))[0], 200)
        self.assertIsNone(process.poll())

    async def test_a_reader_of_the_log_that_stopped_does_not_stop_it(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.log = pathlib.Path(f"/proc/self/fd/{writer}")
        await self.start(log={"lines_per_s": 100_000})
        os.close(writer)
        for number in range(400):
            self.backend_server.script = [Behaviour.RESET]
            self.assertEqual((await self.send_request(b"/book/", f"r{number}"))[0] // 100, 5)
        self.backend_server.script = []
        self.assertEqual((await self.send_request(b"/read/", "last"))[0], 200)


if __name__ == "__main__":
    unittest.main()
