"""Bounds what an entry or an agent holds for its callers, and reports what it refuses."""

from __future__ import annotations

import functools

import anyio
from prometheus_client import CollectorRegistry, Counter, Gauge

from bronzerudder.intake import WEB_PROCESS_SIZE, Intake, find_limits
from bronzerudder.observability import log_event
from bronzerudder.observability.refusal_log import RefusalLog
from bronzerudder.settings.machine import MachineSettings

OPERATOR_CONNECTIONS = 16
"""Connections of the listener for operators; it has a few users."""
LOG_INTERVAL_S = 0.5
GRPC_HANDSHAKE_TIMEOUT_MS = 2_000
"""A connection that sends nothing is closed after it, as connections are limited in number."""


class ProcessIntake:
    """The intake of an entry or an agent, with its metrics and log lines.

    Parameters
    ----------
    machine : MachineSettings or None
        What the machine allows the process.
    registry : CollectorRegistry
        Registers the metrics.
    """

    def __init__(self, machine: MachineSettings | None, registry: CollectorRegistry) -> None:
        self._log = RefusalLog(functools.partial(log_event, "caller refused"))
        self._refused = Counter(
            "bronzerudder_callers_refused_total",
            "Callers refused for lack of room by status; 0 for connections that were closed.",
            ["status"],
            registry=registry,
        )
        self._intake = Intake(find_limits(machine, WEB_PROCESS_SIZE), self._record)
        connections = Gauge(
            "bronzerudder_caller_connections", "Open connections of callers.", registry=registry
        )
        connections.set_function(lambda: self._intake.connections)
        held = Gauge(
            "bronzerudder_caller_bytes",
            "Bytes held of requests, and of answers that callers have not taken yet.",
            registry=registry,
        )
        held.set_function(lambda: self._intake.held_bytes)

    @property
    def intake(self) -> Intake:
        """Bounds what the process holds."""
        return self._intake

    async def run(self) -> None:
        """Write the log lines that are due until cancelled."""
        while True:
            await anyio.sleep(LOG_INTERVAL_S)
            self._log.write_due()

    def _record(self, status: int, reason: str) -> None:
        self._refused.labels(str(status)).inc()
        self._log.add(status, reason)


def grpc_bounds(connections: int) -> tuple[tuple[str, int], ...]:
    """Return the options of a gRPC server that accepts at most so many connections."""
    return (
        ("grpc.max_allowed_incoming_connections", connections),
        ("grpc.server_handshake_timeout_ms", GRPC_HANDSHAKE_TIMEOUT_MS),
    )
