"""Runs a gateway as a process, from its settings to the drain and the shutdown."""

from __future__ import annotations

import functools
import os
import random
import signal
import sys
import time

import anyio
from prometheus_client import CollectorRegistry

from bronzerudder.cli.api import EXIT_OK
from bronzerudder.clock import elapsed_s
from bronzerudder.concurrency import supervise
from bronzerudder.gateway.admin import ReadinessHandler
from bronzerudder.gateway.clock import SuspensionDetector
from bronzerudder.gateway.configuration import ConfigurationHolder
from bronzerudder.gateway.crash_watch import CrashWatch
from bronzerudder.gateway.directory import BackendDirectory
from bronzerudder.gateway.follower import WATCH_S, KindFollower
from bronzerudder.gateway.forwarding import GatewayContext
from bronzerudder.gateway.handler import GatewayHandler
from bronzerudder.gateway.metrics import GatewayMetrics
from bronzerudder.gateway.planned_stop import PlannedStop
from bronzerudder.gateway.server_limits import ServerLimitKeeper
from bronzerudder.gateway.services import RetryBudgetLimits, ServiceTable
from bronzerudder.gateway.spans import NoSpans, RecordedSpans, SpanSource
from bronzerudder.http1 import ClientPool, Handler, HttpServer, ServerLimits, listen
from bronzerudder.intake import HTTP1_PROCESS_SIZE, Intake, find_limits
from bronzerudder.observability.event_log import DEFAULT_LINES_PER_S, EventLog
from bronzerudder.observability.metrics_page import MetricsHandler
from bronzerudder.observability.refusal_log import RefusalLog
from bronzerudder.peers.crash_archive import CrashArchive
from bronzerudder.peers.datagrams import DatagramPort
from bronzerudder.peers.messages import CrashDigest, Message, RankLoad, ServerLimitMessage
from bronzerudder.peers.messenger import DatagramMessenger
from bronzerudder.peers.registry import GatewayRegistry
from bronzerudder.platform import wire
from bronzerudder.platform.configuration import decode_backend_server, decode_configuration
from bronzerudder.platform.errors import StoreError
from bronzerudder.platform.object_api import RemoteObjectStore
from bronzerudder.policy.retry import LeasedDivision
from bronzerudder.settings import SettingsError
from bronzerudder.settings.file import SettingsFile
from bronzerudder.settings.gateway import GatewaySettings

SETTINGS = GatewaySettings
MAINTENANCE_INTERVAL_S = 0.25
OPERATOR_CONNECTIONS = 16
"""Connections of the readiness check, and of the metrics page; each has a few users."""
OUT_OF_ROTATION_S = 2.6
"""The load balancer in front polls once a second and removes an instance after two failed polls."""
STOP_MARGIN_S = 0.3
"""Reserved at the end of the grace period for closing, before SIGKILL follows."""
FINAL_ANSWERS_S = 0.1
"""Part of this margin for the answers to requests that had to be ended."""
DRAIN_CHECK_INTERVAL_S = 0.02
FIXED_SETTINGS = (
    "gateway_id",
    "failure_domain",
    "caller_address",
    "ready_address",
    "metrics_address",
    "peer_address",
    "machine",
)
"""Settings that change only with a restart."""
MAX_AGE_S = 2 * WATCH_S
"""After two watches without an answer, the store may hold a newer version."""
CONFIRM_TIMEOUT_S = 0.3
"""Limits how long reading the newest configuration delays a refusal."""


async def run(settings: GatewaySettings, file: SettingsFile) -> int:
    """Serve callers until SIGTERM or SIGINT, then drain; SIGHUP reloads the settings."""
    async with anyio.create_task_group() as tasks:
        process = GatewayProcess(settings, file, tasks)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            process.start()
            async for received in signals:
                if received is signal.SIGHUP:
                    process.reload()
                    continue
                break
            await process.drain()
        tasks.cancel_scope.cancel()
    process.close()
    return EXIT_OK


class GatewayProcess:
    """Builds the components of one gateway and runs them.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the gateway.
    file : SettingsFile
        File they were read from; checked for changes.
    tasks : TaskGroup
        Runs the background tasks.
    """

    def __init__(
        self, settings: GatewaySettings, file: SettingsFile, tasks: anyio.abc.TaskGroup
    ) -> None:
        self._settings = settings
        self._file = file
        self._tasks = tasks
        self._leaving = False
        self._was_suspended = False
        self._has_retry_part = False
        log = settings.get("log", {})
        self._log = EventLog(
            {"role": "gateway", "name": settings["gateway_id"]},
            sys.stdout.fileno(),
            log.get("lines_per_s", DEFAULT_LINES_PER_S),
            log.get("sample_share", 1.0),
        )
        self._registry = CollectorRegistry()
        self._metrics = GatewayMetrics(self._registry)
        self._store = RemoteObjectStore(settings["store_address"])
        self._refusals = RefusalLog(functools.partial(self._log.failure, "request rejected", ""))
        limits = find_limits(settings.get("machine"), HTTP1_PROCESS_SIZE)
        self._intake = Intake(limits, self._record_closed)
        self._connections = ClientPool(
            max_idle=limits.peer_connections, max_buffered_bytes=limits.answer_bytes
        )
        retry = _read_retry_budget(settings)
        self._division = LeasedDivision(settings["peer_address"], retry.window_s)
        self._gateways = GatewayRegistry(self._store, self._log, self._division)
        self._peers = DatagramPort(settings["peer_address"])
        messenger = DatagramMessenger(self._peers, self._gateways, settings["peer_address"])
        self._server_limits = ServerLimitKeeper(messenger, self._log, self._metrics)
        self._services = ServiceTable(
            retry, self._connections, self._log, tasks, self._server_limits, self._division
        )
        self._configuration = ConfigurationHolder(
            wire.CONFIGURATION_NAME, decode_configuration, self._on_configuration_change, self._log
        )
        self._directory = BackendDirectory(
            decode_backend_server, self._services.put, self._services.drop, self._log
        )
        self._configuration_follower = KindFollower(
            self._store,
            wire.CONFIGURATION_KIND,
            self._configuration,
            self._log,
            self._set_started_if_ready,
        )
        self._directory_follower = KindFollower(
            self._store,
            wire.BACKEND_SERVER_KIND,
            self._directory,
            self._log,
            self._set_started_if_ready,
        )
        self._started = anyio.Event()
        self._crashes = CrashWatch(settings["gateway_id"], messenger, self._log, tasks)
        self._archive = CrashArchive(
            self._store,
            self._crashes.find_crashes_to_keep,
            self._crashes.add_report,
            self._log,
        )
        self._stop = PlannedStop()
        context = GatewayContext(
            self._services,
            self._connections,
            self._crashes,
            self._metrics,
            self._log,
            self._build_spans(),
            self._stop,
        )
        handler = GatewayHandler(
            context, self._configuration, self._confirm_current, random.Random(), self._started
        )
        self._server = HttpServer(handler, self._limits, self._record_rejection, self._intake)
        self._suspension_detector = SuspensionDetector()

    def _build_spans(self) -> SpanSource:
        share = self._settings.get("traces", {}).get("share", 0.0)
        if not share:
            return NoSpans()
        return RecordedSpans(self._settings["gateway_id"], share, self._log.state)

    def start(self) -> None:
        """Start to follow the store and to serve callers, readiness, metrics and peers."""
        settings = self._settings
        readiness = ReadinessHandler(wire.READY_PATH, self._find_unready_reason)
        metrics = MetricsHandler(self._registry, self._refresh_metrics)
        ready_server = self._build_operator_server(readiness)
        metrics_server = self._build_operator_server(metrics)
        follow = self._configuration_follower.run
        self._tasks.start_soon(supervise, "configuration", follow)
        self._tasks.start_soon(supervise, "directory", self._directory_follower.run)
        self._tasks.start_soon(self._server.serve, listen(settings["caller_address"]))
        self._tasks.start_soon(ready_server.serve, listen(settings["ready_address"]))
        self._tasks.start_soon(metrics_server.serve, listen(settings["metrics_address"]))
        self._tasks.start_soon(self._gateways.register, settings["peer_address"])
        self._tasks.start_soon(supervise, "list of gateways", self._gateways.run)
        self._tasks.start_soon(supervise, "crash archive", self._archive.run)
        self._tasks.start_soon(supervise, "peers", self._receive_messages)
        self._tasks.start_soon(supervise, "housekeeping", self._run_maintenance)
        self._log.state(
            "started",
            process=os.getpid(),
            store=settings["store_address"],
            **self._intake.limits._asdict(),
        )

    def _build_operator_server(self, handler: Handler) -> HttpServer:
        return HttpServer(
            handler, ServerLimits, self._record_rejection, self._intake, OPERATOR_CONNECTIONS
        )

    async def drain(self) -> None:
        """Leave the rotation and wait for requests in flight, within the grace period."""
        started_s = time.monotonic()
        self._leaving = True
        self._server.close_after_answers()
        self._log.state("stopping", busy=self._server.busy)
        end_s = started_s + self._settings["grace_s"] - STOP_MARGIN_S
        await anyio.sleep(OUT_OF_ROTATION_S)
        self._server.stop_accepting()
        # Requests can still come on connections that had begun one.
        self._stop.begin(end_s)
        self._log.state("closed to new connections", busy=self._server.busy)
        await self._wait_until_idle(end_s)
        if self._server.busy:
            self._log.state("ending the requests that still run", busy=self._server.busy)
            self._stop.end()
            await self._wait_until_idle(end_s + FINAL_ANSWERS_S)
        with anyio.move_on_after(STOP_MARGIN_S / 2):
            await self._gateways.unregister(self._settings["peer_address"])
        self._log.state("stopped", busy=self._server.busy)

    async def _wait_until_idle(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            if not self._server.busy:
                return
            await anyio.sleep(DRAIN_CHECK_INTERVAL_S)

    def reload(self) -> None:
        """Apply changes of the settings file, except to settings that need a restart."""
        changed = self._file.read_change()
        if changed is None:
            return
        if isinstance(changed, SettingsError):
            self._log.state("settings rejected, previous ones stay in force", reason=str(changed))
            return
        fixed = [name for name in FIXED_SETTINGS if changed.get(name) != self._settings.get(name)]
        self._settings = changed
        retry = _read_retry_budget(changed)
        self._division.set_window(retry.window_s)
        self._services.set_retry_limits(retry)
        self._store.set_address(changed["store_address"])
        self._log.state("settings reloaded", store=changed["store_address"], need_restart=fixed)

    def close(self) -> None:
        """Write the buffered lines of the log."""
        self._log.flush()

    async def _receive_messages(self) -> None:
        await self._peers.run(self._on_message)

    def _on_message(self, message: Message) -> None:
        if isinstance(message, RankLoad):
            self._services.on_rank_load(message)
            return
        if isinstance(message, ServerLimitMessage):
            self._server_limits.on_message(message)
            return
        if isinstance(message, CrashDigest):
            self._server_limits.record_peer(message.address)
        self._crashes.on_message(message)

    def _limits(self) -> ServerLimits:
        current = self._configuration.current
        return ServerLimits() if current is None else current.limits

    def _set_started_if_ready(self) -> None:
        if not self._find_unready_reason():
            self._started.set()

    def _on_configuration_change(self) -> None:
        current = self._configuration.current
        if current is not None:
            self._metrics.configuration_version.set(current.version)
            self._services.apply_services(current.services)
            self._set_started_if_ready()

    def _record_rejection(self, status: int, reason: str) -> None:
        self._metrics.requests.labels("", str(status), "not-run").inc()
        self._refusals.add(status, reason)

    def _record_closed(self, status: int, reason: str) -> None:
        self._metrics.callers_closed.inc()
        self._refusals.add(status, reason)

    def _find_unready_reason(self) -> str:
        if self._leaving:
            return "leaving"
        if self._configuration.current is None:
            return "no configuration yet"
        if not self._directory_follower.was_listed:
            return "no list of backend servers yet"
        return ""

    async def _confirm_current(self) -> bool:
        """Return whether the configuration is current; read it again if it may be outdated."""
        self._check_suspension()
        follower = self._configuration_follower
        if not self._was_suspended and not follower.store_lost and follower.age_s() < MAX_AGE_S:
            return True
        with anyio.move_on_after(CONFIRM_TIMEOUT_S):
            stored = await self._store.get(wire.CONFIGURATION_KIND, wire.CONFIGURATION_NAME)
            if isinstance(stored, StoreError):
                self._log.state("configuration not confirmed", reason=stored.reason)
                return False
            if not self._configuration.apply_value(stored.value):
                return False
            self._was_suspended = False
            return True
        return False

    def _check_suspension(self) -> None:
        suspended_s = self._suspension_detector.check()
        if suspended_s:
            self._was_suspended = True
            self._log.state("instance was suspended", for_s=round(suspended_s, 2))

    async def _run_maintenance(self) -> None:
        while True:
            before_s = time.monotonic()
            await anyio.sleep(MAINTENANCE_INTERVAL_S)
            lag_s = time.monotonic() - before_s - MAINTENANCE_INTERVAL_S
            self._metrics.loop_lag_s.observe(max(0.0, lag_s))
            self._check_suspension()
            self.reload()
            self._directory.drop_missing()
            self._log_retry_part()
            self._server_limits.set_gateways(self._gateways.addresses)
            self._server_limits.maintain()
            self._connections.sweep()
            self._crashes.maintain()
            self._refusals.write_due()
            self._log.flush()

    def _log_retry_part(self) -> None:
        """Log that this gateway got or lost its part of the retry budget that is divided."""
        now_s = elapsed_s()
        has_part = self._division.part(now_s) > 0.0
        if has_part == self._has_retry_part:
            return
        self._has_retry_part = has_part
        self._log.state(
            "part of the retry budget changed",
            part=round(self._division.part(now_s), 4),
            gateways=self._division.gateways(now_s),
            list_age_s=round(self._division.list_age_s(now_s), 2),
        )

    def _refresh_metrics(self) -> None:
        self._metrics.configuration_age_s.set(self._configuration_follower.age_s())
        self._metrics.store_calls.set(self._store.calls)
        self._metrics.connections_opened.set(self._connections.opened)
        self._metrics.buffered_bytes.set(self._connections.buffered_bytes)
        self._metrics.caller_connections.set(self._intake.connections)
        self._metrics.caller_bytes.set(self._intake.held_bytes)
        self._metrics.log_lines_dropped.set(self._log.dropped)


def _read_retry_budget(settings: GatewaySettings) -> RetryBudgetLimits:
    budget = settings["retry_budget"]
    return RetryBudgetLimits(budget["share"], budget["extra"], budget["window_s"])
