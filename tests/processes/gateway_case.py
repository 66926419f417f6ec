"""Base class of tests of one gateway process with a stand-in store and backend server."""

from __future__ import annotations

import asyncio
import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

import anyio
import msgspec

from bench.harness.fleet import free_port
from bronzerudder.http1 import ClientPool, HttpError, listen
from bronzerudder.standin.fleet import StandinBackendServer, StandinStore
from tests.gateway.harness import make_configuration

TIMEOUT_S = 15.0


class GatewayProcessCase(unittest.IsolatedAsyncioTestCase):
    """Starts the stand-ins; tests start the gateway with `start`."""

    async def asyncSetUp(self):
        self.directory = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.store = StandinStore()
        self.backend_server = StandinBackendServer("i-0")
        self.store_address = self.serve(self.store.server)
        self.backend_server_address = self.serve(self.backend_server.server)
        self.store.put("config", "main", msgspec.json.decode(make_configuration()))
        record = {
            "service": "s",
            "address": self.backend_server_address,
            "state": "ready",
            "slots": 6,
        }
        self.store.put("servers", "i-0", record)
        self.log = self.directory / "gateway.log"
        self.pool = ClientPool()

    def serve(self, server) -> str:
        listener = listen("127.0.0.1:0")
        self.addCleanup(listener.close)
        self.addCleanup(asyncio.create_task(server.serve(listener)).cancel)
        return f"127.0.0.1:{listener.getsockname()[1]}"

    async def start(self, **changes) -> subprocess.Popen:
        names = ("caller_address", "ready_address", "metrics_address", "peer_address")
        self.addresses = {name: f"127.0.0.1:{free_port('127.0.0.1')}" for name in names}
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

    async def send_request(self, path: bytes, request_id: str) -> tuple[int, bytes] | HttpError:
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
