"""Starts a small deployment: platform, backend servers with an agent each, and entries."""

from __future__ import annotations

import base64
import json
import pathlib
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from types import TracebackType
from typing import Any, NamedTuple

from bench.harness.link import FaultyLink
from bench.harness.process import ManagedProcess

LOOPBACK = "127.0.0.1"
FAILURE_DOMAINS = ("domain-a", "domain-b", "domain-c")
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
ERROR_CHARACTERS = 1_500
CHAT_POOL = "replies"
BOOKING_POOL = "bookings"


class Backend(NamedTuple):
    """A backend server and its local agent."""

    server: ManagedProcess
    agent: ManagedProcess
    agent_link: FaultyLink | None = None
    backend_link: FaultyLink | None = None

    @property
    def agent_address(self) -> str:
        """Address at which entries reach the agent."""
        return self.agent_link.address if self.agent_link else self.agent.address


class Shape(NamedTuple):
    """Number of processes of each kind, and overrides of their settings."""

    engines: int = 0
    services: int = 0
    entries: int = 1
    engine: dict[str, Any] = {}
    service: dict[str, Any] = {}
    agent: dict[str, Any] = {}
    agent_backend_server: dict[str, Any] = {}
    entry: dict[str, Any] = {}
    platform: dict[str, Any] = {}
    deadline_s: float = 30.0
    # Whether pools and routes are written; without them the start doesn't wait for readiness.
    tables: bool = True
    # Whether a link with fault injection is put in front of each agent or backend server.
    agent_links: bool = False
    backend_links: bool = False


class Deployment:
    """Starts the processes of a shape; its context ends them all.

    Parameters
    ----------
    shape : Shape
        What to start.
    """

    def __init__(self, shape: Shape) -> None:
        self._shape = shape
        self._temporary_directory = tempfile.TemporaryDirectory(prefix="bronzerudder-")
        self._directory = pathlib.Path(self._temporary_directory.name)
        self._processes: list[ManagedProcess] = []
        self._links: list[FaultyLink] = []
        self.engines: list[Backend] = []
        self.services: list[Backend] = []
        self.entries: list[ManagedProcess] = []
        self.platform: ManagedProcess

    def __enter__(self) -> Deployment:
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if error is not None:
            self.print_errors()
        self.close()

    def close(self) -> None:
        """End all processes."""
        for process in reversed(self._processes):
            process.close()
        for link in self._links:
            link.close()
        self._temporary_directory.cleanup()

    def run_cli(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run an operator's command."""
        command = [sys.executable, "-m", "bronzerudder", *arguments]
        return subprocess.run(command, capture_output=True, text=True, check=False)

    def write_json(self, name: str, value: Any) -> str:
        """Write a JSON file and return its path."""
        path = self._directory / name
        path.write_text(json.dumps(value), encoding="utf-8")
        return str(path)

    def put_row(self, kind: str, name: str, row: dict[str, Any]) -> None:
        """Write a row directly to the platform, replacing any version of it."""
        address = f"http://{self.platform.address}/v1/objects/{kind}/{name}"
        version = 0
        try:
            with urllib.request.urlopen(address, timeout=5) as answer:
                version = json.load(answer)["version"]
        except urllib.error.HTTPError as error:
            error.close()
        value = json.dumps(row)
        encoded = base64.b64encode(value.encode()).decode()
        request = urllib.request.Request(
            f"{address}?if_version={version}",
            json.dumps({"value": encoded}).encode(),
            method="PUT",
        )
        with urllib.request.urlopen(request, timeout=5):
            return

    def mark_leaving(self, agent: ManagedProcess) -> None:
        """Have the platform list an agent as leaving, without notifying the agent."""
        instance = {
            "name": agent.name,
            "role": "agent",
            "address": agent.address,
            "failure_domain": FAILURE_DOMAINS[0],
            "state": "leaving",
        }
        request = urllib.request.Request(
            f"http://{self.platform.address}/control/instances",
            json.dumps(instance).encode(),
            method="PUT",
        )
        with urllib.request.urlopen(request, timeout=5):
            return

    def start_entry(self) -> ManagedProcess:
        """Start one more entry."""
        index = len(self.entries)
        settings = {
            "entry_id": f"entry-{index}",
            "failure_domain": FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)],
            "listener": {"host": LOOPBACK, "port": 0},
            "admin_listener": {"host": LOOPBACK, "port": 0},
            "peer_listener": {"host": LOOPBACK, "port": 0},
            "platform": {"address": self.platform.address},
            "peers": [entry.peer_address for entry in self.entries if entry.running],
            **self._shape.entry,
        }
        entry = self._run(f"entry-{index}", ("entry",), settings)
        self.entries.append(entry)
        return entry

    def restart_engine(self, index: int) -> None:
        """Restart an engine that has exited, at its previous address."""
        backend = self.engines[index]
        host, _, port = backend.server.address.rpartition(":")
        settings = {"host": host, "port": int(port), **self._shape.engine}
        server = self._run(backend.server.name, ("standin", "engine"), settings)
        server.wait_listening()
        self.engines[index] = backend._replace(server=server)

    def start_agent(
        self,
        name: str,
        kind: str,
        pool: str,
        server: ManagedProcess,
        port: int = 0,
        server_address: str = "",
    ) -> ManagedProcess:
        """Start the agent of a backend server."""
        settings = {
            "agent_id": name,
            "failure_domain": FAILURE_DOMAINS[len(self._processes) % len(FAILURE_DOMAINS)],
            "pool": pool,
            "listener": {"host": LOOPBACK, "port": port},
            "admin_listener": {"host": LOOPBACK, "port": 0},
            "backend_server": {
                "name": server.name,
                "kind": kind,
                "url": f"http://{server_address or server.address}",
                "max_running": 64,
                "max_queued": 256,
                **self._shape.agent_backend_server,
            },
            "platform": {"address": self.platform.address},
            **self._shape.agent,
        }
        return self._run(name, ("agent",), settings)

    def wait_ready(self) -> None:
        """Wait until every entry serves and is connected to every agent."""
        agents = len(self.engines) + len(self.services)
        for entry in self.entries:
            self.wait_until(lambda entry=entry: self._is_ready(entry, agents))

    def wait_until(self, condition: Any, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Poll until a condition holds; raise TimeoutError if it does not in time."""
        deadline = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(f"condition not met within {timeout_s:g} s")
            time.sleep(POLL_INTERVAL_S)

    def read_status(self, process: ManagedProcess) -> dict[str, Any]:
        """Return a process's status document from its admin listener."""
        with urllib.request.urlopen(f"http://{process.admin_address}/status", timeout=5) as answer:
            return json.load(answer)

    def print_errors(self) -> None:
        """Print the first error in each log."""
        for process in self._processes:
            for line in process.read_log():
                if line["level"] not in ("error", "critical"):
                    continue
                text = f"{line['message']} {line.get('exception', '')}"
                print(f"{process.name}: {text[:ERROR_CHARACTERS]}", flush=True)
                break

    def _is_ready(self, entry: ManagedProcess, agents: int) -> bool:
        connected = self.read_status(entry)["agents"]
        return len(connected) == agents and all(connected.values())

    def _run(self, name: str, command: tuple[str, ...], settings: dict[str, Any]) -> ManagedProcess:
        process = ManagedProcess(name, command, settings, self._directory)
        self._processes.append(process)
        return process

    def _start(self) -> None:
        shape = self._shape
        listener = {"host": LOOPBACK, "port": 0}
        self.platform = self._run(
            "platform", ("standin", "platform"), {**listener, **shape.platform}
        )
        engines = [
            self._run(f"engine-{index}", ("standin", "engine"), {**listener, **shape.engine})
            for index in range(shape.engines)
        ]
        services = [
            self._run(
                f"service-{index}",
                ("standin", "service"),
                {"address": f"{LOOPBACK}:0", "name": f"service-{index}", **shape.service},
            )
            for index in range(shape.services)
        ]
        self.engines = self._start_agents(engines, "engine", CHAT_POOL)
        self.services = self._start_agents(services, "service", BOOKING_POOL)
        for _ in range(shape.entries):
            self.start_entry()
        for process in (*self.entries, *(backend.agent for backend in self.engines)):
            process.wait_listening()
        if shape.tables:
            self._write_tables()
            self.wait_ready()

    def _start_agents(self, servers: list[ManagedProcess], kind: str, pool: str) -> list[Backend]:
        return [self._start_backend(server, kind, pool) for server in servers]

    def _start_backend(self, server: ManagedProcess, kind: str, pool: str) -> Backend:
        backend_link = self._link(server.address, self._shape.backend_links)
        server_address = backend_link.address if backend_link else server.address
        name = f"agent-{server.name}"
        agent = self.start_agent(name, kind, pool, server, server_address=server_address)
        agent_link = self._link(agent.address, self._shape.agent_links)
        return Backend(server, agent, agent_link, backend_link)

    def _link(self, target: str, enabled: bool) -> FaultyLink | None:
        if not enabled:
            return None
        link = FaultyLink(target)
        self._links.append(link)
        return link

    def _write_tables(self) -> None:
        if self.engines:
            self.put_row("pool", CHAT_POOL, build_pool("engine", self.engines))
            self.put_row("route", "chat", self.build_route(["/v1/"], CHAT_POOL, True))
        if self.services:
            self.put_row("pool", BOOKING_POOL, build_pool("service", self.services))
            self.put_row("route", "bookings", self.build_route(["/bookings"], BOOKING_POOL, False))

    def build_route(self, paths: list[str], pool: str, repeatable: bool) -> dict[str, Any]:
        """Build the row of a route for all workspaces."""
        return {
            "workspaces": ["*"],
            "paths": paths,
            "pool": pool,
            "deadline_s": self._shape.deadline_s,
            "repeatable": repeatable,
        }


def build_pool(kind: str, backends: list[Backend]) -> dict[str, Any]:
    """Build the row of a pool."""
    servers = [
        {
            "name": backend.server.name,
            "agent_address": backend.agent_address,
            "failure_domain": FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)],
        }
        for index, backend in enumerate(backends)
    ]
    return {"kind": kind, "backend_servers": servers}
