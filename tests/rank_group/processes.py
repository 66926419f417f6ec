"""Runs a small group as real processes: a stand-in engine and a member for each rank."""

from __future__ import annotations

import itertools
import json
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from typing import Any

import httpx

RANKS = 3
STEP_TIME_S = 0.02
POLL_INTERVAL_S = 0.02
ROOT = pathlib.Path(__file__).resolve().parents[2]


def free_addresses(count: int) -> list[str]:
    """Return addresses with free ports, so that a restarted process can reuse its address.

    Each call uses a loopback address of its own, so that no other listener and no outgoing
    connection takes a port while its process is down.
    """
    parts = [secrets.randbelow(250) + 2 for _ in range(3)]
    host = ".".join(str(part) for part in (127, *parts))
    listeners = [socket.create_server((host, 0)) for _ in range(count)]
    addresses = [f"{host}:{listener.getsockname()[1]}" for listener in listeners]
    for listener in listeners:
        listener.close()
    return addresses


class Group:
    """Processes of one group; a context manager that stops those that it started."""

    def __init__(self, folder: str, **member_settings: Any) -> None:
        self._folder = pathlib.Path(folder)
        self._member_settings = member_settings
        self._control = free_addresses(RANKS)
        self._steps = free_addresses(RANKS)
        self._peers = free_addresses(RANKS)
        self._unreachable_platform = free_addresses(1)[0]
        self._engines: list[subprocess.Popen | None] = [None] * RANKS
        self._members: list[subprocess.Popen | None] = [None] * RANKS

    def __enter__(self) -> Group:
        for rank in range(RANKS):
            self.start_engine(rank)
        for rank in range(RANKS):
            self.start_member(rank)
        return self

    def __exit__(self, *_: object) -> None:
        for process in [*self._members, *self._engines]:
            if process is not None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()

    def start_engine(self, rank: int) -> None:
        settings = {
            "address": self._control[rank],
            "rank": rank,
            "step_peers": self._steps,
            "step_time_s": STEP_TIME_S,
            "honours_terms": False,
            "history": str(self._folder / f"steps-{rank}.jsonl"),
        }
        path = self._folder / f"rank-{rank}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        command = [sys.executable, "-m", "bronzerudder", "standin", "rank", str(path)]
        self._engines[rank] = self._start(command, f"engine-{rank}.out")

    def start_member(self, rank: int, **more: Any) -> None:
        settings = {
            "engine_url": f"http://{self._control[rank]}",
            "peers": self._peers,
            "platform": self._unreachable_platform,
            "rank": rank,
            "seed": rank,
            **self._member_settings,
            **more,
        }
        module = "tests.rank_group.member_process"
        command = [sys.executable, "-m", module, json.dumps(settings)]
        self._members[rank] = self._start(command, f"member-{rank}.out")

    def _start(self, command: list[str], output: str) -> subprocess.Popen:
        with open(self._folder / output, "ab") as file:
            return subprocess.Popen(command, stdout=file, stderr=file, cwd=ROOT)

    def kill_engine(self, rank: int) -> None:
        self._kill(self._engines[rank])

    def kill_member(self, rank: int) -> None:
        self._kill(self._members[rank])

    def _kill(self, process: subprocess.Popen) -> None:
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait()

    @property
    def control(self) -> list[str]:
        """Control addresses of the engines."""
        return self._control

    def wait_member_exit(self, rank: int, timeout_s: float) -> None:
        self._members[rank].wait(timeout_s)

    def pause_member(self, rank: int) -> None:
        self._members[rank].send_signal(signal.SIGSTOP)

    def resume_member(self, rank: int) -> None:
        self._members[rank].send_signal(signal.SIGCONT)

    def pause_engine(self, rank: int) -> None:
        self._engines[rank].send_signal(signal.SIGSTOP)

    def resume_engine(self, rank: int) -> None:
        self._engines[rank].send_signal(signal.SIGCONT)

    def steps(self, rank: int) -> list[dict]:
        return _read_lines(self._folder / f"steps-{rank}.jsonl")

    def reports(self, rank: int, event: str) -> list[dict]:
        lines = _read_lines(self._folder / f"member-{rank}.out")
        return [line for line in lines if line.get("event") == event]

    def output(self) -> str:
        names = [*self._folder.glob("*.out")]
        return "\n".join(f"{name.name}: {name.read_text()[-2000:]}" for name in names)

    def wait_until(self, condition: Callable[[], bool], timeout_s: float, what: str) -> float:
        """Wait for a condition; return the seconds it took."""
        start = time.monotonic()
        while not condition():
            if time.monotonic() - start > timeout_s:
                raise AssertionError(f"{what} not within {timeout_s} s\n{self.output()}")
            self._wait_poll_interval()
        return time.monotonic() - start

    def _wait_poll_interval(self) -> None:
        try:
            self._engines[0].wait(POLL_INTERVAL_S)
        except subprocess.TimeoutExpired:
            return

    def advanced(self, count: int) -> Callable[[], bool]:
        """Return a condition that is true once every rank has run ``count`` more steps."""
        goals = [len(self.steps(rank)) + count for rank in range(RANKS)]
        return lambda: all(len(self.steps(rank)) >= goals[rank] for rank in range(RANKS))

    def longest_wait_s(self) -> float:
        """Return the longest time between two consecutive steps of one rank."""
        longest_s = 0.0
        for rank in range(RANKS):
            times = [line["time_s"] for line in self.steps(rank)]
            longest_s = max([longest_s, *(b - a for a, b in itertools.pairwise(times))])
        return longest_s

    def find_mixed_steps(self) -> list[tuple[int, set[int]]]:
        """Return the steps that were run on more than one map version, with the versions."""
        versions: dict[int, set[int]] = {}
        for rank in range(RANKS):
            for line in self.steps(rank):
                versions.setdefault(line["step"], set()).add(line["version"])
        return [(step, found) for step, found in versions.items() if len(found) > 1]


class AgentGroup(Group):
    """A group whose members are complete agent processes."""

    def __init__(self, folder: str) -> None:
        super().__init__(folder)
        self._admin = free_addresses(RANKS)

    def start_member(self, rank: int, **more: Any) -> None:
        settings = {
            "agent_id": f"agent-{rank}",
            "failure_domain": "one",
            "pool": "chat",
            "listener": _as_listener(self._peers[rank]),
            "admin_listener": _as_listener(self._admin[rank]),
            "backend_server": {
                "name": f"rank-{rank}",
                "kind": "engine",
                "url": f"http://{self._control[rank]}",
                "max_running": 4,
                "max_queued": 4,
            },
            "platform": {"address": self._unreachable_platform},
            "rank_group": {
                "group": "chat",
                "rank": rank,
                "peers": self._peers,
                "engine_url": f"http://{self._control[rank]}",
            },
        }
        path = self._folder / f"agent-{rank}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        command = [sys.executable, "-m", "bronzerudder", "agent", str(path)]
        self._members[rank] = self._start(command, f"member-{rank}.out")

    def status(self, rank: int) -> dict:
        """Return the status at the agent's admin port; empty while it doesn't answer."""
        try:
            return httpx.get(
                f"http://{self._admin[rank]}/status", timeout=1, trust_env=False
            ).json()
        except httpx.HTTPError:
            return {}


def _as_listener(address: str) -> dict[str, Any]:
    host, _, port = address.rpartition(":")
    return {"host": host, "port": int(port)}


def _read_lines(path: pathlib.Path) -> list[dict]:
    if not path.exists():
        return []
    lines = path.read_bytes().split(b"\n")
    found = [json.loads(line) for line in lines[:-1] if line.startswith(b"{")]
    return [line for line in found if isinstance(line, dict)]
