"""Entries and agents with a platform, to watch the configuration reach them."""

from __future__ import annotations

import pathlib
import tempfile
from types import TracebackType
from typing import Any

import httpx

from bench.harness.process import ManagedProcess

LOOPBACK = "127.0.0.1"
FAILURE_DOMAINS = ("domain-a", "domain-b", "domain-c")
# Nothing listens there: these agents carry no requests.
NO_BACKEND_URL = "http://127.0.0.1:9"
EVERYONE = "*"


class ConfigurationFleet:
    """Starts processes, and sets the faults of their platform; a context manager ends them all."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="bronzerudder-")
        self._directory = pathlib.Path(self._folder.name)
        self._all: list[ManagedProcess] = []
        self._started = 0
        self.entries: list[ManagedProcess] = []
        self.agents: list[ManagedProcess] = []
        self.platform = self._run(
            "platform", ("standin", "platform"), {"host": LOOPBACK, "port": 0}
        )

    def __enter__(self) -> ConfigurationFleet:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    @property
    def peer_addresses(self) -> dict[str, str]:
        """GRPC address of each live process, by its name."""
        named = {entry.name: entry.peer_address for entry in self.entries if entry.running}
        named.update((agent.name, agent.address) for agent in self.agents if agent.running)
        return named

    def close(self) -> None:
        """End all processes."""
        for process in reversed(self._all):
            process.close()
        self._folder.cleanup()

    def start_agents(self, count: int) -> None:
        """Start agents without backend servers, all at once."""
        self.agents += [self._start_agent() for _ in range(count)]

    def start_entries(self, count: int) -> None:
        """Start entries, all at once; they ask the entries that already run for a start."""
        peers = [entry.peer_address for entry in self.entries if entry.running]
        self.entries += [self._start_entry(peers) for _ in range(count)]

    def build_pool(self) -> dict[str, Any]:
        """Build the row of a pool of all agents, so that entries connect to them."""
        servers = [
            {
                "name": agent.name,
                "agent_address": agent.address,
                "failure_domain": FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)],
            }
            for index, agent in enumerate(self.agents)
        ]
        return {"kind": "service", "backend_servers": servers}

    def list_instances(self) -> None:
        """Put all live processes into the platform's instance list."""
        for name, address in self.peer_addresses.items():
            document = {"name": name, "role": name.partition("-")[0], "address": address}
            document |= {"failure_domain": FAILURE_DOMAINS[0], "state": "live"}
            self._control("PUT", "instances", document)

    def set_fault(self, caller: str, **fault: Any) -> None:
        """Replace the faults of a caller of the platform; none of them ends the faults."""
        self._control("PUT", f"faults/{caller}", fault)

    def read_calls(self) -> dict[tuple[str, str], int]:
        """Return how often each caller has made each kind of call."""
        answer = httpx.get(f"http://{self.platform.address}/control/calls")
        return {(item["caller"], item["call"]): item["count"] for item in answer.json()}

    def _start_agent(self) -> ManagedProcess:
        name = self._next_name("agent")
        settings = {
            "agent_id": name,
            "failure_domain": FAILURE_DOMAINS[0],
            "pool": "p",
            "listener": {"host": LOOPBACK, "port": 0},
            "admin_listener": {"host": LOOPBACK, "port": 0},
            "backend_server": {
                "name": f"server-of-{name}",
                "kind": "service",
                "url": NO_BACKEND_URL,
                "max_running": 1,
                "max_queued": 1,
            },
            "platform": {"address": self.platform.address},
        }
        return self._run(name, ("agent",), settings)

    def _start_entry(self, peers: list[str]) -> ManagedProcess:
        name = self._next_name("entry")
        settings = {
            "entry_id": name,
            "failure_domain": FAILURE_DOMAINS[0],
            "listener": {"host": LOOPBACK, "port": 0},
            "admin_listener": {"host": LOOPBACK, "port": 0},
            "peer_listener": {"host": LOOPBACK, "port": 0},
            "platform": {"address": self.platform.address},
            "peers": peers,
        }
        return self._run(name, ("entry",), settings)

    def _next_name(self, role: str) -> str:
        self._started += 1
        return f"{role}-{self._started}"

    def _run(self, name: str, command: tuple[str, ...], settings: dict[str, Any]) -> ManagedProcess:
        process = ManagedProcess(name, command, settings, self._directory)
        self._all.append(process)
        return process

    def _control(self, method: str, path: str, document: dict[str, Any]) -> None:
        url = f"http://{self.platform.address}/control/{path}"
        httpx.request(method, url, json=document).raise_for_status()
