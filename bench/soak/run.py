"""Executes one seeded run of the soak."""

from __future__ import annotations

import pathlib
import random
import time

import anyio
from anyio.abc import TaskGroup

from bench.harness.fleet import read_text
from bench.soak.callers import ANSWERS, PROMPTS, Caller, Result
from bench.soak.checks import History, find_violations
from bench.soak.configuration import ConfigurationEditor
from bench.soak.deployment import SoakDeployment, SoakShape
from bench.soak.faults import Fault, draw_answer_faults, draw_faults, draw_limit_faults
from bench.soak.injector import FaultInjector
from bronzerudder.platform import wire

RECOVERY_S = 7.0
"""Recovery time after the faults, in seconds.

Within it a group forms, a leader is elected and suspected backend servers are used again. The
requests and steps of its last `MEASURED_S` are checked.
"""
MEASURED_S = 2.5
MIN_SERVED_RATIO = 0.9
ANSWER_CALLERS = 4


class SoakRun:
    """Starts the processes, injects the faults of a seed, and checks the recorded results.

    Parameters
    ----------
    seed : int
        Seeds the draws of faults and requests.
    shape : SoakShape
        Size of the run, and duration of the faults.
    directory : pathlib.Path
        Where settings and logs are written.
    """

    def __init__(self, seed: int, shape: SoakShape, directory: pathlib.Path) -> None:
        self._shape = shape
        self._generator = random.Random(seed)
        self._faults = draw_faults(self._generator, shape.seconds)
        self._answer_generator = random.Random(f"answers {seed}")
        if shape.answers:
            self._faults = draw_answer_faults(self._answer_generator, shape.seconds, self._faults)
        if shape.limits:
            generator = random.Random(f"limits {seed}")
            self._faults = draw_limit_faults(generator, shape.seconds, self._faults)
        self._deployment = SoakDeployment(directory, shape, self._generator)
        self._results: list[Result] = []
        self._history = History(self._results, [], {}, {}, [], [], [])
        self._violations: list[str] = []
        self._editor = ConfigurationEditor(
            self._deployment, self._history, self._generator, self._violations
        )
        self._injector = FaultInjector(
            self._deployment, self._editor, self._history, self._generator, self._violations
        )

    @property
    def results(self) -> list[Result]:
        """Results of the callers' requests."""
        return self._results

    @property
    def faults(self) -> list[Fault]:
        """Faults of the run."""
        return self._faults

    async def run(self) -> list[str]:
        """Run once; return a line for each violation of a guarantee."""
        try:
            await self._deployment.start()
            async with anyio.create_task_group() as callers:
                for number in range(self._shape.callers):
                    generator = random.Random(self._generator.random())
                    endpoints = self._deployment.endpoints
                    caller = Caller(f"c{number}", endpoints, generator, self._results)
                    callers.start_soon(caller.run)
                if self._shape.answers:
                    self._start_answer_callers(callers)
                callers.start_soon(self._editor.probe)
                await self._injector.inject(self._faults)
                await self._check_recovery()
                callers.cancel_scope.cancel()
            found = find_violations(self._deployment.fleet, self._history)
            return [*self._violations, *found]
        finally:
            await self._deployment.close()

    def _start_answer_callers(self, callers: TaskGroup) -> None:
        """Start the callers of the backend servers with faulty answers and crashing prompts."""
        for number in range(ANSWER_CALLERS):
            for name, workload in (("a", ANSWERS), ("s", PROMPTS)):
                generator = random.Random(self._answer_generator.random())
                endpoints = self._deployment.endpoints
                caller = Caller(f"{name}{number}", endpoints, generator, self._results, workload)
                callers.start_soon(caller.run)

    async def _check_recovery(self) -> None:
        """Check that the deployment has recovered from the faults."""
        for gateway in self._deployment.gateways:
            while gateway.busy:
                await anyio.sleep(0.1)
        await anyio.sleep(RECOVERY_S - MEASURED_S)
        step = self._deployment.fleet.group.step
        begin_s = time.monotonic()
        await anyio.sleep(MEASURED_S)
        served = [item for item in self._results if item.sent_at_s >= begin_s]
        good = sum(1 for item in served if item.status == 200)
        if not served or good < MIN_SERVED_RATIO * len(served):
            statuses = sorted({item.status for item in served})
            self._violations.append(
                f"{good} of {len(served)} served after the faults; statuses {statuses}"
            )
        if self._deployment.fleet.group.step == step:
            self._violations.append(f"step {step + 1} is still held after the faults")
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
                self._violations.append(f"{process.name} exited unexpectedly")
        for process in {item.name: item for item in self._deployment.fleet.processes}.values():
            if "Traceback" in process.read_log_text():
                self._violations.append(f"{process.name} logged an exception")
