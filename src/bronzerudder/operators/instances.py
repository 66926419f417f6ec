"""Asks every live instance which revision it has in force."""

from __future__ import annotations

from typing import NamedTuple

import anyio

from bronzerudder.configuration import SharedConfiguration
from bronzerudder.configuration.errors import ConfigurationError
from bronzerudder.configuration.peers import PeerClient
from bronzerudder.operators.errors import OperatorError, failed
from bronzerudder.platform import Instance, InstanceList, InstanceState, StoreError

ASK_INTERVAL_S = 0.1
CONCURRENT_CALLS = 32


class InstanceReport(NamedTuple):
    """What one instance answered; ``reason`` says why there is no revision."""

    instance: Instance
    revision: int
    ready: bool
    reason: str


class InstanceInquiry:
    """Asks instances directly, so that waiting costs the platform one call.

    Parameters
    ----------
    instances : InstanceList
        The platform's list; the addresses are those of the gRPC listeners.
    """

    def __init__(self, instances: InstanceList) -> None:
        self._instances = instances
        self._client = PeerClient(SharedConfiguration())

    async def ask_all(self) -> list[InstanceReport] | OperatorError:
        """Ask every live instance once."""
        live = await self._list_live()
        if isinstance(live, OperatorError):
            return live
        return await self._ask(live)

    async def wait_everywhere(
        self, revision: int, timeout_s: float
    ) -> list[InstanceReport] | OperatorError:
        """Wait until every live instance reports a revision; return those that don't."""
        live = await self._list_live()
        if isinstance(live, OperatorError):
            return live
        deadline = anyio.current_time() + timeout_s
        while True:
            reports = await self._ask(live)
            behind = [report for report in reports if report.revision < revision]
            if not behind or anyio.current_time() >= deadline:
                return behind
            live = [report.instance for report in behind]
            await anyio.sleep(ASK_INTERVAL_S)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close_all()

    async def _list_live(self) -> list[Instance] | OperatorError:
        listed = await self._instances.instances()
        if isinstance(listed, StoreError):
            return failed(f"the instance list can't be read: {listed.reason}")
        return [instance for instance in listed if instance.state is InstanceState.LIVE]

    async def _ask(self, instances: list[Instance]) -> list[InstanceReport]:
        reports: list[InstanceReport] = []
        limiter = anyio.CapacityLimiter(CONCURRENT_CALLS)

        async def ask(instance: Instance) -> None:
            async with limiter:
                reply = await self._client.describe(instance.address)
            if isinstance(reply, ConfigurationError):
                reports.append(InstanceReport(instance, 0, False, reply.reason))
                return
            reports.append(InstanceReport(instance, reply.revision, reply.ready, ""))

        async with anyio.create_task_group() as tasks:
            for instance in instances:
                tasks.start_soon(ask, instance)
        return sorted(reports, key=lambda report: report.instance.name)
