"""Starts a platform, entries and agents to observe how the configuration reaches them."""

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
ALL_CALLERS = "*"


class ConfigurationFleet:
    """Starts processes and injects faults into their platform; its context ends them all."""

    def __init__(self) -> None:
        self._temporary_directory = tempfile.TemporaryDirectory(prefix="bronzerudder-")
        self._directory = pathlib.Path(self._temporary_directory.name)
        self._processes: list[ManagedProcess] = []
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
        """Address of each running process's gRPC listener, by process name."""
        named = {entry.name: entry.peer_address for entry in self.entries if entry.running}
        named.update((agent.name, agent.address) for agent in self.agents if agent.running)
        return named

    def close(self) -> None:
        """End all processes."""
        for process in reversed(self._processes):
            process.close()
        self._temporary_directory.cleanup()

    def start_agents(self, count: int) -> None:
        """Start agents without backend servers, all at once."""
        self.agents += [self._start_agent() for _ in range(count)]

    def start_entries(self, count: int) -> None:
        """Start entries, all at once; they can fetch the configuration from those that run."""
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

    def register_instances(self) -> None:
        """Register all running processes in the platform's instance list."""
        for name, address in self.peer_addresses.items():
            document = {"name": name, "role": name.partition("-")[0], "address": address}
            document |= {"failure_domain": FAILURE_DOMAINS[0], "state": "live"}
            self._control("PUT", "instances", document)

    def set_fault(self, caller: str, **fault: Any) -> None:
        """Replace the faults injected for a caller of the platform; an empty set ends them."""
        self._control("PUT", f"faults/{caller}", fault)

    def read_calls(self) -> dict[tuple[str, str], int]:
        """Return the number of calls by caller and kind of call."""
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
        self._processes.append(process)
        return process

    def _control(self, method: str, path: str, document: dict[str, Any]) -> None:
        url = f"http://{self.platform.address}/control/{path}"
        httpx.request(method, url, json=document).raise_for_status()
