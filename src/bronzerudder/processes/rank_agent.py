"""Runs a rank agent as a process."""

from __future__ import annotations

import functools
import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable

import anyio

from bronzerudder.cli.api import EXIT_OK
from bronzerudder.concurrency import supervise
from bronzerudder.expert_maps.agent import RankAgent
from bronzerudder.expert_maps.api import RankState
from bronzerudder.expert_maps.counts import AgentCounts, CounterName
from bronzerudder.expert_maps.shape import ExpertShape, MapBounds
from bronzerudder.http1 import HttpServer, Request, ResponseWriter, ServerLimits, listen
from bronzerudder.intake import HTTP1_PROCESS_SIZE, Intake, find_limits
from bronzerudder.observability.event_log import DEFAULT_LINES_PER_S, EventLog
from bronzerudder.observability.ignored_entries import IgnoredEntries
from bronzerudder.observability.refusal_log import RefusalLog
from bronzerudder.peers.datagrams import DatagramPort
from bronzerudder.peers.messages import RankLoad
from bronzerudder.peers.registry import GatewayRegistry
from bronzerudder.platform import wire
from bronzerudder.platform.configuration import decode_backend_server, decode_configuration
from bronzerudder.platform.errors import StoreError, StoreErrorKind
from bronzerudder.platform.object_api import RemoteObjectStore
from bronzerudder.platform.ranks import RankClient
from bronzerudder.settings.rank_agent import RankAgentSettings

SETTINGS = RankAgentSettings
FLUSH_INTERVAL_S = 0.5
METRICS_CONNECTIONS = 16
STEP_TARGET_FRACTION = 0.5
"""Fraction of the smallest target token gap that a step may take; the rest is for prefill."""
DEFAULT_GAP_S = 0.1
RequestHandler = Callable[[Request, ResponseWriter], Awaitable[None]]

LOAD_INTERVAL_S = 0.3
"""Interval at which an unchanged load is repeated, as datagrams may be lost."""


async def run(settings: RankAgentSettings) -> int:
    """Serve until SIGTERM or SIGINT."""
    async with anyio.create_task_group() as tasks:
        process = RankAgentProcess(settings, tasks)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            process.start()
            async for received in signals:
                if received is not signal.SIGHUP:
                    break
                process.log_reload()
        tasks.cancel_scope.cancel()
    process.close()
    return EXIT_OK


class RankAgentProcess:
    """Builds the components of one rank agent and runs them.

    Parameters
    ----------
    settings : RankAgentSettings
        Settings of the rank agent.
    tasks : TaskGroup
        Runs the background tasks.
    """

    def __init__(self, settings: RankAgentSettings, tasks: anyio.abc.TaskGroup) -> None:
        self._settings = settings
        self._tasks = tasks
        log = settings.get("log", {})
        self._log = EventLog(
            {"role": "rank-agent", "name": settings["agent_id"]},
            sys.stdout.fileno(),
            log.get("lines_per_s", DEFAULT_LINES_PER_S),
            log.get("sample_share", 1.0),
        )
        self._refusals = RefusalLog(functools.partial(self._log.failure, "request rejected", ""))
        self._intake = Intake(
            find_limits(settings.get("machine"), HTTP1_PROCESS_SIZE), self._record_refusal
        )
        self._ignored = IgnoredEntries(self._log, "backend server entry ignored")
        self._store = RemoteObjectStore(settings["store_address"])
        self._gateways = GatewayRegistry(self._store, self._log)
        self._datagrams = DatagramPort(f"{settings['peer_address'].rpartition(':')[0]}:0")
        self._reported_load: RankLoad | None = None
        self._reported_at_s = 0.0
        self._counts = AgentCounts()
        self._metrics: RequestHandler | None = None
        self._agent = RankAgent(
            RankClient(),
            settings["rank_address"],
            settings["peer_address"],
            self._store,
            self._read_shape,
            self._list_ranks,
            self._report_load,
            self._log,
            self._counts,
            tasks,
        )

    def start(self) -> None:
        """Start to serve rank reports and metrics, and to manage the rank."""
        record, intake = self._record_refusal, self._intake
        server = HttpServer(self._agent.handle, ServerLimits, record, intake)
        metrics_server = HttpServer(
            self._serve_metrics, ServerLimits, record, intake, METRICS_CONNECTIONS
        )
        self._tasks.start_soon(server.serve, listen(self._settings["peer_address"]))
        self._tasks.start_soon(metrics_server.serve, listen(self._settings["metrics_address"]))
        self._tasks.start_soon(supervise, "agent", self._agent.run)
        self._tasks.start_soon(supervise, "list of gateways", self._gateways.run)
        self._tasks.start_soon(supervise, "log", self._flush_log)
        self._log.state(
            "started",
            process=os.getpid(),
            rank=self._settings["rank_address"],
            **self._intake.limits._asdict(),
        )

    def log_reload(self) -> None:
        """Log a reload request; no setting changes while the process runs."""
        self._log.state("reload requested")

    def close(self) -> None:
        """Write the buffered lines of the log."""
        self._log.state("stopped")
        self._log.flush()

    def _record_refusal(self, status: int, reason: str) -> None:
        self._counts.increment(CounterName.REFUSALS, str(status))
        self._refusals.add(status, reason)

    def _report_load(self, state: RankState) -> None:
        """Send the load of the rank to the gateways when it changes, and periodically."""
        load = RankLoad(state.address, state.requests, state.is_open, state.pace, state.group)
        now_s = time.monotonic()
        changed = load != self._reported_load
        if not changed and now_s - self._reported_at_s < LOAD_INTERVAL_S:
            return
        self._counts.increment(CounterName.LOAD_UPDATES, "changed" if changed else "repeated")
        self._reported_load = load
        self._reported_at_s = now_s
        self._datagrams.send(load, self._gateways.addresses)

    async def _serve_metrics(self, request: Request, writer: ResponseWriter) -> None:
        if self._metrics is None:
            self._metrics = self._build_metrics()
        await self._metrics(request, writer)

    def _build_metrics(self) -> RequestHandler:
        # Imported on the first request, as the library takes memory and most agents never get one.
        from bronzerudder.expert_maps import metrics
        from bronzerudder.observability.metrics_page import MetricsHandler

        def read_gauges() -> metrics.AgentGauges:
            group_leader = self._agent.group_leader
            return metrics.AgentGauges(
                group_leader is not None,
                self._agent.term,
                0.0 if group_leader is None else group_leader.current_skew,
                self._agent.map_version,
                self._store.calls,
                self._log.dropped,
                self._intake.connections,
                self._intake.held_bytes,
            )

        return MetricsHandler(metrics.build_registry(self._counts, read_gauges))

    async def _read_shape(self) -> ExpertShape | StoreError:
        """Read the shape of the expert maps from the configuration."""
        stored = await self._store.get(wire.CONFIGURATION_KIND, wire.CONFIGURATION_NAME)
        if isinstance(stored, StoreError):
            return stored
        configuration = decode_configuration(stored.value)
        if isinstance(configuration, StoreError):
            return configuration
        service = configuration.services.get(self._settings["service"])
        if service is None or service.engine is None or not service.engine.sets:
            reason = f"service {self._settings['service']!r} has no engine with experts"
            return StoreError(StoreErrorKind.INVALID, reason)
        engine = service.engine
        bounds = MapBounds(engine.slots_per_rank, engine.loads_per_change)
        gaps = [route.gap_s for route in configuration.routes.values() if route.gap_s > 0]
        step_target_s = STEP_TARGET_FRACTION * min(gaps, default=DEFAULT_GAP_S)
        return ExpertShape(engine.sets, engine.experts, bounds, step_target_s, engine.expert_load_s)

    async def _list_ranks(self) -> tuple[str, ...]:
        """Read the addresses of the backend servers of the service."""
        listing = await self._store.list(wire.BACKEND_SERVER_KIND, stale=True)
        if isinstance(listing, StoreError):
            self._log.state("ranks not listed", reason=listing.reason)
            return ()
        self._ignored.keep({stored.name for stored in listing.objects})
        addresses = []
        for stored in listing.objects:
            server = decode_backend_server(stored.name, stored.value)
            if isinstance(server, StoreError):
                self._ignored.add(stored.name, server.reason)
                continue
            self._ignored.discard(stored.name)
            if server.service != self._settings["service"]:
                continue
            addresses.append(server.address)
        # A crashed backend server stays listed for a while next to its successor at that address.
        return tuple(dict.fromkeys(addresses))

    async def _flush_log(self) -> None:
        while True:
            await anyio.sleep(FLUSH_INTERVAL_S)
            self._refusals.write_due()
            self._log.flush()
