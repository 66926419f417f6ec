"""Gateways that share the limits of backend servers: what the servers get, and what callers get.

Starts real gateways before three stand-ins of the plain service, which name limits after a while.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import re
import sys
import tempfile
import time
from typing import NamedTuple

import anyio

from bench.harness.fleet import HOST, KEYS, Fleet, FleetShape, read_text, wait_ready
from bronzerudder.http1 import ClientPool, HttpError
from bronzerudder.platform import wire
from bronzerudder.standin.fleet.rate_limit import EXTRA, FACTOR, WINDOW_S

GATEWAYS = (4, 30, 100)
REQUESTS_RPS = 60.0
SERVERS = 3
WARM_UP_S = 6.0
LIMITED_S = 14.0
STABLE_S = 3.0
ANSWER_S = 0.01
START_BATCH = 8
"""Gateways started at the same time."""
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PERMITS = re.compile(r'bronzerudder_permits_total\{result="(\w+)"\} (\S+)')


class Case(NamedTuple):
    """Limits of the servers in requests per second, and the share of traffic at one gateway."""

    name: str
    limits: tuple[float | None, ...]
    busiest_share: float


CASES = (
    Case("one of three limited", (2.0, None, None), 0.0),
    Case("all limited", (4.0, 4.0, 4.0), 0.0),
    Case("all limited, uneven", (4.0, 4.0, 4.0), 0.7),
)


class Answer(NamedTuple):
    """Status of an answer, and the seconds until it came."""

    status: int
    asked_at_s: float
    took_s: float


class Measurement:
    """Runs one case with a number of gateways."""

    def __init__(self, gateways: int, case: Case, directory: pathlib.Path) -> None:
        self._case = case
        self._gateways = gateways
        self._fleet = Fleet(directory, FleetShape(gateways, 0, SERVERS), random.Random(1))
        self._settings = []
        self._answers: list[Answer] = []
        self._generator = random.Random(2)
        self._pool = ClientPool()

    async def run(self) -> str:
        """Run the case; return a row of the table."""
        try:
            await self._start()
            return await self._measure()
        finally:
            await self._fleet.close()

    async def _start(self) -> None:
        self._fleet.serve_stand_ins()
        for server in self._fleet.plain_servers:
            server.answer_delay_s = ANSWER_S
        for begin in range(0, self._gateways, START_BATCH):
            batch = []
            for number in range(begin, min(self._gateways, begin + START_BATCH)):
                settings = self._fleet.gateway_settings(f"g-{number}", self._fleet.store_address)
                self._fleet.start_process("gateway", f"g-{number}", settings)
                batch.append(settings)
            for settings in batch:
                await wait_ready(settings["ready_address"], 120.0)
            self._settings.extend(batch)

    async def _measure(self) -> str:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send, tasks)
            await anyio.sleep(WARM_UP_S)
            for server, limit_rps in zip(self._fleet.plain_servers, self._case.limits, strict=True):
                if limit_rps is not None:
                    server.limit.set_rate(limit_rps)
            await anyio.sleep(STABLE_S)
            begin_s, cpu_s = time.monotonic(), self._processor_s()
            await anyio.sleep(LIMITED_S - STABLE_S)
            duration_s = time.monotonic() - begin_s
            cpu_s = (self._processor_s() - cpu_s) / duration_s / self._gateways
            tasks.cancel_scope.cancel()
        permits = await self._count_permits()
        return self._describe(begin_s, duration_s, cpu_s, permits)

    async def _send(self, tasks: anyio.abc.TaskGroup) -> None:
        number = 0
        while True:
            await anyio.sleep(self._generator.expovariate(REQUESTS_RPS))
            number += 1
            index = self._generator.randrange(self._gateways)
            if self._generator.random() < self._case.busiest_share:
                index = 0
            tasks.start_soon(self._call, index, number)

    async def _call(self, index: int, number: int) -> None:
        headers = [
            (b"host", HOST.encode()),
            (wire.API_KEY, KEYS["school-a"].encode()),
            (wire.REQUEST_ID, f"{index}/{number}".encode()),
            (wire.DEADLINE_MS, b"2500"),
        ]
        asked_at_s = time.monotonic()
        answer = await self._pool.call(
            self._settings[index]["caller_address"], b"GET", b"/read/x", headers
        )
        status = 0 if isinstance(answer, HttpError) else answer[0]
        self._answers.append(Answer(status, asked_at_s, time.monotonic() - asked_at_s))

    def _processor_s(self) -> float:
        """Processor time of all gateways so far, in seconds."""
        ticks = 0
        for process in self._fleet.processes:
            fields = (
                pathlib.Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
            )
            ticks += int(fields[11]) + int(fields[12])
        return ticks / CLOCK_TICKS_PER_S

    async def _count_permits(self) -> dict[str, float]:
        counts: dict[str, float] = {}
        for settings in self._settings:
            _, page = await read_text(settings["metrics_address"], b"/metrics")
            for result, value in PERMITS.findall(page):
                counts[result] = counts.get(result, 0.0) + float(value)
        return counts

    def _describe(
        self, begin_s: float, duration_s: float, cpu_s: float, permits: dict[str, float]
    ) -> str:
        most = 0
        allowed_rps = sum(limit or 0.0 for limit in self._case.limits)
        limited = [item for item in self._fleet.plain_servers if item.limit.rate_rps is not None]
        excesses = []
        for server in limited:
            times = [item.at_s for item in server.limit.arrivals if item.at_s >= begin_s]
            for index, end_s in enumerate(times):
                most = max(most, sum(1 for at_s in times[: index + 1] if at_s > end_s - WINDOW_S))
            if server.limit.find_excess(lambda name: name.partition("/")[0]) is not None:
                excesses.append(server.instance_id)
        answers = [item for item in self._answers if item.asked_at_s >= begin_s]
        served = sum(1 for item in answers if item.status == 200)
        refused = sorted(item.took_s for item in answers if item.status == 503)
        late = refused[int(0.9 * len(refused))] if refused else 0.0
        limit_rps = limited[0].limit.rate_rps or 0.0
        asked = sum(permits.values()) / max(1.0, duration_s + STABLE_S)
        cells = (
            self._case.name,
            self._gateways,
            f"{most}, {FACTOR * limit_rps * WINDOW_S + EXTRA:.0f}",
            "broken" if excesses else "kept",
            f"{served / duration_s:.1f}, {allowed_rps:.0f}",
            f"{len(refused) / duration_s:.1f}",
            f"{1000 * late:.0f}",
            f"{asked:.1f}",
            f"{100 * cpu_s:.1f}",
        )
        return f"| {' | '.join(str(cell) for cell in cells)} |"


HEADING = (
    "| case | gateways | most requests in 4 s at a limited server, allowed | rule |"
    " served a second, sum of the limits | refused a second | refusal after, ms, 90 in 100 |"
    " permits asked for a second, all | processor time of a gateway, % of a core |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)


def main(gateways: tuple[int, ...] = GATEWAYS) -> None:
    """Run all cases with each number of gateways."""
    print(HEADING)
    for count in gateways:
        for case in CASES:
            with tempfile.TemporaryDirectory() as directory:
                measurement = Measurement(count, case, pathlib.Path(directory))
                print(asyncio.run(measurement.run()), flush=True)


if __name__ == "__main__":
    main(tuple(int(word) for word in sys.argv[1:]) or GATEWAYS)
