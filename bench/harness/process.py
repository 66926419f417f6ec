"""Runs one process of the product and controls it by its id."""

from __future__ import annotations

import json
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any

START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
EXIT_TIMEOUT_S = 10.0


class ManagedProcess:
    """Runs ``bronzerudder`` with a subcommand and a settings file.

    Parameters
    ----------
    name : str
        Base name of the settings, log and output files.
    command : tuple of str
        Subcommand.
    settings : dict
        Written to the settings file.
    directory : pathlib.Path
        Where the files are written.
    """

    def __init__(
        self, name: str, command: tuple[str, ...], settings: dict[str, Any], directory: pathlib.Path
    ) -> None:
        self._name = name
        path = directory / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        self._log_path = directory / f"{name}.log"
        self._output_path = directory / f"{name}.out"
        self._output_path.unlink(missing_ok=True)
        with self._log_path.open("ab") as log, self._output_path.open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "bronzerudder", *command, str(path)],
                stdout=output,
                stderr=log,
            )
        self._addresses: dict[str, str] = {}

    @property
    def name(self) -> str:
        """Name given at the start."""
        return self._name

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process has not exited."""
        return self._process.poll() is None

    @property
    def address(self) -> str:
        """``host:port`` of its main listener; waits until it listens."""
        return self._read_addresses()["address"]

    @property
    def admin_address(self) -> str:
        """``host:port`` of its admin listener."""
        return self._read_addresses()["admin_address"]

    @property
    def peer_address(self) -> str:
        """``host:port`` of its listener for peers."""
        return self._read_addresses()["peer_address"]

    def wait_listening(self) -> None:
        """Wait until it listens."""
        self._read_addresses()

    def read_log(self) -> list[dict[str, Any]]:
        """Return the log's JSON lines so far."""
        lines = self._log_path.read_text(encoding="utf-8").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def read_output(self) -> list[dict[str, Any]]:
        """Return the JSON lines that it has printed so far."""
        lines = self._output_path.read_text(encoding="utf-8").splitlines(keepends=True)
        return [json.loads(line) for line in lines if line.endswith("\n")]

    def read_log_text(self) -> str:
        """Return the log so far."""
        return self._log_path.read_text(encoding="utf-8")

    def kill(self) -> None:
        """Kill it and wait until it has exited."""
        self._process.kill()
        self._process.wait(EXIT_TIMEOUT_S)

    def pause(self) -> None:
        """Pause its execution."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume its execution."""
        self._process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Signal it to stop gracefully."""
        self._process.send_signal(signal.SIGTERM)

    def reload(self) -> None:
        """Signal it to reload its settings."""
        self._process.send_signal(signal.SIGHUP)

    def wait(self, timeout_s: float = EXIT_TIMEOUT_S) -> int:
        """Wait until it has exited and return its exit code."""
        return self._process.wait(timeout_s)

    def close(self) -> None:
        """Kill it if it is still running."""
        if self.running:
            self.resume()
            self.kill()

    def _read_addresses(self) -> dict[str, str]:
        deadline = time.monotonic() + START_TIMEOUT_S
        while not self._addresses:
            for line in self.read_output()[:1]:
                self._addresses = line
            if not self._addresses and (not self.running or time.monotonic() > deadline):
                raise RuntimeError(f"{self._name} did not start:\n{self.read_log_text()[-2000:]}")
            time.sleep(POLL_INTERVAL_S)
        return self._addresses
