"""The services that a gateway sends to: candidates, slot queue and retry budget of each."""

from __future__ import annotations

import random
import time
from typing import NamedTuple

from anyio.abc import TaskGroup

from bronzerudder.gateway.rank_groups import RankGroups
from bronzerudder.gateway.server_limits import ServerLimitKeeper
from bronzerudder.gateway.slot_queue import SlotQueue
from bronzerudder.gateway.tables import BackendServer, Service
from bronzerudder.http1 import ClientPool
from bronzerudder.observability.event_log import EventLog
from bronzerudder.peers.messages import RankLoad
from bronzerudder.policy.retry import BudgetDivision, FleetRetryBudget
from bronzerudder.policy.routing import Candidate, FreeSlotRouting, OutlierBreaker

MAX_LEAVING_STARTS = 4096
"""Starts of backend servers that are remembered as leaving; more than end within minutes."""


class RetryBudgetLimits(NamedTuple):
    """Limits of the retries that all gateways together may send to a service in any window.

    Parameters
    ----------
    share : float
        Retries per request of the window.
    extra : float
        Retries in addition; divided among the gateways.
    window_s : float
        Length of the window in seconds.
    """

    share: float
    extra: float
    window_s: float


class ServicePool:
    """Candidates, groups, slot queue and retry budget of one service at this gateway."""

    def __init__(
        self,
        name: str,
        retry: RetryBudgetLimits,
        division: BudgetDivision,
        limits: ServerLimitKeeper,
    ) -> None:
        self._name = name
        self._limits = limits
        self._candidates: dict[str, Candidate] = {}
        self._addresses: dict[str, str] = {}
        self._incarnations: dict[str, str] = {}
        self._by_address: dict[str, str] = {}
        self._leaving_starts: dict[str, None] = {}
        self._paused_until_s: dict[str, float] = {}
        self.groups = RankGroups()
        self.queue = SlotQueue(
            FreeSlotRouting(random.Random()),
            self._usable_candidates,
            lambda: tuple(self._candidates.values()),
            self._on_assigned,
            limits,
        )
        self._division = division
        self.budget = FleetRetryBudget(*retry, division)

    @property
    def name(self) -> str:
        """Name of the service."""
        return self._name

    @property
    def candidates(self) -> dict[str, Candidate]:
        """Backend servers by id."""
        return self._candidates

    def describe_budget(self, now_s: float) -> dict[str, object]:
        """Return log fields that tell what of the retry budget is spent and how it is divided.

        Parameters
        ----------
        now_s : float
            Time on the clock of the budget, in seconds.
        """
        return {
            "spent": self.budget.spent(now_s),
            "allowed": round(self.budget.spent(now_s) + self.budget.remaining(now_s), 2),
            "waiting": self.budget.waiting,
            "gateways": self._division.gateways(now_s),
            "part": round(self._division.part(now_s), 4),
            "list_age_s": round(self._division.list_age_s(now_s), 2),
        }

    def on_group_state(self, instance_id: str, group: str, is_open: bool) -> None:
        """Handle the report of a rank's agent of whether its group runs."""
        if self.groups.on_agent_report(instance_id, group, is_open):
            self.queue.assign_slots()

    def record_progress(self, instance_id: str) -> bool:
        """Record that a rank answered; return whether its group had been rejecting requests."""
        if not self.groups.group_of(instance_id).gate.record_progress():
            return False
        self.queue.assign_slots()
        return True

    def record_not_sent(self, instance_id: str) -> None:
        """Record that the request that was given a slot at a rank was not sent."""
        self.groups.group_of(instance_id).gate.record_not_sent()

    def _on_assigned(self, candidate: Candidate, now_s: float) -> None:
        self.groups.group_of(candidate.name).gate.record_sent(now_s)

    def _usable_candidates(self) -> tuple[Candidate, ...]:
        if not self.groups.in_lockstep:
            return tuple(self._candidates.values())
        now_s = time.monotonic()
        usable = []
        for candidate in self._candidates.values():
            if not self.groups.admits(candidate.name, now_s):
                continue
            candidate.slot_share = self.groups.group_of(candidate.name).bound.share(now_s)
            usable.append(candidate)
        return tuple(usable)

    def address_of(self, instance_id: str) -> str:
        """Address of a candidate."""
        return self._addresses[instance_id]

    def incarnation_of(self, instance_id: str) -> str:
        """Start of a candidate, as the platform lists it."""
        return self._incarnations.get(instance_id, instance_id)

    def find_address(self, address: str) -> str | None:
        """Id of the backend server at an address."""
        return self._by_address.get(address)

    def put(self, server: BackendServer) -> None:
        """Add or change a backend server."""
        self._by_address[server.address] = server.instance_id
        candidate = self._candidates.get(server.instance_id)
        if candidate is None:
            candidate = Candidate(server.instance_id, server.failure_domain, OutlierBreaker())
            self._candidates[server.instance_id] = candidate
            self.groups.add(server.instance_id)
        candidate.slots = server.slots
        candidate.leaving = server.leaving or server.incarnation in self._leaving_starts
        candidate.paused_until_s = self._paused_until_s.get(server.incarnation, 0.0)
        candidate.connected = True
        self._addresses[server.instance_id] = server.address
        if self.incarnation_of(server.instance_id) != server.incarnation:
            self._limits.forget(self.incarnation_of(server.instance_id))
        self._incarnations[server.instance_id] = server.incarnation
        gate = self._limits.gate(server.incarnation, self._name)
        gate.on_permit = self.queue.on_permit
        candidate.gate = gate
        self.queue.assign_slots()

    def record_leaving(self, instance_id: str, incarnation: str) -> bool:
        """Record that a start of a backend server leaves; return whether it was not known yet.

        The list may go on to call it ready, or lose it and list it again.
        """
        if incarnation in self._leaving_starts:
            return False
        self._leaving_starts[incarnation] = None
        if len(self._leaving_starts) > MAX_LEAVING_STARTS:
            del self._leaving_starts[next(iter(self._leaving_starts))]
        candidate = self._candidates.get(instance_id)
        if candidate is None or self._incarnations[instance_id] != incarnation:
            return False
        was_leaving = candidate.leaving
        candidate.leaving = True
        return not was_leaving

    def record_pause(self, instance_id: str, incarnation: str, pause_s: float) -> None:
        """Send nothing to a start of a backend server for a time, in seconds."""
        now_s = time.monotonic()
        for start, until_s in list(self._paused_until_s.items()):
            if until_s <= now_s:
                del self._paused_until_s[start]
        until_s = max(self._paused_until_s.get(incarnation, 0.0), now_s + pause_s)
        self._paused_until_s[incarnation] = until_s
        candidate = self._candidates.get(instance_id)
        if candidate is not None and self._incarnations[instance_id] == incarnation:
            candidate.paused_until_s = until_s

    def drop(self, instance_id: str) -> None:
        """Remove a backend server; requests that run there continue."""
        candidate = self._candidates.pop(instance_id, None)
        if candidate is not None:
            candidate.leaving = True
        incarnation = self._incarnations.pop(instance_id, instance_id)
        self._limits.forget(incarnation)
        self.groups.drop(instance_id)
        if incarnation == instance_id:
            # Without a start time, the next start under this id could not be told from this one.
            self._leaving_starts.pop(incarnation, None)
            self._paused_until_s.pop(incarnation, None)
        address = self._addresses.pop(instance_id, None)
        if address is not None and self._by_address.get(address) == instance_id:
            del self._by_address[address]

    def observe_load(self, instance_id: str, requests: int) -> None:
        """Record how many requests of all gateways a backend server has."""
        candidate = self._candidates.get(instance_id)
        if candidate is not None:
            candidate.observe_requests(requests, time.monotonic())


class ServiceTable:
    """All services.

    Parameters
    ----------
    retry : RetryBudgetLimits
        Retry budget of each service.
    connections : ClientPool
        Connections to backend servers; idle ones are closed when a server is removed.
    log : EventLog
        Takes a line when a backend server is excluded, suspected or has recovered.
    tasks : TaskGroup
        Runs the slot queues.
    limits : ServerLimitKeeper
        Limits that backend servers have named.
    division : BudgetDivision
        Divides the retry budget of each service among the gateways.
    """

    def __init__(
        self,
        retry: RetryBudgetLimits,
        connections: ClientPool,
        log: EventLog,
        tasks: TaskGroup,
        limits: ServerLimitKeeper,
        division: BudgetDivision,
    ) -> None:
        self._limits = limits
        self._division = division
        self._retry_limits = retry
        self._connections = connections
        self._log = log
        self._tasks = tasks
        self._pools: dict[str, ServicePool] = {}
        self._service_of: dict[str, str] = {}

    @property
    def limits(self) -> ServerLimitKeeper:
        """Limits that backend servers have named."""
        return self._limits

    def pool(self, service: str) -> ServicePool:
        """Pool of a service, empty if no backend server is listed."""
        pool = self._pools.get(service)
        if pool is None:
            pool = ServicePool(service, self._retry_limits, self._division, self._limits)
            self._pools[service] = pool
            self._tasks.start_soon(pool.queue.run)
        return pool

    def apply_services(self, services: dict[str, Service]) -> None:
        """Apply the services of a new configuration."""
        for name, service in services.items():
            engine = service.engine
            self.pool(name).groups.set_in_lockstep(engine is not None and engine.sets > 0)

    def set_retry_limits(self, retry: RetryBudgetLimits) -> None:
        """Change the retry budget of every service."""
        self._retry_limits = retry
        for pool in self._pools.values():
            pool.budget.set_limits(*retry)

    def put(self, server: BackendServer) -> None:
        """Add or change a backend server."""
        previous = self._service_of.get(server.instance_id)
        if previous is not None and previous != server.service:
            self._pools[previous].drop(server.instance_id)
        self._service_of[server.instance_id] = server.service
        self.pool(server.service).put(server)

    def drop(self, instance_id: str) -> None:
        """Remove a backend server."""
        service = self._service_of.pop(instance_id, None)
        if service is None:
            return
        pool = self._pools[service]
        self._connections.close_idle(pool.address_of(instance_id))
        pool.drop(instance_id)

    def find_pool(self, instance_id: str) -> ServicePool | None:
        """Pool of a backend server; None if it is not listed."""
        service = self._service_of.get(instance_id)
        return None if service is None else self._pools[service]

    def on_rank_load(self, message: RankLoad) -> None:
        """Handle a rank agent's load report."""
        for pool in self._pools.values():
            instance_id = pool.find_address(message.address)
            if instance_id is None:
                continue
            pool.on_group_state(instance_id, message.group, message.is_open)
            pool.observe_load(instance_id, message.requests)
            pool.candidates[instance_id].slowdown = message.pace
            pool.candidates[instance_id].agent_seen_at_s = time.monotonic()

    def record_leaving(self, instance_id: str, incarnation: str) -> None:
        """Send nothing more to a start of a backend server, which has announced that it leaves."""
        pool = self.find_pool(instance_id)
        if pool is not None and pool.record_leaving(instance_id, incarnation):
            self._log.state(
                "backend server announces that it leaves", instance=incarnation, service=pool.name
            )

    def record_pause(
        self, instance_id: str, incarnation: str, pause_s: float, malformed: str
    ) -> None:
        """Send nothing to a start of a backend server for the time that it has asked for.

        Parameters
        ----------
        malformed : str
            Values of the answer that are no valid time; they are only logged.
        """
        pool = self.find_pool(instance_id)
        if pool is None:
            return
        if pause_s > 0.0:
            pool.record_pause(instance_id, incarnation, pause_s)
        self._log.state(
            "backend server asks for a pause",
            instance=incarnation,
            service=pool.name,
            pause_s=round(pause_s, 3),
            malformed=malformed,
        )

    def exclude(self, instance_id: str, reason: str) -> None:
        """Exclude a backend server until its entry in the directory changes."""
        pool = self.find_pool(instance_id)
        if pool is None or not pool.candidates[instance_id].connected:
            return
        pool.candidates[instance_id].connected = False
        self._log.state(
            "backend server not used", instance=instance_id, service=pool.name, reason=reason
        )

    def report_failure(self, instance_id: str, reason: str, certain: bool) -> None:
        """Count a failure against a backend server; `certain` opens its breaker at once."""
        pool = self.find_pool(instance_id)
        if pool is None:
            return
        breaker = pool.candidates[instance_id].breaker
        now_s = time.monotonic()
        if isinstance(breaker, OutlierBreaker) and breaker.record_failure(now_s, certain):
            self._log.state(
                "backend server suspected",
                instance=instance_id,
                service=pool.name,
                reason=reason,
                failures=breaker.failures,
                for_s=round(breaker.retry_after_s(now_s), 2),
            )

    def report_success(self, instance_id: str) -> None:
        """Reset the failures of a backend server that has answered."""
        pool = self.find_pool(instance_id)
        if pool is None:
            return
        breaker = pool.candidates[instance_id].breaker
        if not isinstance(breaker, OutlierBreaker) or not breaker.failures:
            return
        breaker.record_success(time.monotonic())
        self._log.state("backend server recovered", instance=instance_id, service=pool.name)
