"""The gateway's process."""

from __future__ import annotations

import os
import random
import signal
import sys
import time

import anyio
from prometheus_client import CollectorRegistry

from bronzerudder.cli.api import EXIT_OK
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
from bronzerudder.gateway.services import RetryBudgetLimits, ServiceTable
from bronzerudder.gateway.spans import NoSpans, RecordedSpans, SpanSource
from bronzerudder.http1 import ClientPool, HttpServer, ServerLimits, listen
from bronzerudder.observability.event_log import DEFAULT_LINES_PER_S, EventLog
from bronzerudder.observability.metrics_page import MetricsHandler
from bronzerudder.peers.datagrams import DatagramPort
from bronzerudder.peers.messages import CrashSeen, Message, RankLoad
from bronzerudder.peers.registry import GatewayRegistry
from bronzerudder.platform import wire
from bronzerudder.platform.configuration import decode_backend_server, decode_configuration
from bronzerudder.platform.errors import StoreError
from bronzerudder.platform.object_api import RemoteObjectStore
from bronzerudder.settings import SettingsError
from bronzerudder.settings.file import SettingsFile
from bronzerudder.settings.gateway import GatewaySettings

SETTINGS = GatewaySettings
HOUSEKEEPING_INTERVAL_S = 0.25
OUT_OF_ROTATION_S = 2.6
"""The balancer asks each second and takes an instance out after two misses."""
STOP_MARGIN_S = 0.3
"""Left of the grace time for closing; SIGKILL follows at its end."""
DRAIN_CHECK_INTERVAL_S = 0.02
FIXED_SETTINGS = (
    "gateway_id",
    "failure_domain",
    "caller_address",
    "ready_address",
    "metrics_address",
    "peer_address",
)
"""Settings that take a restart to change."""
FRESH_S = 2 * WATCH_S
"""A store that has not answered for two watches may have newer versions."""
CONFIRM_TIMEOUT_S = 0.3
"""A denial is held up for no longer than this to read the newest configuration."""


async def run(settings: GatewaySettings, file: SettingsFile) -> int:
    """Serve callers until told to stop and drained."""
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
    """The parts of one gateway.

    Parameters
    ----------
    settings : GatewaySettings
        Its settings.
    file : SettingsFile
        Where they were read; followed for changes.
    tasks : TaskGroup
        Runs everything.
    """

    def __init__(
        self, settings: GatewaySettings, file: SettingsFile, tasks: anyio.abc.TaskGroup
    ) -> None:
        self._settings = settings
        self._file = file
        self._tasks = tasks
        self._leaving = False
        self._stood_still = False
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
        self._connections = ClientPool()
        retry = _retry_terms(settings)
        self._services = ServiceTable(retry, self._connections, self._log, tasks)
        self._configuration = ConfigurationHolder(
            wire.CONFIGURATION_NAME, decode_configuration, self._note_configuration, self._log
        )
        self._directory = BackendDirectory(
            decode_backend_server, self._services.put, self._services.drop, self._log
        )
        self._configuration_follower = KindFollower(
            self._store,
            wire.CONFIGURATION_KIND,
            self._configuration,
            self._log,
            self._note_known,
        )
        self._directory_follower = KindFollower(
            self._store,
            wire.BACKEND_SERVER_KIND,
            self._directory,
            self._log,
            self._note_known,
        )
        self._started = anyio.Event()
        self._crashes = CrashWatch(settings["gateway_id"], self._tell_crash, self._log)
        shared = GatewayContext(
            self._services,
            self._connections,
            {},
            self._crashes,
            self._metrics,
            self._log,
            self._make_spans(),
        )
        handler = GatewayHandler(
            shared, self._configuration, self._confirm_current, random.Random(), self._started
        )
        self._server = HttpServer(handler, self._limits, self._note_rejected)
        self._standstill = SuspensionDetector()
        self._registry_of_gateways = GatewayRegistry(self._store, self._log)
        self._peers = DatagramPort(settings["peer_address"])

    def _make_spans(self) -> SpanSource:
        share = self._settings.get("traces", {}).get("share", 0.0)
        if not share:
            return NoSpans()
        return RecordedSpans(self._settings["gateway_id"], share, self._log.state)

    def start(self) -> None:
        """Follow the store and serve."""
        settings = self._settings
        readiness = ReadinessHandler(wire.READY_PATH, self._find_unready_reason)
        metrics = MetricsHandler(self._registry, self._refresh_metrics)
        ready_server = HttpServer(readiness, ServerLimits)
        metrics_server = HttpServer(metrics, ServerLimits)
        follow = self._configuration_follower.run
        self._tasks.start_soon(supervise, "configuration", follow)
        self._tasks.start_soon(supervise, "directory", self._directory_follower.run)
        self._tasks.start_soon(self._server.serve, listen(settings["caller_address"]))
        self._tasks.start_soon(ready_server.serve, listen(settings["ready_address"]))
        self._tasks.start_soon(metrics_server.serve, listen(settings["metrics_address"]))
        self._tasks.start_soon(self._registry_of_gateways.register, settings["peer_address"])
        self._tasks.start_soon(supervise, "list of gateways", self._registry_of_gateways.run)
        self._tasks.start_soon(supervise, "peers", self._take_messages)
        self._tasks.start_soon(supervise, "housekeeping", self._keep_house)
        self._log.state("started", process=os.getpid(), store=settings["store_address"])

    async def drain(self) -> None:
        """Leave the rotation, answer what has come, and return when nothing is left."""
        started_s = time.monotonic()
        self._leaving = True
        self._server.close_after_answers()
        self._log.state("stopping", busy=self._server.busy)
        end_s = started_s + self._settings["grace_s"] - STOP_MARGIN_S
        await anyio.sleep(OUT_OF_ROTATION_S)
        self._server.stop_accepting()
        self._log.state("closed to new connections", busy=self._server.busy)
        while time.monotonic() < end_s:
            if not self._server.busy:
                break
            await anyio.sleep(DRAIN_CHECK_INTERVAL_S)
        with anyio.move_on_after(STOP_MARGIN_S / 2):
            await self._registry_of_gateways.unregister(self._settings["peer_address"])
        self._log.state("stopped", busy=self._server.busy)

    def reload(self) -> None:
        """Take over what has changed in the settings file and can change in a running process."""
        changed = self._file.read_change()
        if changed is None:
            return
        if isinstance(changed, SettingsError):
            self._log.state("settings rejected, the last ones stay in force", reason=str(changed))
            return
        fixed = [name for name in FIXED_SETTINGS if changed[name] != self._settings[name]]
        self._settings = changed
        self._services.set_retry(_retry_terms(changed))
        self._store.set_address(changed["store_address"])
        self._log.state("settings reloaded", store=changed["store_address"], need_restart=fixed)

    def close(self) -> None:
        """Write the last lines of the log."""
        self._log.flush()

    async def _take_messages(self) -> None:
        await self._peers.run(self._take_message)

    def _take_message(self, message: Message) -> None:
        if isinstance(message, RankLoad):
            self._services.on_rank_load(message)
            return
        self._crashes.add_report(message)

    def _tell_crash(self, crash: CrashSeen) -> None:
        own = self._settings["peer_address"]
        others = [address for address in self._registry_of_gateways.addresses if address != own]
        self._peers.send(crash, others)

    def _limits(self) -> ServerLimits:
        current = self._configuration.current
        return ServerLimits() if current is None else current.limits

    def _note_known(self) -> None:
        if not self._find_unready_reason():
            self._started.set()

    def _note_configuration(self) -> None:
        current = self._configuration.current
        if current is not None:
            self._metrics.configuration_version.set(current.version)
            self._services.apply_services(current.services)
            self._note_known()

    def _note_rejected(self, status: int, reason: str) -> None:
        self._metrics.requests.labels("", str(status), "not-run").inc()
        self._log.failure("request rejected", "", status=status, reason=reason)

    def _find_unready_reason(self) -> str:
        if self._leaving:
            return "leaving"
        if self._configuration.current is None:
            return "no configuration yet"
        if not self._directory_follower.known:
            return "no list of backend servers yet"
        return ""

    async def _confirm_current(self) -> bool:
        """Read the configuration anew where what is known may be old."""
        self._note_standstill()
        follower = self._configuration_follower
        if not self._stood_still and not follower.lost and follower.age_s() < FRESH_S:
            return True
        with anyio.move_on_after(CONFIRM_TIMEOUT_S):
            stored = await self._store.get(wire.CONFIGURATION_KIND, wire.CONFIGURATION_NAME)
            if isinstance(stored, StoreError):
                self._log.state("configuration not confirmed", reason=stored.reason)
                return False
            self._configuration.apply_value(stored.value)
            self._stood_still = False
            return True
        return False

    def _note_standstill(self) -> None:
        stood_s = self._standstill.check()
        if stood_s:
            self._stood_still = True
            self._log.state("machine stood still", for_s=round(stood_s, 2))

    async def _keep_house(self) -> None:
        while True:
            before_s = time.monotonic()
            await anyio.sleep(HOUSEKEEPING_INTERVAL_S)
            lag_s = time.monotonic() - before_s - HOUSEKEEPING_INTERVAL_S
            self._metrics.loop_lag_s.observe(max(0.0, lag_s))
            self._note_standstill()
            self.reload()
            self._directory.drop_missing()
            self._services.set_gateways(len(self._registry_of_gateways.addresses))
            self._connections.sweep()
            self._crashes.repeat_reports()
            self._log.flush()

    def _refresh_metrics(self) -> None:
        self._metrics.configuration_age_s.set(self._configuration_follower.age_s())
        self._metrics.store_calls.set(self._store.calls)
        self._metrics.connections_opened.set(self._connections.opened)
        self._metrics.log_lines_dropped.set(self._log.dropped)


def _retry_terms(settings: GatewaySettings) -> RetryBudgetLimits:
    budget = settings["retry_budget"]
    return RetryBudgetLimits(budget["share"], budget["extra"], budget["window_s"])
