"""Polls all live instances for the revision that they have in force."""

from __future__ import annotations

from typing import NamedTuple

import anyio

from bronzerudder.configuration import SharedConfiguration
from bronzerudder.configuration.errors import ConfigurationError
from bronzerudder.configuration.peers import PeerClient
from bronzerudder.operators.errors import OperatorError, failed
from bronzerudder.platform import Instance, InstanceList, InstanceState, StoreError

POLL_INTERVAL_S = 0.1
MAX_CONCURRENT_CALLS = 32


class InstanceReport(NamedTuple):
    """What one instance reported; ``reason`` says why it gave no revision, else empty."""

    instance: Instance
    revision: int
    ready: bool
    reason: str


class InstancePoller:
    """Polls instances directly, so that waiting costs the platform a single call.

    Parameters
    ----------
    instances : InstanceList
        The platform's list, with the addresses of the gRPC listeners.
    """

    def __init__(self, instances: InstanceList) -> None:
        self._instances = instances
        self._client = PeerClient(SharedConfiguration())

    async def poll_all(self) -> list[InstanceReport] | OperatorError:
        """Poll every live instance once."""
        live = await self._list_live()
        if isinstance(live, OperatorError):
            return live
        return await self._poll(live)

    async def wait_until_in_force(
        self, revision: int, timeout_s: float
    ) -> list[InstanceReport] | OperatorError:
        """Wait until all live instances have a revision in force; return those that lack it."""
        live = await self._list_live()
        if isinstance(live, OperatorError):
            return live
        deadline = anyio.current_time() + timeout_s
        while True:
            reports = await self._poll(live)
            behind = [report for report in reports if report.revision < revision]
            if not behind or anyio.current_time() >= deadline:
                return behind
            live = [report.instance for report in behind]
            await anyio.sleep(POLL_INTERVAL_S)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close_all()

    async def _list_live(self) -> list[Instance] | OperatorError:
        listing = await self._instances.instances()
        if isinstance(listing, StoreError):
            return failed(f"cannot read the instance list: {listing.reason}")
        return [instance for instance in listing if instance.state is InstanceState.LIVE]

    async def _poll(self, instances: list[Instance]) -> list[InstanceReport]:
        reports: list[InstanceReport] = []
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_CALLS)

        async def poll(instance: Instance) -> None:
            async with limiter:
                reply = await self._client.describe(instance.address)
            if isinstance(reply, ConfigurationError):
                reports.append(InstanceReport(instance, 0, False, reply.reason))
                return
            reports.append(InstanceReport(instance, reply.revision, reply.ready, ""))

        async with anyio.create_task_group() as tasks:
            for instance in instances:
                tasks.start_soon(poll, instance)
        return sorted(reports, key=lambda report: report.instance.name)
