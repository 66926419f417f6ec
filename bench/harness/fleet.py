"""Runs gateways and rank agents as processes, and the platform's stand-ins in this process."""

from __future__ import annotations

import asyncio
import pathlib
import random
import time
from typing import Any, NamedTuple

import anyio

from bench.harness.process import ManagedProcess
from bronzerudder.http1 import ClientPool, HttpError, HttpServer, listen
from bronzerudder.platform import wire
from bronzerudder.standin.fleet import (
    FaultyAnswerServer,
    LockstepGroup,
    StandinBackendServer,
    StandinRank,
    StandinStore,
)

HOST = "h.example"
KEYS = {"school-a": "key-a", "school-b": "key-b"}
MODEL_SERVICE = "replies"
PLAIN_SERVICE = "bookings"
SLOTS = 6
SETS = 2
EXPERTS = 16
STEP_S = 0.08
SERVER_PORTS = (12_000, 30_000)
READY_TIMEOUT_S = 20.0
READ_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.05
_HOST_HEADER = [(b"host", HOST.encode())]


class FleetShape(NamedTuple):
    """Size of a fleet, and the grace period of its gateways."""

    gateways: int = 1
    ranks: int = 3
    plain_servers: int = 2
    grace_s: float = 6.0


def make_route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Make a route whose path is its name."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 300,
        "target_gap_ms": 100,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **changes,
    }


def make_configuration(
    version: int,
    routes: list[dict[str, Any]] | None = None,
    keys: dict[str, str] | None = None,
    services: tuple[str, ...] = (),
) -> dict[str, Any]:
    """Make a configuration with a route of each kind, and any further routes and services given."""
    engine = {"step_ms": 5.0, "sets": SETS, "experts": EXPERTS, "placements": 8, "spare": 2}
    return {
        "version": version,
        "routes": [
            make_route("read", "idempotent", PLAIN_SERVICE),
            make_route("book", "non_idempotent", PLAIN_SERVICE, max_attempts=1),
            make_route("stream", "streaming", MODEL_SERVICE, resumable=True),
            make_route("once", "streaming", MODEL_SERVICE, max_attempts=1),
            *(routes or []),
        ],
        "services": [
            {"name": PLAIN_SERVICE},
            {"name": MODEL_SERVICE, "engine": engine},
            *({"name": name} for name in services),
        ],
        "tenants": [
            {"name": name, "api_keys": [key]} for name, key in (keys or KEYS).items() if key
        ],
    }


def free_port(host: str) -> int:
    """Return a TCP port that is currently free on a loopback address.

    It is below the ephemeral range, as an outgoing connection could otherwise take it before the
    intended process listens.
    """
    while True:
        port = random.randrange(*SERVER_PORTS)
        try:
            listener = listen(f"{host}:{port}")
        except OSError:
            continue
        listener.close()
        return port


class Fleet:
    """Gateway and rank agent processes, and the stand-ins that they connect to.

    Parameters
    ----------
    directory : pathlib.Path
        Where settings and logs are written.
    shape : FleetShape
        Size.
    generator : random.Random
        Draws the experts that requests choose.

    Attributes
    ----------
    store, model_servers, plain_servers, group, ranks
        The stand-ins; `model_servers` run the model's requests, one for each rank.
    further_servers : list
        Backend servers that the owner of the fleet serves and registers.
    """

    def __init__(
        self, directory: pathlib.Path, shape: FleetShape, generator: random.Random
    ) -> None:
        self._directory = directory
        self._shape = shape
        self._generator = generator
        self._tasks: list[asyncio.Task[Any]] = []
        self._processes: list[ManagedProcess] = []
        self.store = StandinStore()
        self.model_servers = [StandinBackendServer(f"m-{number}") for number in range(shape.ranks)]
        self.plain_servers = [
            StandinBackendServer(f"p-{number}") for number in range(shape.plain_servers)
        ]
        self.further_servers: list[StandinBackendServer | FaultyAnswerServer] = []
        self._drawn_ports: set[int] = set()
        self._peer_port = free_port("127.0.0.1")
        hosts = [f"127.0.1.{number + 1}" for number in range(shape.ranks)]
        rank_port = free_port(hosts[0]) if hosts else 0
        self._rank_hosts = hosts
        self.group = LockstepGroup(
            [f"{host}:{rank_port}" for host in hosts], int(time.time() * 1000)
        )
        self.ranks = [
            StandinRank(self.group, rank, backend, (SETS, EXPERTS))
            for rank, backend in zip(self.group.ranks, self.model_servers, strict=True)
        ]
        self.store_address = ""

    @property
    def processes(self) -> list[ManagedProcess]:
        """All processes that were started."""
        return self._processes

    @property
    def backend_servers(self) -> list[StandinBackendServer | FaultyAnswerServer]:
        """All backend servers."""
        return [*self.plain_servers, *self.model_servers, *self.further_servers]

    def serve_stand_ins(self) -> None:
        """Serve the store, backend servers and ranks, and register the backend servers."""
        self.store_address = self.serve(self.store.server)
        self.store.put(wire.CONFIGURATION_KIND, wire.CONFIGURATION_NAME, make_configuration(1))
        for backend in self.plain_servers:
            self.register_backend_server(backend, PLAIN_SERVICE, self.serve(backend.server))
        for rank, backend in zip(self.ranks, self.model_servers, strict=True):
            address = self.group.ranks[server_index(backend)].address
            self.serve(rank.server, address)
            self.register_backend_server(backend, MODEL_SERVICE, address)
        if self.ranks:
            self._tasks.append(asyncio.create_task(self._run_steps()))

    def register_backend_server(
        self,
        backend: StandinBackendServer | FaultyAnswerServer,
        service: str,
        address: str,
        leaving: bool = False,
    ) -> None:
        """Write a backend server's record to the store."""
        record = {
            "service": service,
            "address": address,
            "state": "draining" if leaving else "ready",
            "slots": SLOTS,
        }
        self.store.put(wire.BACKEND_SERVER_KIND, backend.instance_id, record)

    def serve(self, server: HttpServer | FaultyAnswerServer, address: str = "127.0.0.1:0") -> str:
        """Serve in this process; return the address."""
        listener = listen(address)
        self._tasks.append(asyncio.create_task(server.serve(listener)))
        host, port = listener.getsockname()
        return f"{host}:{port}"

    def gateway_settings(self, name: str, store_address: str) -> dict[str, Any]:
        """Make the settings of a gateway on free ports."""
        addresses = {
            field: f"127.0.0.1:{self._draw_port()}"
            for field in ("caller_address", "ready_address", "metrics_address", "peer_address")
        }
        return {
            "gateway_id": name,
            "failure_domain": "z",
            "store_address": store_address,
            "grace_s": self._shape.grace_s,
            "retry_budget": {"share": 0.2, "extra": 90, "window_s": 10},
            **addresses,
        }

    def _draw_port(self) -> int:
        """Draw a port that was not drawn before, as its process may not listen yet."""
        while True:
            port = free_port("127.0.0.1")
            if port not in self._drawn_ports:
                self._drawn_ports.add(port)
                return port

    def agent_settings(self, number: int, store_address: str) -> dict[str, Any]:
        """Make the settings of a rank's agent."""
        host = self._rank_hosts[number]
        return {
            "agent_id": f"agent-{number}",
            "failure_domain": "z",
            "rank_address": self.group.ranks[number].address,
            "service": MODEL_SERVICE,
            "peer_address": f"{host}:{self._peer_port}",
            "metrics_address": f"{host}:{self._peer_port + 1}",
            "store_address": store_address,
        }

    def start_process(self, role: str, name: str, settings: dict[str, Any]) -> ManagedProcess:
        """Start a process of the product."""
        process = ManagedProcess(name, (role,), settings, self._directory)
        self._processes.append(process)
        return process

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for process in self._processes:
            process.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run_steps(self) -> None:
        while True:
            await anyio.sleep(STEP_S)
            self.group.advance(time.monotonic())
            for rank in self.ranks:
                rank.count_choices(self._generator)


def server_index(backend: StandinBackendServer) -> int:
    """Return the index of a backend server among its kind, from its instance id."""
    return int(backend.instance_id.rpartition("-")[2])


async def read_text(address: str, path: bytes) -> tuple[int, str]:
    """Read a page; return its status and text, or status 0 if it can't be read."""
    exchange = await ClientPool().open(address)
    if isinstance(exchange, HttpError):
        return 0, ""
    try:
        with anyio.move_on_after(READ_TIMEOUT_S):
            await exchange.send(b"GET", path, _HOST_HEADER, b"")
            head = await exchange.read_head()
            body = await exchange.read_rest()
            if not isinstance(head, HttpError) and isinstance(body, bytes):
                return head.status, body.decode()
    finally:
        exchange.discard()
    return 0, ""


async def wait_ready(address: str, timeout_s: float = READY_TIMEOUT_S) -> None:
    """Wait until a gateway reports that it is ready."""
    with anyio.fail_after(timeout_s):
        while (await read_text(address, wire.READY_PATH))[0] != 200:
            await anyio.sleep(POLL_INTERVAL_S)
