"""One seeded run of the soak."""

from __future__ import annotations

import pathlib
import random
import time

import anyio

from bench.harness.fleet import read_text
from bench.soak.callers import Caller, Result
from bench.soak.checks import History, find_violations
from bench.soak.configuration import ConfigurationEditor
from bench.soak.deployment import SoakDeployment, SoakShape
from bench.soak.faults import Fault, draw_faults
from bench.soak.injector import FaultInjector
from bronzerudder.platform import wire

QUIET_S = 7.0
"""After the faults: a group forms, leaders settle, suspicion ends, and the last seconds count."""
MEASURED_S = 2.5
LEAST_SERVED = 0.9


class SoakRun:
    """Starts the processes, injects faults by a seed, and judges what was seen.

    Parameters
    ----------
    seed : int
        Draws the faults and the requests.
    shape : SoakShape
        Size and length.
    directory : pathlib.Path
        Takes settings and logs.
    """

    def __init__(self, seed: int, shape: SoakShape, directory: pathlib.Path) -> None:
        self._shape = shape
        self._generator = random.Random(seed)
        self._faults = draw_faults(self._generator, shape.seconds)
        self._deployment = SoakDeployment(directory, shape, self._generator)
        self._results: list[Result] = []
        self._history = History(self._results, [], {}, {})
        self._violations: list[str] = []
        self._editor = ConfigurationEditor(
            self._deployment, self._history, self._generator, self._violations
        )
        self._injector = FaultInjector(
            self._deployment, self._editor, self._history, self._generator, self._violations
        )

    @property
    def results(self) -> list[Result]:
        """What callers got."""
        return self._results

    @property
    def faults(self) -> list[Fault]:
        """What is injected."""
        return self._faults

    async def run(self) -> list[str]:
        """Run once; return a line for each broken promise."""
        try:
            await self._deployment.start()
            async with anyio.create_task_group() as callers:
                for number in range(self._shape.callers):
                    generator = random.Random(self._generator.random())
                    entrances = self._deployment.entrances
                    caller = Caller(f"c{number}", entrances, generator, self._results)
                    callers.start_soon(caller.run)
                callers.start_soon(self._editor.probe)
                await self._injector.inject(self._faults)
                await self._watch_quiet()
                callers.cancel_scope.cancel()
            found = find_violations(self._deployment.fleet, self._history)
            return [*self._violations, *found]
        finally:
            await self._deployment.close()

    async def _watch_quiet(self) -> None:
        """Check that everything serves again after the faults."""
        for gateway in self._deployment.gateways:
            while gateway.busy:
                await anyio.sleep(0.1)
        await anyio.sleep(QUIET_S - MEASURED_S)
        step = self._deployment.fleet.group.step
        begin_s = time.monotonic()
        await anyio.sleep(MEASURED_S)
        served = [item for item in self._results if item.sent_at_s >= begin_s]
        good = sum(1 for item in served if item.status == 200)
        if not served or good < LEAST_SERVED * len(served):
            statuses = sorted({item.status for item in served})
            self._violations.append(
                f"{good} of {len(served)} served after the faults; statuses {statuses}"
            )
        if self._deployment.fleet.group.step == step:
            self._violations.append(f"step {step + 1} stays held after the faults")
        await self._check_processes()

    async def _check_processes(self) -> None:
        for gateway in self._deployment.gateways:
            status, _ = await read_text(gateway.settings["ready_address"], wire.READY_PATH)
            if status != 200:
                self._violations.append(f"{gateway.name} is not ready after the faults")
        for process in [
            *self._deployment.agents,
            *(item.process for item in self._deployment.gateways),
        ]:
            if process is not None and not process.running:
                self._violations.append(f"{process.name} ended by itself")
        for process in {item.name: item for item in self._deployment.fleet.processes}.values():
            if "Traceback" in process.read_log_text():
                self._violations.append(f"{process.name} logged an exception")
