"""Changes the configuration during a soak run, and checks that the changes take effect."""

from __future__ import annotations

import random
import time

import anyio

from bench.harness.fleet import KEYS, PLAIN_SERVICE, make_configuration, make_route, read_text
from bench.soak.checks import History
from bench.soak.deployment import SoakDeployment, SoakGateway
from bench.soak.faults import Fault
from bronzerudder.platform import wire

IN_FORCE_TIMEOUT_S = 3.0
PROBE_INTERVAL_S = 0.3
PROBED_VERSIONS = 3


class ConfigurationEditor:
    """Writes configuration versions, each with a marker route by which it can be recognized.

    Parameters
    ----------
    deployment : SoakDeployment
        Deployment that is configured.
    history : History
        Where it is recorded until when keys were revoked.
    generator : random.Random
        Draws the versions that are probed.
    violations : list of str
        List that a line is added to for each violation.
    """

    def __init__(
        self,
        deployment: SoakDeployment,
        history: History,
        generator: random.Random,
        violations: list[str],
    ) -> None:
        self._deployment = deployment
        self._history = history
        self._generator = generator
        self._violations = violations
        self._version = 1
        self._revoked: set[str] = set()

    async def configure(self, fault: Fault) -> None:
        """Write a version; it must replace the previous one within `IN_FORCE_TIMEOUT_S`."""
        del fault
        started_s = time.monotonic()
        self._write()
        version = self._version
        await anyio.sleep(IN_FORCE_TIMEOUT_S)
        if version != self._version or self._history.was_disturbed_since(started_s):
            return
        for gateway in self._deployment.gateways:
            if gateway.busy:
                continue
            if await self._serves(gateway, version - 1):
                self._violations.append(f"{gateway.name} still serves version {version - 1}")
            if not await self._serves(gateway, version):
                self._violations.append(f"{gateway.name} does not serve version {version}")

    async def revoke(self, fault: Fault) -> None:
        """Revoke a workspace's key for the duration of a fault."""
        name = sorted(KEYS)[int(fault.target * len(KEYS))]
        self._revoked.add(name)
        self._history.revoked_until_s[name] = float("inf")
        self._write()
        await anyio.sleep(fault.duration_s)
        self._revoked.discard(name)
        self._write()
        self._history.revoked_until_s[name] = time.monotonic()

    async def probe(self) -> None:
        """Check until cancelled that no gateway process goes back to an older version."""
        while True:
            await anyio.sleep(PROBE_INTERVAL_S)
            for gateway in self._deployment.gateways:
                if not gateway.busy:
                    await self._probe(gateway)

    async def _probe(self, gateway: SoakGateway) -> None:
        version = max(1, self._version - self._generator.randrange(PROBED_VERSIONS))
        process, highest = gateway.process, gateway.highest_version
        if not await self._serves(gateway, version):
            return
        if process is not gateway.process or gateway.busy:
            return
        if version < highest:
            self._violations.append(f"{gateway.name} serves version {version} after {highest}")
        gateway.highest_version = max(version, gateway.highest_version)

    def _write(self) -> None:
        self._version += 1
        marker = make_route(f"v{self._version}", "idempotent", PLAIN_SERVICE, public=True)
        keys = {name: key for name, key in KEYS.items() if name not in self._revoked}
        deployment = self._deployment
        routes = [marker, *deployment.further_routes]
        document = make_configuration(self._version, routes, keys, deployment.further_services)
        store = self._deployment.fleet.store
        store.put(wire.CONFIGURATION_KIND, wire.CONFIGURATION_NAME, document)

    async def _serves(self, gateway: SoakGateway, version: int) -> bool:
        """Return whether a gateway serves the marker route of a version."""
        address = gateway.settings["caller_address"]
        status, _ = await read_text(address, f"/v{version}/probe".encode())
        return status == 200
