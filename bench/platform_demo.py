"""Demonstrates a gateway with stand-ins for the users' platform."""

from __future__ import annotations

import asyncio
import json
import pathlib
import subprocess
import sys
import tempfile
from collections.abc import Callable
from typing import Any

import anyio

from bronzerudder.http1 import ClientPool, HttpError, HttpServer, listen
from bronzerudder.platform import wire
from bronzerudder.standin.fleet import Behaviour, StandinBackendServer, StandinStore
from bronzerudder.standin.fleet.backend_server import EVENTS

START_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.05
HOST = "shop.example"
KEY = "demo-key"
ADDRESSES = ("caller_address", "ready_address", "metrics_address", "peer_address")

Check = Callable[[str, bool], None]


def build_configuration() -> dict[str, Any]:
    """Build a configuration with an idempotent and a streaming route."""
    common = {"host": HOST, "timeout_ms": 4000, "service": "replies", "max_attempts": 2}
    routes = [
        {"name": "look-up", "path_prefix": "/read/", "kind": "idempotent", **common},
        {
            "name": "reply",
            "path_prefix": "/stream/",
            "kind": "streaming",
            "resumable": True,
            **common,
        },
    ]
    tenants = [{"name": "school", "api_keys": [KEY]}]
    return {"version": 1, "routes": routes, "services": [{"name": "replies"}], "tenants": tenants}


class PlatformDemo:
    """A store, two backend servers and a gateway.

    Parameters
    ----------
    check : callable
        Called for each outcome with its description and whether it is right.
    """

    def __init__(self, check: Check) -> None:
        self._check = check
        self._tasks: list[asyncio.Task[None]] = []
        self._store = StandinStore()
        self._backend_servers = [StandinBackendServer("i-1"), StandinBackendServer("i-2")]
        self._addresses = {name: _find_free_address() for name in ADDRESSES}

    async def run(self) -> None:
        """Start the store, backend servers and gateway, show the outcomes, and stop them all."""
        store_address = self._serve(self._store.server)
        self._store.put(wire.CONFIGURATION_KIND, wire.CONFIGURATION_NAME, build_configuration())
        for backend_server in self._backend_servers:
            record = {
                "service": "replies",
                "address": self._serve(backend_server.server),
                "state": "ready",
                "slots": 4,
            }
            self._store.put(wire.BACKEND_SERVER_KIND, backend_server.instance_id, record)
        with tempfile.TemporaryDirectory() as directory:
            process = self._start_gateway(pathlib.Path(directory), store_address)
            try:
                await self._wait_ready()
                await self._show_outcomes()
            finally:
                process.terminate()
                process.wait()
        for task in self._tasks:
            task.cancel()

    def _serve(self, server: HttpServer) -> str:
        listener = listen("127.0.0.1:0")
        self._tasks.append(asyncio.create_task(server.serve(listener)))
        return f"127.0.0.1:{listener.getsockname()[1]}"

    def _start_gateway(
        self, directory: pathlib.Path, store_address: str
    ) -> subprocess.Popen[bytes]:
        settings = {
            "gateway_id": "gateway-1",
            "failure_domain": "a",
            "store_address": store_address,
            "grace_s": 4.0,
            "retry_budget": {"share": 0.2, "extra": 20, "window_s": 10},
            **self._addresses,
        }
        path = directory / "gateway.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        command = [sys.executable, "-m", "bronzerudder", "gateway", str(path)]
        return subprocess.Popen(command, stdout=subprocess.DEVNULL)

    async def _wait_ready(self) -> None:
        address = self._addresses["ready_address"]
        with anyio.fail_after(START_TIMEOUT_S):
            while True:
                answer = await ClientPool().call(address, b"GET", wire.READY_PATH, _HOST_HEADER)
                if not isinstance(answer, HttpError) and answer[0] == 200:
                    return
                await anyio.sleep(POLL_INTERVAL_S)

    async def _show_outcomes(self) -> None:
        status, body = await self._send_request(b"/read/a", KEY)
        self._check(f"look-up: {status} {body.decode()!r}", status == 200)
        self._backend_servers[0].usual = Behaviour.TRUNCATED
        status, body = await self._send_request(b"/stream/a", KEY)
        events = body.count(b"id: ")
        self._check(
            f"stream, cut by one backend server: {status}, {events} events", events == EVENTS
        )
        status, body = await self._send_request(b"/read/a", "wrong")
        self._check(f"wrong key: {status} {body.decode().strip()!r}", status == 401)
        for backend_server in self._backend_servers:
            self._store.remove(wire.BACKEND_SERVER_KIND, backend_server.instance_id)
        await anyio.sleep(0.3)
        status, body = await self._send_request(b"/read/a", KEY)
        self._check(f"no backend server: {status} {body.decode().strip()!r}", status == 503)

    async def _send_request(self, path: bytes, key: str) -> tuple[int, bytes]:
        headers = [
            *_HOST_HEADER,
            (wire.API_KEY, key.encode()),
            (wire.REQUEST_ID, b"demo"),
            (wire.DEADLINE_MS, b"2000"),
        ]
        address = self._addresses["caller_address"]
        answer = await ClientPool().call(address, b"GET", path, headers)
        return (0, answer.reason.encode()) if isinstance(answer, HttpError) else answer


_HOST_HEADER = [(b"host", HOST.encode())]


def _find_free_address() -> str:
    listener = listen("127.0.0.1:0")
    port = listener.getsockname()[1]
    listener.close()
    return f"127.0.0.1:{port}"
