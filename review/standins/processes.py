"""Starts the project's programs as the deploy file does, and records what a case sees."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
PORTS = (12_000, 30_000)
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


def free_port(host: str = "127.0.0.1") -> int:
    """Return a free port for TCP and UDP below the range of outgoing connections."""
    while True:
        port = random.randrange(*PORTS)
        try:
            with socket.socket() as sock, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
                sock.bind((host, port))
                datagrams.bind((host, port))
        except OSError:
            continue
        return port


class Case:
    """A run of one case: its processes, its record and its verdict."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started_s = time.monotonic()
        self._record = (folder / "record.txt").open("w", encoding="utf-8")
        self._temporary = tempfile.TemporaryDirectory()
        self.directory = pathlib.Path(self._temporary.name)
        self._processes: list[subprocess.Popen[bytes]] = []

    def write(self, line: str) -> None:
        """Write a line to the record."""
        self._record.write(f"{time.monotonic() - self.started_s:8.3f} {line}\n")
        self._record.flush()

    def start(self, role: str, name: str, settings: dict[str, Any]) -> subprocess.Popen[bytes]:
        """Start a program of the project with the command of the deploy file."""
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        environment = {
            key: value for key, value in os.environ.items() if key in ("PATH", "HOME", "LANG")
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.directory / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                ["python3", "-m", "bronzerudder", role, str(path)],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._processes.append(process)
        self.write(f"started {role} {name}")
        return process

    def log_lines(self, name: str, *events: str) -> list[str]:
        """Return the lines of a process's log that name one of some events."""
        text = (self.directory / f"{name}.log").read_text(encoding="utf-8", errors="replace")
        return [line for line in text.splitlines() if any(event in line for event in events)]

    def close(self) -> None:
        """End all processes."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()
        self._record.close()
        self._temporary.cleanup()


def gateway_settings(name: str, store_address: str, **changes: Any) -> dict[str, Any]:
    """Make the settings of a gateway as the template of the deploy file does."""
    return {
        "gateway_id": name,
        "failure_domain": "zone-a",
        "caller_address": f"127.0.0.1:{free_port()}",
        "ready_address": f"127.0.0.1:{free_port()}",
        "metrics_address": f"127.0.0.1:{free_port()}",
        "peer_address": f"127.0.0.1:{free_port()}",
        "store_address": store_address,
        "grace_s": 8,
        "retry_budget": {"share": 0.2, "extra": 90, "window_s": 10},
        **changes,
    }


def main(folder: pathlib.Path, play: Any) -> None:
    """Play a case and exit with its verdict."""
    case = Case(folder)
    verdict = CANNOT_RUN
    try:
        verdict = asyncio.run(play(case))
    except Exception as error:  # noqa: BLE001 - any fault of the script means that it couldn't run
        case.write(f"the case could not run: {error!r}")
        raise
    finally:
        words = {HELD: "the rule held", BROKEN: "the rule was broken", CANNOT_RUN: "no result"}
        case.write(words[verdict])
        print(words[verdict])
        case.close()
        if verdict == CANNOT_RUN:
            sys.exit(CANNOT_RUN)
    sys.exit(verdict)
