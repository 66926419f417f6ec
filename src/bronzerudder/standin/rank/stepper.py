"""Runs the steps of one stand-in rank and records the map version of each."""

from __future__ import annotations

import time
from typing import IO

import anyio
import msgspec

from bronzerudder.standin.rank.barrier import Barrier
from bronzerudder.standin.rank.maps import RankMaps

HOLD_POLL_INTERVAL_S = 0.002


class Stepper:
    """Runs steps in lock-step with the other ranks.

    Parameters
    ----------
    rank : int
        Number of this rank.
    maps : RankMaps
        Expert maps and holds of this rank.
    barrier : Barrier
        Barrier between this rank and the others.
    step_time_s : float
        Duration of a step, in seconds.
    history : file
        File to which each step is written as a line of JSON.
    """

    def __init__(
        self, rank: int, maps: RankMaps, barrier: Barrier, step_time_s: float, history: IO[bytes]
    ) -> None:
        self._rank = rank
        self._maps = maps
        self._barrier = barrier
        self._step_time_s = step_time_s
        self._history = history
        self._stalled_until = 0.0

    def stall(self, seconds: float) -> None:
        """Run no steps for a number of seconds."""
        self._stalled_until = time.monotonic() + seconds

    async def run(self) -> None:
        """Run steps until cancelled."""
        while True:
            step = self._maps.declare_ready()
            if step is None:
                await anyio.sleep(HOLD_POLL_INTERVAL_S)
                continue
            version = self._maps.status.active
            self._barrier.declare(step)
            if not await self._wait_for_others(step):
                continue
            self._record(step, version)
            await anyio.sleep(self._step_time_s)
            await anyio.sleep(max(0.0, self._stalled_until - time.monotonic()))

    async def _wait_for_others(self, step: int) -> bool:
        """Wait for all ranks; return False if a reset has moved this rank to a later step."""
        while True:
            with anyio.move_on_after(HOLD_POLL_INTERVAL_S * 10):
                await self._barrier.wait_all(step)
                return self._maps.status.next_step == step + 1
            if self._maps.status.next_step != step + 1:
                return False

    def _record(self, step: int, version: int) -> None:
        entry = {"rank": self._rank, "step": step, "version": version, "time_s": time.time()}
        self._history.write(msgspec.json.encode(entry) + b"\n")
        self._history.flush()
