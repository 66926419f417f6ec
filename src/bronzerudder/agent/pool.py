"""Connections of an entry to all agents in its configuration."""

from __future__ import annotations

from collections.abc import Iterable

import anyio
from anyio.abc import TaskGroup

from bronzerudder.agent.connection import AgentConnection
from bronzerudder.concurrency import supervise
from bronzerudder.configuration import ConfigurationSource
from bronzerudder.quarantine import QuarantineFeed

RETIRE_INTERVAL_S = 1.0


class AgentPool:
    """Keeps one connection open to each agent address.

    Parameters
    ----------
    entry_id, failure_domain : str
        Sent to the agents to identify this entry.
    source : ConfigurationSource
        Its revision is sent to the agents, and it receives theirs.
    feed : QuarantineFeed
        Exchanges crash reports and clearances with the agents.
    tasks : TaskGroup
        Runs a task for each connection.
    """

    def __init__(
        self,
        entry_id: str,
        failure_domain: str,
        source: ConfigurationSource,
        feed: QuarantineFeed,
        tasks: TaskGroup,
    ) -> None:
        self._feed = feed
        self._entry_id = entry_id
        self._failure_domain = failure_domain
        self._source = source
        self._tasks = tasks
        self._connections: dict[str, AgentConnection] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._wanted: frozenset[str] = frozenset()

    @property
    def connections(self) -> tuple[AgentConnection, ...]:
        """All connections, including those to be closed once nothing is outstanding."""
        return tuple(self._connections.values())

    def get(self, address: str) -> AgentConnection | None:
        """Return the connection to an address."""
        return self._connections.get(address)

    def use(self, addresses: Iterable[str]) -> None:
        """Connect to these agents; other connections are closed once nothing is outstanding."""
        self._wanted = frozenset(addresses)
        for address in self._wanted:
            if address not in self._connections:
                self._connect(address)

    def mark_leaving(self, addresses: frozenset[str]) -> None:
        """Record which agents the platform lists as leaving."""
        for address, connection in self._connections.items():
            connection.set_listed_as_leaving(address in addresses)

    async def retire_unwanted(self) -> None:
        """Close unwanted connections without outstanding attempts; runs until cancelled."""
        while True:
            await anyio.sleep(RETIRE_INTERVAL_S)
            for address, connection in list(self._connections.items()):
                if address in self._wanted or connection.outstanding:
                    continue
                del self._connections[address]
                self._scopes.pop(address).cancel()
                self._source.forget(address)

    def _connect(self, address: str) -> None:
        connection = AgentConnection(
            address, self._entry_id, self._failure_domain, self._source, self._feed
        )
        scope = anyio.CancelScope()
        self._connections[address] = connection
        self._scopes[address] = scope
        self._tasks.start_soon(_run_in_scope, connection, scope)


async def _run_in_scope(connection: AgentConnection, scope: anyio.CancelScope) -> None:
    with scope:
        await supervise(f"connection to {connection.address}", connection.run)
