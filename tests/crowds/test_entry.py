"""Entries, agents and stand-ins beside crowds, at each HTTP listener."""

from __future__ import annotations

from bench.harness import Deployment, ManagedProcess, Shape
from tests.crowds.case import Call, CrowdCase, Crowds, make_target

HEADERS = [(b"Host", b"h.example"), (b"bronzerudder-workspace", b"w")]
BODY_BYTES = 4_000_000
"""The largest body of an entry by default."""
CREATED = 201
PLATFORM_BODY_BYTES = 2_000_000


class DeploymentCrowdCase(CrowdCase):
    """An entry, an agent and their backend server."""

    memory_mb = 192
    body_bytes = BODY_BYTES

    async def start(self) -> None:
        machine = {"machine": self.machine}
        shape = Shape(services=1, entry=machine, agent=machine, platform=machine)
        self.deployment = self.enterContext(Deployment(shape))

    def call_at(self, address: str, method: bytes, path: bytes, *served: int) -> Call:
        """Make a call."""
        return Call(address, method, path, HEADERS, served or (200,))

    def attack(self, process: ManagedProcess, *calls: Call) -> None:
        """Set what the crowds attack; the first call is also the ordinary one."""
        self.process = process
        self.listeners = [call.address for call in calls]
        self.ordinary = self.largest = calls[0]
        self.targets = [make_target(call, self.body_bytes) for call in calls]


class EntryCallersTest(Crowds, DeploymentCrowdCase):
    """Crowds at an entry's address for callers."""

    async def start(self) -> None:
        await super().start()
        entry = self.deployment.entries[0]
        self.attack(entry, self.call_at(entry.address, b"POST", b"/bookings", CREATED))


class EntryOperatorsTest(Crowds, DeploymentCrowdCase):
    """Crowds at an entry's address for operators."""

    async def start(self) -> None:
        await super().start()
        entry = self.deployment.entries[0]
        self.attack(entry, self.call_at(entry.admin_address, b"GET", b"/readyz"))


class AgentOperatorsTest(Crowds, DeploymentCrowdCase):
    """Crowds at an agent's address for operators."""

    async def start(self) -> None:
        await super().start()
        agent = self.deployment.services[0].agent
        self.attack(agent, self.call_at(agent.admin_address, b"GET", b"/readyz"))


class StandinPlatformTest(Crowds, DeploymentCrowdCase):
    """Crowds at the stand-in of the platform."""

    body_bytes = PLATFORM_BODY_BYTES

    async def start(self) -> None:
        await super().start()
        platform = self.deployment.platform
        self.attack(platform, self.call_at(platform.address, b"GET", b"/v1/instances"))
