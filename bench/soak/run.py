"""One seeded run of the soak."""

from __future__ import annotations

import pathlib
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import anyio

from bench.harness.fleet import (
    KEYS,
    PLAIN,
    Fleet,
    FleetShape,
    make_configuration,
    make_route,
    read_text,
    wait_ready,
)
from bench.harness.link import FaultyLink
from bench.harness.process import ManagedProcess
from bench.soak.callers import Caller, Entrance, Result
from bench.soak.checks import Disturbance, History, find_violations
from bench.soak.faults import Fault, FaultKind, draw_faults
from bronzerudder.platform import wire
from bronzerudder.standin.fleet import Behaviour, StandinWorker

QUIET_S = 7.0
"""After the faults: a group forms, leaders settle, suspicion ends, and the last seconds count."""
MEASURED_S = 2.5
LEAST_SERVED = 0.9
LEAVING_S = 3.0
IN_FORCE_S = 3.0
STOP_SLACK_S = 1.0
OUT_OF_ROTATION_S = 2.0
"""The balancer asks once a second and takes a gateway out after two misses."""
READY_TIMEOUT_S = 5.0
AFTERMATH_S = 1.0
"""Connections that a fault broke are noticed within this time."""
SLOW_S = 0.4
FAULTS_IN_A_ROW = 4
LATE_SHARE = 0.3
BACKEND_FAULTS = (
    Behaviour.ERROR,
    Behaviour.SHED,
    Behaviour.RESET,
    Behaviour.MUTE,
    Behaviour.CUT,
    Behaviour.UNSIGNED,
    Behaviour.FOREIGN,
    Behaviour.BARE_503,
)


class SoakShape(NamedTuple):
    """Size and length of a run."""

    gateways: int = 2
    ranks: int = 4
    callers: int = 8
    seconds: float = 12.0


class _Gateway:
    """A gateway's process, and the links on its way."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.name = name
        self.store_link = FaultyLink(fleet.store_address)
        self.settings = fleet.gateway_settings(name, self.store_link.address)
        self.caller_link = FaultyLink(self.settings["caller_address"])
        self.process: ManagedProcess | None = None
        self.busy = False
        self.in_rotation = True
        self.highest_version = 0


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
        self._fleet = Fleet(
            directory, FleetShape(shape.gateways, shape.ranks, plain=3), self._generator
        )
        self._gateways: list[_Gateway] = []
        self._agents: list[ManagedProcess] = []
        self._agent_settings: list[dict[str, Any]] = []
        self._worker_links: dict[str, FaultyLink] = {}
        self._results: list[Result] = []
        self._history = History(self._results, [], {}, {})
        self._violations: list[str] = []
        self._version = 1
        self._revoked: set[str] = set()
        self._replaced = 0

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
            await self._start()
            async with anyio.create_task_group() as callers:
                for number in range(self._shape.callers):
                    generator = random.Random(self._generator.random())
                    caller = Caller(f"c{number}", self._entrances, generator, self._results)
                    callers.start_soon(caller.run)
                callers.start_soon(self._probe_versions)
                await self._inject()
                await self._watch_quiet()
                callers.cancel_scope.cancel()
            return [*self._violations, *find_violations(self._fleet, self._history)]
        finally:
            await self._fleet.close()
            for link in self._links():
                link.close()

    def _links(self) -> list[FaultyLink]:
        links = list(self._worker_links.values())
        for gateway in self._gateways:
            links.extend((gateway.store_link, gateway.caller_link))
        return links

    async def _start(self) -> None:
        self._fleet.serve_stand_ins()
        for worker in self._fleet.plain:
            self._list_through_link(worker)
        self._gateways.extend(
            _Gateway(self._fleet, f"gateway-{number}") for number in range(self._shape.gateways)
        )
        for gateway in self._gateways:
            self._start_gateway(gateway)
        for number in range(self._shape.ranks):
            settings = self._fleet.agent_settings(number, self._fleet.store_address)
            self._agent_settings.append(settings)
            self._agents.append(self._start_agent(number))
        for gateway in self._gateways:
            await wait_ready(gateway.settings["ready_address"])

    def _list_through_link(self, worker: StandinWorker) -> None:
        link = FaultyLink(self._fleet.serve(worker.server))
        self._worker_links[worker.instance_id] = link
        self._fleet.list_worker(worker, PLAIN, link.address)

    def _start_gateway(self, gateway: _Gateway) -> None:
        gateway.highest_version = 0
        gateway.process = self._fleet.start_process("gateway", gateway.name, gateway.settings)

    def _start_agent(self, number: int) -> ManagedProcess:
        settings = self._agent_settings[number]
        return self._fleet.start_process("rank-agent", settings["agent_id"], settings)

    def _entrances(self) -> dict[str, Entrance]:
        return {
            gateway.name: Entrance(gateway.caller_link.address, gateway.in_rotation)
            for gateway in self._gateways
            if gateway.process is not None and gateway.process.running
        }

    async def _inject(self) -> None:
        began_s = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for fault in self._faults:
                await anyio.sleep(max(0.0, began_s + fault.at_s - time.monotonic()))
                tasks.start_soon(self._apply, fault)

    async def _apply(self, fault: Fault) -> None:
        actions: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.GATEWAY_TERM: self._stop_gateway,
            FaultKind.GATEWAY_KILL: self._kill_gateway,
            FaultKind.GATEWAY_FREEZE: self._freeze_gateway,
            FaultKind.GATEWAY_RELOAD: self._reload_gateway,
            FaultKind.AGENT_KILL: self._kill_agent,
            FaultKind.AGENT_FREEZE: self._freeze_agent,
            FaultKind.LEADER_FREEZE: self._freeze_leader,
            FaultKind.ALL_KILL: self._kill_all,
            FaultKind.DRAIN: self._replace_worker,
            FaultKind.CONFIGURE: self._configure,
            FaultKind.REVOKE: self._revoke,
            FaultKind.ORDERS_LATE: self._delay_orders,
            FaultKind.DEMAND_SHIFT: self._shift_demand,
            FaultKind.BACKEND_FAULTY: self._spoil_answers,
        }
        action = actions.get(fault.kind, self._disturb_link)
        await action(fault)

    def _pick_gateway(self, fault: Fault) -> _Gateway | None:
        gateway = self._gateways[int(fault.target * len(self._gateways))]
        return None if gateway.busy else gateway

    async def _disturb(self, scope: str, for_s: float) -> None:
        """Note a disturbance while it lasts."""
        begin_s = time.monotonic()
        index = len(self._history.disturbances)
        self._history.disturbances.append(Disturbance(scope, begin_s, float("inf")))
        await anyio.sleep(for_s)
        end_s = time.monotonic() + AFTERMATH_S
        self._history.disturbances[index] = Disturbance(scope, begin_s, end_s)

    async def _stop_gateway(self, fault: Fault) -> None:
        gateway = self._pick_gateway(fault)
        if gateway is None or gateway.process is None:
            return
        gateway.busy = True
        process = gateway.process
        process.terminate()
        began_s = time.monotonic()
        grace_s = gateway.settings["grace_s"]
        while process.running and time.monotonic() - began_s < grace_s + STOP_SLACK_S:
            await anyio.sleep(0.05)
            gateway.in_rotation = time.monotonic() - began_s < OUT_OF_ROTATION_S
        if process.running:
            self._violations.append(f"{gateway.name} runs {grace_s} s after it was told to stop")
            process.kill()
        elif process.wait() != 0:
            self._violations.append(f"{gateway.name} ended with {process.wait()}")
        await self._restart(gateway)

    async def _restart(self, gateway: _Gateway) -> None:
        gateway.in_rotation = False
        self._start_gateway(gateway)
        with anyio.move_on_after(READY_TIMEOUT_S):
            await wait_ready(gateway.settings["ready_address"])
        gateway.in_rotation = True
        gateway.busy = False

    async def _kill_gateway(self, fault: Fault) -> None:
        gateway = self._pick_gateway(fault)
        if gateway is None or gateway.process is None:
            return
        gateway.busy = True
        gateway.process.kill()
        await self._disturb(gateway.name, fault.for_s)
        await self._restart(gateway)

    async def _kill_all(self, fault: Fault) -> None:
        async with anyio.create_task_group() as tasks:
            for number, gateway in enumerate(self._gateways):
                target = number / len(self._gateways)
                tasks.start_soon(self._kill_gateway, fault._replace(target=target))
                del gateway
            for number in range(len(self._agents)):
                target = number / len(self._agents)
                tasks.start_soon(self._kill_agent, fault._replace(target=target))

    async def _freeze_gateway(self, fault: Fault) -> None:
        gateway = self._pick_gateway(fault)
        if gateway is None or gateway.process is None:
            return
        gateway.busy = True
        gateway.process.freeze()
        await self._disturb(gateway.name, fault.for_s)
        gateway.process.thaw()
        gateway.busy = False

    async def _reload_gateway(self, fault: Fault) -> None:
        gateway = self._pick_gateway(fault)
        if gateway is not None and gateway.process is not None:
            gateway.process.reload()

    async def _kill_agent(self, fault: Fault) -> None:
        number = int(fault.target * len(self._agents))
        self._agents[number].kill()
        await anyio.sleep(fault.for_s)
        if not self._agents[number].running:
            self._agents[number] = self._start_agent(number)

    async def _freeze_agent(self, fault: Fault) -> None:
        await self._freeze(self._agents[int(fault.target * len(self._agents))], fault.for_s)

    async def _freeze_leader(self, fault: Fault) -> None:
        for agent, settings in zip(self._agents, self._agent_settings, strict=True):
            _, page = await read_text(settings["metrics_address"], b"/metrics")
            if "bronzerudder_group_leading 1.0" in page:
                await self._freeze(agent, fault.for_s)
                return

    async def _freeze(self, process: ManagedProcess, for_s: float) -> None:
        process.freeze()
        await anyio.sleep(for_s)
        process.thaw()

    async def _replace_worker(self, fault: Fault) -> None:
        """Let a backend server leave, and another one take its place."""
        plain = self._fleet.plain
        leaving = [worker for worker in plain if worker.instance_id in self._worker_links]
        worker = leaving[int(fault.target * len(leaving))]
        self._replaced += 1
        successor = StandinWorker(f"p-{len(plain)}")
        plain.append(successor)
        self._list_through_link(successor)
        link = self._worker_links.pop(worker.instance_id)
        self._fleet.list_worker(worker, PLAIN, link.address, leaving=True)
        began_s = time.monotonic()
        await anyio.sleep(LEAVING_S)
        self._fleet.store.remove(wire.BACKEND_SERVER_KIND, worker.instance_id)
        if not self._was_disturbed_since(began_s):
            self._history.left_at_s[worker.instance_id] = time.monotonic()

    def _was_disturbed_since(self, began_s: float) -> bool:
        return any(item.end_s >= began_s for item in self._history.disturbances)

    async def _configure(self, fault: Fault) -> None:
        """Replace the route that marks a version; it must be in force soon."""
        began_s = time.monotonic()
        self._write_configuration()
        version = self._version
        await anyio.sleep(IN_FORCE_S)
        if version != self._version or self._was_disturbed_since(began_s):
            return
        for gateway in self._gateways:
            if gateway.busy:
                continue
            if await self._serves_version(gateway, version - 1):
                self._violations.append(f"{gateway.name} still serves version {version - 1}")
            if not await self._serves_version(gateway, version):
                self._violations.append(f"{gateway.name} does not serve version {version}")

    def _write_configuration(self) -> None:
        self._version += 1
        marker = make_route(f"v{self._version}", "idempotent", PLAIN, public=True)
        keys = {name: key for name, key in KEYS.items() if name not in self._revoked}
        document = make_configuration(self._version, [marker], keys)
        self._fleet.store.put(wire.CONFIGURATION_KIND, wire.CONFIGURATION_NAME, document)

    async def _serves_version(self, gateway: _Gateway, version: int) -> bool:
        """Tell whether the route that marks a version is served."""
        address = gateway.settings["caller_address"]
        status, _ = await read_text(address, f"/v{version}/probe".encode())
        return status == 200

    async def _probe_versions(self) -> None:
        """Check that no gateway goes back to an older version in its life."""
        while True:
            await anyio.sleep(0.3)
            for gateway in self._gateways:
                if gateway.busy:
                    continue
                version = max(1, self._version - self._generator.randrange(3))
                process, highest = gateway.process, gateway.highest_version
                if not await self._serves_version(gateway, version):
                    continue
                if process is not gateway.process or gateway.busy:
                    continue
                if version < highest:
                    self._violations.append(
                        f"{gateway.name} serves version {version} after {highest}"
                    )
                gateway.highest_version = max(version, gateway.highest_version)

    async def _revoke(self, fault: Fault) -> None:
        name = sorted(KEYS)[int(fault.target * len(KEYS))]
        self._revoked.add(name)
        self._history.revoked_at_s[name] = float("inf")
        self._write_configuration()
        await anyio.sleep(fault.for_s)
        self._revoked.discard(name)
        self._write_configuration()
        self._history.revoked_at_s[name] = time.monotonic()

    async def _delay_orders(self, fault: Fault) -> None:
        for rank in self._fleet.ranks:
            rank.late_share = LATE_SHARE
        await anyio.sleep(fault.for_s)
        for rank in self._fleet.ranks:
            rank.late_share = 0.0

    async def _shift_demand(self, fault: Fault) -> None:
        for rank in self._fleet.ranks:
            rank.turn_demand(1 + int(fault.target * 5))

    async def _spoil_answers(self, fault: Fault) -> None:
        workers = [*self._fleet.plain, *self._fleet.workers]
        worker = workers[int(fault.target * len(workers))]
        behaviour = self._generator.choice(BACKEND_FAULTS)
        worker.script.extend([behaviour] * FAULTS_IN_A_ROW)
        await self._disturb("backend", fault.for_s)
        worker.script.clear()

    async def _disturb_link(self, fault: Fault) -> None:
        kind = fault.kind
        if kind in (FaultKind.CALLER_CUT, FaultKind.CALLER_SILENT):
            gateway = self._gateways[int(fault.target * len(self._gateways))]
            self._break(gateway.caller_link, kind is FaultKind.CALLER_CUT, fault)
            await self._disturb(gateway.name, fault.for_s)
        elif kind in (FaultKind.BACKEND_CUT, FaultKind.BACKEND_SILENT, FaultKind.BACKEND_SLOW):
            links = list(self._worker_links.values())
            link = links[int(fault.target * len(links))]
            if kind is FaultKind.BACKEND_SLOW:
                link.delay_s = SLOW_S
            else:
                self._break(link, kind is FaultKind.BACKEND_CUT, fault)
            await self._disturb("backend", fault.for_s)
            link.delay_s = 0.0
        else:
            await self._disturb_store(fault)

    def _break(self, link: FaultyLink, cut: bool, fault: Fault) -> None:
        if cut:
            link.cut()
            return
        to_server = fault.target < 0.7
        link.silence(to_server, to_client=not to_server or fault.target < 0.4)

    async def _disturb_store(self, fault: Fault) -> None:
        store = self._fleet.store
        links = [gateway.store_link for gateway in self._gateways]
        match fault.kind:
            case FaultKind.STORE_CUT | FaultKind.STORE_SILENT:
                for link in links:
                    self._break(link, fault.kind is FaultKind.STORE_CUT, fault)
            case FaultKind.STORE_SLOW:
                for link in links:
                    link.delay_s = SLOW_S
            case FaultKind.STORE_REFUSES:
                store.refuse_with = 503 if fault.target < 0.5 else 429
            case FaultKind.STORE_LOSES:
                store.lose_answers = True
            case FaultKind.STORE_FORGETS:
                store.forget_history()
        await self._disturb("store", fault.for_s)
        for link in links:
            link.delay_s = 0.0
        store.refuse_with = 0
        store.lose_answers = False

    async def _watch_quiet(self) -> None:
        """Check that everything serves again after the faults."""
        for gateway in self._gateways:
            while gateway.busy:
                await anyio.sleep(0.1)
        await anyio.sleep(QUIET_S - MEASURED_S)
        step = self._fleet.group.step
        begin_s = time.monotonic()
        await anyio.sleep(MEASURED_S)
        served = [item for item in self._results if item.sent_at_s >= begin_s]
        good = sum(1 for item in served if item.status == 200)
        if not served or good < LEAST_SERVED * len(served):
            statuses = sorted({item.status for item in served})
            self._violations.append(
                f"{good} of {len(served)} served after the faults; statuses {statuses}"
            )
        if self._fleet.group.step == step:
            self._violations.append(f"step {step + 1} stays held after the faults")
        await self._check_processes()

    async def _check_processes(self) -> None:
        for gateway in self._gateways:
            status, _ = await read_text(gateway.settings["ready_address"], wire.READY_PATH)
            if status != 200:
                self._violations.append(f"{gateway.name} is not ready after the faults")
        for process in [*self._agents, *(item.process for item in self._gateways)]:
            if process is not None and not process.running:
                self._violations.append(f"{process.name} ended by itself")
        for process in {item.name: item for item in self._fleet.processes}.values():
            if "Traceback" in process.read_log_text():
                self._violations.append(f"{process.name} logged an exception")
