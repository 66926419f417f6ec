"""The backend servers of each pool, with the state that their agents report to this entry."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from bronzerudder.agent import AgentConnection, AgentPool
from bronzerudder.claims.shards import preferred_agents, shard_of
from bronzerudder.configuration import Snapshot
from bronzerudder.configuration.matching import decode_pool
from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.policy.limits import RouteLimiter, RouteUse
from bronzerudder.policy.routing import (
    Breaker,
    Candidate,
    LoadReport,
    NoCandidate,
    RoutedRequest,
    RoutingPolicy,
)
from bronzerudder.policy.routing.api import select_available
from bronzerudder.tables import POOL_KIND, PoolRow


class Target(NamedTuple):
    """A backend server and the connection to its agent."""

    candidate: Candidate
    connection: AgentConnection


class PoolTargets:
    """The backend servers of one pool.

    Parameters
    ----------
    policy : RoutingPolicy
        Picks one of them for each request.
    limiter : RouteLimiter
        Receives the use of routes that the agents report.
    """

    def __init__(self, name: str, policy: RoutingPolicy, limiter: RouteLimiter) -> None:
        self._limiter = limiter
        self._name = name
        self._policy = policy
        self._targets: dict[str, Target] = {}
        self._group_breaker = Breaker()
        self._load_seen_at: dict[str, float] = {}

    @property
    def targets(self) -> tuple[Target, ...]:
        """All backend servers of the pool."""
        return tuple(self._targets.values())

    def update(self, row: PoolRow, agents: AgentPool) -> None:
        """Apply the pool's row; state of servers that are still listed is kept."""
        targets = {}
        for server in row["backend_servers"]:
            connection = agents.get(server["agent_address"])
            if connection is None:
                continue
            existing = self._targets.get(server["name"])
            if existing is not None and existing.connection is connection:
                targets[server["name"]] = existing
                continue
            breaker = self._group_breaker if "group" in row else None
            candidate = Candidate(server["name"], server["failure_domain"], breaker)
            targets[server["name"]] = Target(candidate, connection)
        self._targets = targets

    def pick(self, request: RoutedRequest, now_s: float) -> Target | NoCandidate:
        """Pick a backend server for a request."""
        self.refresh(now_s)
        candidates = [target.candidate for target in self._targets.values()]
        picked = self._policy.pick(candidates, request, now_s)
        if isinstance(picked, NoCandidate):
            return picked
        return self._targets[picked.name]

    def pick_for_key(
        self, digest: bytes, request: RoutedRequest, now_s: float
    ) -> Target | NoCandidate:
        """Pick the backend server whose agent should record the claim of an idempotency key."""
        self.refresh(now_s)
        candidates = [target.candidate for target in self._targets.values()]
        available = select_available(candidates, request, now_s)
        if isinstance(available, NoCandidate):
            return available
        names = preferred_agents(self._name, [candidate.name for candidate in available])
        return self._targets[names[shard_of(digest)]]

    def refresh(self, now_s: float) -> None:
        """Apply connection states and load reports received since the last call."""
        for name, target in self._targets.items():
            self._refresh(name, target, now_s)

    def _refresh(self, name: str, target: Target, now_s: float) -> None:
        state = target.connection.state
        if target.candidate.connected and not state.connected:
            self._limiter.forget(target.connection.address, now_s)
        target.candidate.connected = state.connected
        target.candidate.leaving = state.leaving
        if state.load_received_at == self._load_seen_at.get(name, 0.0):
            return
        self._load_seen_at[name] = state.load_received_at
        target.candidate.observe(_build_report(state.load), now_s)
        self._limiter.observe(target.connection.address, _build_uses(state.load), now_s)


class TargetTable:
    """The pools of the configuration in force.

    Parameters
    ----------
    agents : AgentPool
        Connections to the agents.
    build_policy : callable
        Creates the routing policy of a pool.
    limiter : RouteLimiter
        Receives the use of routes that the agents report.
    """

    def __init__(
        self,
        agents: AgentPool,
        build_policy: Callable[[PoolRow], RoutingPolicy],
        limiter: RouteLimiter,
    ) -> None:
        self._agents = agents
        self._limiter = limiter
        self._build_policy = build_policy
        self._pools: dict[str, PoolTargets] = {}

    def get(self, pool: str) -> PoolTargets | None:
        """Return a pool's backend servers."""
        return self._pools.get(pool)

    def update(self, snapshot: Snapshot) -> None:
        """Apply the configuration in force."""
        rows = _list_pools(snapshot)
        addresses = set()
        for row in rows.values():
            addresses.update(server["agent_address"] for server in row["backend_servers"])
        self._agents.use(addresses)
        for name in set(self._pools) - set(rows):
            del self._pools[name]
        for name, row in rows.items():
            if name not in self._pools:
                self._pools[name] = PoolTargets(name, self._build_policy(row), self._limiter)
            self._pools[name].update(row, self._agents)


def _list_pools(snapshot: Snapshot) -> dict[str, PoolRow]:
    pools = {}
    for key, row in snapshot.rows.items():
        if key.kind == POOL_KIND:
            pools[key.name] = decode_pool(row.value)
    return pools


def _build_report(load: pb.Load) -> LoadReport:
    return LoadReport(
        outstanding_requests=load.outstanding_requests,
        outstanding_tokens=load.outstanding_tokens,
        estimated_wait_s=load.estimated_wait_ms / 1000,
        token_rate=load.token_rate,
        backend_up=load.backend_up,
        group_stalled=load.group_stalled,
        cached_prefixes=frozenset(load.cached_prefixes),
    )


def _build_uses(load: pb.Load) -> list[tuple[str, RouteUse]]:
    return [
        (
            use.route,
            RouteUse(use.total_rate, use.own_rate, use.total_running, use.own_running, use.entries),
        )
        for use in load.route_uses
    ]
