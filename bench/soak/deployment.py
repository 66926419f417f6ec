"""Starts the processes of a soak run, with fault-injecting links between them."""

from __future__ import annotations

import pathlib
import random
from collections.abc import Callable
from typing import Any, NamedTuple

import anyio

from bench.harness.fleet import (
    PLAIN_SERVICE,
    Fleet,
    FleetShape,
    make_configuration,
    wait_ready,
)
from bench.harness.link import FaultyLink
from bench.harness.process import ManagedProcess
from bench.soak.callers import ANSWERS, PROMPTS, GatewayEndpoint, Workload
from bronzerudder.platform import wire
from bronzerudder.standin.fleet import FaultyAnswerServer, StandinBackendServer

PLAIN_SERVERS = 3
ANSWER_SERVERS = 3
PROMPT_SERVERS = 6
READY_TIMEOUT_S = 5.0


class SoakShape(NamedTuple):
    """Size and duration of a run, and whether it plays faulty answers or limits of servers.

    Faulty answers and limits are not played in the same run.
    """

    gateways: int = 2
    ranks: int = 4
    callers: int = 8
    seconds: float = 12.0
    answers: bool = False
    limits: bool = False


class SoakGateway:
    """A gateway's process, and the links to its store and from its callers.

    Attributes
    ----------
    busy : bool
        Whether a fault currently stops, kills or pauses it.
    in_rotation : bool
        Whether the balancer would send callers to it.
    highest_version : int
        Highest configuration version that the current process was seen to serve.
    """

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.name = name
        self.store_link = FaultyLink(fleet.store_address)
        self.settings = fleet.gateway_settings(name, self.store_link.address)
        self.caller_link = FaultyLink(self.settings["caller_address"])
        self.process: ManagedProcess | None = None
        self.busy = False
        self.in_rotation = True
        self.highest_version = 0


class SoakDeployment:
    """Starts gateways, rank agents and stand-ins, with links to inject network faults.

    Parameters
    ----------
    directory : pathlib.Path
        Where settings and logs are written.
    shape : SoakShape
        Size.
    generator : random.Random
        Draws the experts that requests choose.

    Attributes
    ----------
    fleet, gateways, agents, agent_settings
        The running processes and stand-ins, and the settings of the rank agents.
    plain_links : dict
        Links to the registered plain backend servers, by instance id.
    answer_servers, prompt_servers : list
        Backend servers that write faulty answers, and that crash on parts of prompts; empty unless
        the shape asks for them.
    further_routes, further_services
        Routes and services of these backend servers.
    """

    def __init__(self, directory: pathlib.Path, shape: SoakShape, generator: random.Random) -> None:
        self._shape = shape
        self._links: list[FaultyLink] = []
        self.fleet = Fleet(
            directory, FleetShape(shape.gateways, shape.ranks, PLAIN_SERVERS), generator
        )
        self.gateways: list[SoakGateway] = []
        self.agents: list[ManagedProcess] = []
        self.agent_settings: list[dict[str, Any]] = []
        self.plain_links: dict[str, FaultyLink] = {}
        self.answer_servers: list[FaultyAnswerServer] = []
        self.prompt_servers: list[StandinBackendServer] = []
        self.further_routes: list[dict[str, Any]] = []
        self.further_services: tuple[str, ...] = ()

    async def start(self) -> None:
        """Start everything, and wait until the gateways are ready."""
        self.fleet.serve_stand_ins()
        for backend in self.fleet.plain_servers:
            self.register_through_link(backend)
        if self._shape.answers:
            self._serve_answers()
        for number in range(self._shape.gateways):
            gateway = SoakGateway(self.fleet, f"gateway-{number}")
            self._links.extend((gateway.store_link, gateway.caller_link))
            self.gateways.append(gateway)
            self._start_gateway(gateway)
        for number in range(self._shape.ranks):
            settings = self.fleet.agent_settings(number, self.fleet.store_address)
            self.agent_settings.append(settings)
            self.agents.append(self.start_agent(number))
        for gateway in self.gateways:
            await wait_ready(gateway.settings["ready_address"])

    async def close(self) -> None:
        """End everything."""
        await self.fleet.close()
        for link in self._links:
            link.close()

    def register_through_link(self, backend: StandinBackendServer) -> None:
        """Serve a plain backend server, and register it at the address of a link to it."""
        link = FaultyLink(self.fleet.serve(backend.server))
        self._links.append(link)
        self.plain_links[backend.instance_id] = link
        self.fleet.register_backend_server(backend, PLAIN_SERVICE, link.address)

    def start_agent(self, number: int) -> ManagedProcess:
        """Start a rank's agent."""
        settings = self.agent_settings[number]
        return self.fleet.start_process("rank-agent", settings["agent_id"], settings)

    async def restart(self, gateway: SoakGateway) -> None:
        """Restart a gateway; it is in rotation once it is ready or `READY_TIMEOUT_S` is over."""
        gateway.in_rotation = False
        self._start_gateway(gateway)
        with anyio.move_on_after(READY_TIMEOUT_S):
            await wait_ready(gateway.settings["ready_address"])
        gateway.in_rotation = True
        gateway.busy = False

    def endpoints(self) -> dict[str, GatewayEndpoint]:
        """Return the gateways that are running, by name."""
        return {
            gateway.name: GatewayEndpoint(gateway.caller_link.address, gateway.in_rotation)
            for gateway in self.gateways
            if gateway.process is not None and gateway.process.running
        }

    def _serve_answers(self) -> None:
        """Serve the backend servers of `ANSWERS` and `PROMPTS`, and configure their routes."""
        self.answer_servers = [FaultyAnswerServer(f"a-{n}") for n in range(ANSWER_SERVERS)]
        self.prompt_servers = [StandinBackendServer(f"c-{n}") for n in range(PROMPT_SERVERS)]
        for workload, backends in ((ANSWERS, self.answer_servers), (PROMPTS, self.prompt_servers)):
            self.further_services += (workload.service,)
            self.further_routes.extend(_make_routes(workload))
            for backend in backends:
                self.fleet.further_servers.append(backend)
                address = self.fleet.serve(backend.server)
                self.fleet.register_backend_server(backend, workload.service, address)
                if isinstance(backend, StandinBackendServer):
                    backend.on_new_instance = self._make_relisting(backend, address)
        document = make_configuration(1, self.further_routes, services=self.further_services)
        self.fleet.store.put(wire.CONFIGURATION_KIND, wire.CONFIGURATION_NAME, document)

    def _make_relisting(self, backend: StandinBackendServer, address: str) -> Callable[[str], None]:
        """Make a function that lists a crashed backend server under its new id."""

        def relist(old_id: str) -> None:
            self.fleet.store.remove(wire.BACKEND_SERVER_KIND, old_id)
            self.fleet.register_backend_server(backend, PROMPTS.service, address)

        return relist

    def _start_gateway(self, gateway: SoakGateway) -> None:
        gateway.highest_version = 0
        gateway.process = self.fleet.start_process("gateway", gateway.name, gateway.settings)


def _make_routes(workload: Workload) -> list[dict[str, Any]]:
    """Make routes on the host of a workload that are like those of the other services."""
    routes = []
    for route in make_configuration(1)["routes"]:
        if route["name"] in workload.kinds:
            fields = {**route, "host": workload.host, "name": f"{workload.service}-{route['name']}"}
            fields["service"] = workload.service
            routes.append(fields)
    return routes
