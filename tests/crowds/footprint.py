"""Measures what a process holds: memory, received bytes that it has not read, and descriptors."""

from __future__ import annotations

import pathlib
from typing import NamedTuple

import anyio

SAMPLE_INTERVAL_S = 0.02
KIB = 1_024


class Footprint(NamedTuple):
    """Peaks of one process; ``memory_bytes`` includes received bytes that it has not read."""

    memory_bytes: int
    descriptors: int


class FootprintMeter:
    """Records the peaks of a process while `run` runs.

    Parameters
    ----------
    pid : int
        Id of the process.
    addresses : list of str
        ``host:port`` of its listeners; what is unread on their connections counts.
    """

    def __init__(self, pid: int, addresses: list[str]) -> None:
        self._process = pathlib.Path("/proc") / str(pid)
        self._ports = {int(address.rpartition(":")[2]) for address in addresses}
        self._memory_bytes = 0
        self._descriptors = 0

    @property
    def peak(self) -> Footprint:
        """Peaks so far."""
        # The kernel's own peak misses no moment, but does not know of unread bytes.
        resident = self._read_status("VmHWM:")
        return Footprint(max(self._memory_bytes, resident), self._descriptors)

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self.sample()
            await anyio.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Take one sample."""
        held = self._read_status("VmRSS:") + self._read_unread()
        self._memory_bytes = max(self._memory_bytes, held)
        try:
            descriptors = len(list((self._process / "fd").iterdir()))
        except OSError:
            return
        self._descriptors = max(self._descriptors, descriptors)

    def _read_status(self, name: str) -> int:
        try:
            lines = (self._process / "status").read_text(encoding="utf-8").splitlines()
        except OSError:
            return 0
        for line in lines:
            if line.startswith(name):
                return int(line.split()[1]) * KIB
        return 0

    def _read_unread(self) -> int:
        """Sum the receive queues of the connections that have a listener's port on this side."""
        unread = 0
        for line in pathlib.Path("/proc/net/tcp").read_text(encoding="utf-8").splitlines()[1:]:
            fields = line.split()
            listening = fields[3] == "0A"
            if listening or int(fields[1].rpartition(":")[2], 16) not in self._ports:
                continue
            unread += int(fields[4].partition(":")[2], 16)
        return unread
