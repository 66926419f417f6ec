"""Injects the faults of a soak run into its processes, links and stand-ins."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable

import anyio

from bench.harness.fleet import MODEL_SERVICE, PLAIN_SERVICE, read_text
from bench.harness.link import FaultyLink
from bench.harness.process import ManagedProcess
from bench.soak.callers import ANSWERS, PROMPTS, Caller
from bench.soak.checks import CrashWindow, Disturbance, History, LimitWindow
from bench.soak.configuration import ConfigurationEditor
from bench.soak.deployment import SoakDeployment, SoakGateway
from bench.soak.faults import Fault, FaultKind
from bronzerudder.platform import wire
from bronzerudder.standin.fleet import (
    AnswerScript,
    Behaviour,
    CrashPlan,
    StandinBackendServer,
)
from bronzerudder.standin.fleet.answer_script import (
    SOUND,
    BreakPoint,
    Ending,
    Endless,
    Extra,
    ExtraId,
    ExtraTime,
    Framing,
)

DRAIN_S = 3.0
STOP_SLACK_S = 1.0
OUT_OF_ROTATION_S = 2.0
"""The balancer polls once a second and removes a gateway after two failed polls."""
DETECTION_S = 1.0
"""Connections broken by a fault are detected within this time, in seconds."""
SLOW_S = 0.4
CONSECUTIVE_FAULTS = 4
LATE_ORDERS_SHARE = 0.3
MAX_DEMAND_SHIFT = 5
DROP_TO_SERVER_BELOW = 0.7
DROP_BOTH_WAYS_BELOW = 0.4
"""Bounds on a fault's target below which a silent link drops data to the server, or both ways."""
BACKEND_FAULTS = (
    Behaviour.ERROR,
    Behaviour.SHED,
    Behaviour.RESET,
    Behaviour.UNRESPONSIVE,
    Behaviour.TRUNCATED,
    Behaviour.UNSIGNED,
    Behaviour.WRONG_REQUEST_ID,
    Behaviour.BARE_503,
)
LIMIT_RPS = (0.5, 4.0)
LIMIT_CHANGES = 2
"""Times that the limits of a window are set."""
CRASHING_CALLERS = 3
CRASHED_S = 1.5
"""Time for which a backend server is away after a crash, in seconds."""
CRASH_AFTER_EVENT_BELOW = 0.5
"""Bound on a fault's target below which a stream's first event is sent before the crash."""
FAULTY_SCRIPTS = (
    *(
        AnswerScript(framing, extra=Extra(extra_time, extra_id))
        for framing in Framing
        for extra_time in (ExtraTime.ADJACENT, ExtraTime.IDLE, ExtraTime.LATE)
        for extra_id in ExtraId
    ),
    *(
        AnswerScript(framing, ending, point)
        for framing in Framing
        for ending in (Ending.CLOSED, Ending.RESET)
        for point in BreakPoint
        # An unframed stream that ends normally between events is complete.
        if (framing, ending, point)
        != (Framing.CONNECTION_END, Ending.CLOSED, BreakPoint.BETWEEN_EVENTS)
    ),
    *(AnswerScript(framing, ending) for framing in Framing for ending in Ending),
    *(AnswerScript(endless=endless) for endless in Endless),
    *(AnswerScript(garbage=True, ending=ending) for ending in Ending),
    AnswerScript(informational_heads=20),
    AnswerScript(early=True),
)
"""What the answers of a window may look like."""


class FaultInjector:
    """Applies faults, and records the disturbances that they cause.

    Parameters
    ----------
    deployment : SoakDeployment
        Deployment that faults are applied to.
    editor : ConfigurationEditor
        Applies the faults that change the configuration.
    history : History
        Where the disturbances are recorded.
    generator : random.Random
        Draws the behaviour of faulty backend servers.
    violations : list of str
        List that a line is added to for each violation by a stopping gateway.
    """

    def __init__(
        self,
        deployment: SoakDeployment,
        editor: ConfigurationEditor,
        history: History,
        generator: random.Random,
        violations: list[str],
    ) -> None:
        self._deployment = deployment
        self._fleet = deployment.fleet
        self._history = history
        self._generator = generator
        self._violations = violations
        self._actions: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.GATEWAY_TERM: self._stop_gateway,
            FaultKind.GATEWAY_KILL: self._kill_gateway,
            FaultKind.GATEWAY_FREEZE: self._pause_gateway,
            FaultKind.GATEWAY_RELOAD: self._reload_gateway,
            FaultKind.AGENT_KILL: self._kill_agent,
            FaultKind.AGENT_FREEZE: self._pause_agent,
            FaultKind.LEADER_FREEZE: self._pause_leader,
            FaultKind.ALL_KILL: self._kill_all,
            FaultKind.CALLER_CUT: self._disturb_callers,
            FaultKind.CALLER_SILENT: self._disturb_callers,
            FaultKind.BACKEND_CUT: self._disturb_backend,
            FaultKind.BACKEND_SILENT: self._disturb_backend,
            FaultKind.BACKEND_SLOW: self._disturb_backend,
            FaultKind.BACKEND_FAULTY: self._script_faulty_answers,
            FaultKind.DRAIN: self._replace_backend_server,
            FaultKind.CONFIGURE: editor.configure,
            FaultKind.REVOKE: editor.revoke,
            FaultKind.ORDERS_LATE: self._delay_orders,
            FaultKind.DEMAND_SHIFT: self._shift_demand,
            FaultKind.ANSWERS_FAULTY: self._write_faulty_answers,
            FaultKind.PROMPTS_CRASH: self._send_crashing_prompts,
            FaultKind.SERVERS_LIMITED: self._limit_servers,
        }

    async def inject(self, faults: list[Fault]) -> None:
        """Apply each fault at its time; return when all have ended."""
        started_s = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for fault in faults:
                await anyio.sleep(max(0.0, started_s + fault.at_s - time.monotonic()))
                tasks.start_soon(self._actions.get(fault.kind, self._disturb_store), fault)

    def _pick_gateway(self, fault: Fault) -> SoakGateway | None:
        gateways = self._deployment.gateways
        gateway = gateways[int(fault.target * len(gateways))]
        return None if gateway.busy else gateway

    def _pick_agent(self, fault: Fault) -> int:
        return int(fault.target * len(self._deployment.agents))

    async def _disturb(self, scope: str, duration_s: float) -> None:
        """Record a disturbance that ends `DETECTION_S` after a duration; wait for the duration."""
        begin_s = time.monotonic()
        index = len(self._history.disturbances)
        self._history.disturbances.append(Disturbance(scope, begin_s, float("inf")))
        await anyio.sleep(duration_s)
        end_s = time.monotonic() + DETECTION_S
        self._history.disturbances[index] = Disturbance(scope, begin_s, end_s)

    async def _stop_gateway(self, fault: Fault) -> None:
        gateway = self._pick_gateway(fault)
        if gateway is None or gateway.process is None:
            return
        gateway.busy = True
        process = gateway.process
        process.terminate()
        started_s = time.monotonic()
        restart = self._begin_restart(gateway)
        grace_s = gateway.settings["grace_s"]
        while process.running and time.monotonic() - started_s < grace_s + STOP_SLACK_S:
            await anyio.sleep(0.05)
            gateway.in_rotation = time.monotonic() - started_s < OUT_OF_ROTATION_S
        if process.running:
            self._violations.append(f"{gateway.name} still runs {grace_s} s after SIGTERM")
            process.kill()
        elif process.wait() != 0:
            self._violations.append(f"{gateway.name} exited with code {process.wait()}")
        await self._deployment.restart(gateway)
        self._end_restart(restart)

    async def _kill_gateway(self, fault: Fault) -> None:
        gateway = self._pick_gateway(fault)
        if gateway is None or gateway.process is None:
            return
        gateway.busy = True
        gateway.process.kill()
        restart = self._begin_restart(gateway)
        await self._disturb(gateway.name, fault.duration_s)
        await self._deployment.restart(gateway)
        self._end_restart(restart)

    def _begin_restart(self, gateway: SoakGateway) -> int:
        restart = Disturbance(gateway.name, time.monotonic(), float("inf"))
        self._history.restarts.append(restart)
        return len(self._history.restarts) - 1

    def _end_restart(self, index: int) -> None:
        restart = self._history.restarts[index]
        self._history.restarts[index] = restart._replace(end_s=time.monotonic())

    async def _kill_all(self, fault: Fault) -> None:
        async with anyio.create_task_group() as tasks:
            for number in range(len(self._deployment.gateways)):
                target = number / len(self._deployment.gateways)
                tasks.start_soon(self._kill_gateway, fault._replace(target=target))
            for number in range(len(self._deployment.agents)):
                target = number / len(self._deployment.agents)
                tasks.start_soon(self._kill_agent, fault._replace(target=target))

    async def _pause_gateway(self, fault: Fault) -> None:
        gateway = self._pick_gateway(fault)
        if gateway is None or gateway.process is None:
            return
        gateway.busy = True
        gateway.process.pause()
        await self._disturb(gateway.name, fault.duration_s)
        gateway.process.resume()
        gateway.busy = False

    async def _reload_gateway(self, fault: Fault) -> None:
        gateway = self._pick_gateway(fault)
        if gateway is not None and gateway.process is not None:
            gateway.process.reload()

    async def _kill_agent(self, fault: Fault) -> None:
        number = self._pick_agent(fault)
        self._deployment.agents[number].kill()
        await anyio.sleep(fault.duration_s)
        if not self._deployment.agents[number].running:
            self._deployment.agents[number] = self._deployment.start_agent(number)

    async def _pause_agent(self, fault: Fault) -> None:
        await self._pause(self._deployment.agents[self._pick_agent(fault)], fault.duration_s)

    async def _pause_leader(self, fault: Fault) -> None:
        for agent, settings in zip(
            self._deployment.agents, self._deployment.agent_settings, strict=True
        ):
            _, page = await read_text(settings["metrics_address"], b"/metrics")
            if "bronzerudder_group_leading 1.0" in page:
                await self._pause(agent, fault.duration_s)
                return

    async def _pause(self, process: ManagedProcess, duration_s: float) -> None:
        process.pause()
        await anyio.sleep(duration_s)
        process.resume()

    async def _replace_backend_server(self, fault: Fault) -> None:
        """Drain and remove a backend server, and register a replacement."""
        plain = self._fleet.plain_servers
        registered = [
            backend for backend in plain if backend.instance_id in self._deployment.plain_links
        ]
        backend = registered[int(fault.target * len(registered))]
        successor = StandinBackendServer(f"p-{len(plain)}")
        plain.append(successor)
        self._deployment.register_through_link(successor)
        link = self._deployment.plain_links.pop(backend.instance_id)
        self._fleet.register_backend_server(backend, PLAIN_SERVICE, link.address, leaving=True)
        started_s = time.monotonic()
        await anyio.sleep(DRAIN_S)
        self._fleet.store.remove(wire.BACKEND_SERVER_KIND, backend.instance_id)
        if not self._history.was_disturbed_since(started_s):
            self._history.left_at_s[backend.instance_id] = time.monotonic()

    async def _delay_orders(self, fault: Fault) -> None:
        for rank in self._fleet.ranks:
            rank.late_share = LATE_ORDERS_SHARE
        await anyio.sleep(fault.duration_s)
        for rank in self._fleet.ranks:
            rank.late_share = 0.0

    async def _shift_demand(self, fault: Fault) -> None:
        for rank in self._fleet.ranks:
            rank.shift_demand(1 + int(fault.target * MAX_DEMAND_SHIFT))

    async def _script_faulty_answers(self, fault: Fault) -> None:
        backends = [*self._fleet.plain_servers, *self._fleet.model_servers]
        backend = backends[int(fault.target * len(backends))]
        behaviour = self._generator.choice(BACKEND_FAULTS)
        backend.script.extend([behaviour] * CONSECUTIVE_FAULTS)
        await self._disturb("backend", fault.duration_s)
        backend.script.clear()

    async def _write_faulty_answers(self, fault: Fault) -> None:
        script = FAULTY_SCRIPTS[int(fault.target * len(FAULTY_SCRIPTS))]
        faulty = self._deployment.answer_servers[:-1]
        for server in faulty:
            server.usual = script
        await self._disturb(ANSWERS.service, fault.duration_s)
        for server in faulty:
            server.usual = SOUND

    async def _limit_servers(self, fault: Fault) -> None:
        """Let some servers of a service, or all, name limits, and change these once."""
        generator = random.Random(fault.target)
        service = generator.choice((PLAIN_SERVICE, MODEL_SERVICE))
        plain = service == PLAIN_SERVICE
        servers = list(self._fleet.plain_servers if plain else self._fleet.model_servers)
        limited = servers[: generator.randint(1, len(servers))]
        begin_s = time.monotonic()
        for _ in range(LIMIT_CHANGES):
            for server in limited:
                server.limit.set_rate(round(generator.uniform(*LIMIT_RPS), 2))
            await anyio.sleep(fault.duration_s / LIMIT_CHANGES)
        for server in limited:
            server.limit.set_rate(None)
        kinds = ("read", "book") if plain else ("stream", "once")
        has_free = len(limited) < len(servers)
        window = LimitWindow(kinds, has_free, begin_s, time.monotonic())
        self._history.limit_windows.append(window)

    async def _send_crashing_prompts(self, fault: Fault) -> None:
        """Send requests with a crashing part; sound ones share their keys and other parts."""
        part = f"{int(fault.target * 2**32):08x}"
        after_first_event = fault.target < CRASH_AFTER_EVENT_BELOW
        plan = CrashPlan(
            frozenset({part}),
            down_s=CRASHED_S,
            after_first_event=after_first_event,
            new_instance=True,
        )
        for server in self._deployment.prompt_servers:
            server.crash_plan = plan
        shared, other = PROMPTS.parts
        workload = PROMPTS._replace(parts=(shared, part, other), crashes=True)
        begin_s = time.monotonic()
        async with anyio.create_task_group() as callers:
            for number in range(CRASHING_CALLERS):
                generator = random.Random(f"{part} {number}")
                caller = Caller(
                    f"x{number}",
                    self._deployment.endpoints,
                    generator,
                    self._history.results,
                    workload,
                )
                callers.start_soon(caller.run)
            await self._disturb(PROMPTS.service, fault.duration_s)
            callers.cancel_scope.cancel()
        self._history.crash_windows.append(CrashWindow(part, begin_s, time.monotonic()))

    async def _disturb_callers(self, fault: Fault) -> None:
        gateways = self._deployment.gateways
        gateway = gateways[int(fault.target * len(gateways))]
        self._break_link(gateway.caller_link, fault.kind is FaultKind.CALLER_CUT, fault)
        await self._disturb(gateway.name, fault.duration_s)

    async def _disturb_backend(self, fault: Fault) -> None:
        links = list(self._deployment.plain_links.values())
        link = links[int(fault.target * len(links))]
        if fault.kind is FaultKind.BACKEND_SLOW:
            link.delay_s = SLOW_S
        else:
            self._break_link(link, fault.kind is FaultKind.BACKEND_CUT, fault)
        await self._disturb("backend", fault.duration_s)
        link.delay_s = 0.0

    def _break_link(self, link: FaultyLink, cut: bool, fault: Fault) -> None:
        if cut:
            link.reset_connections()
            return
        to_server = fault.target < DROP_TO_SERVER_BELOW
        link.drop_data(to_server, to_client=not to_server or fault.target < DROP_BOTH_WAYS_BELOW)

    async def _disturb_store(self, fault: Fault) -> None:
        store = self._fleet.store
        links = [gateway.store_link for gateway in self._deployment.gateways]
        match fault.kind:
            case FaultKind.STORE_CUT | FaultKind.STORE_SILENT:
                for link in links:
                    self._break_link(link, fault.kind is FaultKind.STORE_CUT, fault)
            case FaultKind.STORE_SLOW:
                for link in links:
                    link.delay_s = SLOW_S
            case FaultKind.STORE_REFUSES:
                store.refuse_with = 503 if fault.target < 0.5 else 429
            case FaultKind.STORE_LOSES:
                store.lose_answers = True
            case FaultKind.STORE_FORGETS:
                store.compact_history()
        await self._disturb("store", fault.duration_s)
        for link in links:
            link.delay_s = 0.0
        store.refuse_with = 0
        store.lose_answers = False
