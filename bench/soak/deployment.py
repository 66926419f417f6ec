"""The processes of a soak run, and the links on their way."""

from __future__ import annotations

import pathlib
import random
from typing import Any, NamedTuple

import anyio

from bench.harness.fleet import PLAIN, Fleet, FleetShape, wait_ready
from bench.harness.link import FaultyLink
from bench.harness.process import ManagedProcess
from bench.soak.callers import Entrance
from bronzerudder.standin.fleet import StandinBackendServer

PLAIN_SERVERS = 3
READY_TIMEOUT_S = 5.0


class SoakShape(NamedTuple):
    """Size and length of a run."""

    gateways: int = 2
    ranks: int = 4
    callers: int = 8
    seconds: float = 12.0


class SoakGateway:
    """A gateway's process, and the links on its way.

    Attributes
    ----------
    busy : bool
        Whether a fault stops, kills or freezes it now.
    in_rotation : bool
        Whether the balancer would send callers to it.
    highest_version : int
        Highest configuration that it was seen to serve in its life.
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
    """Starts gateways, rank agents and stand-ins, with a loopback link on each way that may fail.

    Parameters
    ----------
    directory : pathlib.Path
        Takes settings and logs.
    shape : SoakShape
        Size.
    generator : random.Random
        Draws what requests choose.

    Attributes
    ----------
    fleet, gateways, agents, agent_settings
        What runs.
    worker_links : dict
        Links to the plain backend servers that are listed, by id.
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
        self.worker_links: dict[str, FaultyLink] = {}

    async def start(self) -> None:
        """Start everything, and wait until the gateways take callers."""
        self.fleet.serve_stand_ins()
        for worker in self.fleet.plain:
            self.list_through_link(worker)
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

    def list_through_link(self, worker: StandinBackendServer) -> None:
        """Serve a plain backend server, and list the address of a link to it."""
        link = FaultyLink(self.fleet.serve(worker.server))
        self._links.append(link)
        self.worker_links[worker.instance_id] = link
        self.fleet.list_worker(worker, PLAIN, link.address)

    def start_agent(self, number: int) -> ManagedProcess:
        """Start the agent beside a rank."""
        settings = self.agent_settings[number]
        return self.fleet.start_process("rank-agent", settings["agent_id"], settings)

    async def restart(self, gateway: SoakGateway) -> None:
        """Start a gateway again; it is in rotation once it is ready."""
        gateway.in_rotation = False
        self._start_gateway(gateway)
        with anyio.move_on_after(READY_TIMEOUT_S):
            await wait_ready(gateway.settings["ready_address"])
        gateway.in_rotation = True
        gateway.busy = False

    def entrances(self) -> dict[str, Entrance]:
        """Return the gateways that run, by name."""
        return {
            gateway.name: Entrance(gateway.caller_link.address, gateway.in_rotation)
            for gateway in self.gateways
            if gateway.process is not None and gateway.process.running
        }

    def _start_gateway(self, gateway: SoakGateway) -> None:
        gateway.highest_version = 0
        gateway.process = self.fleet.start_process("gateway", gateway.name, gateway.settings)
