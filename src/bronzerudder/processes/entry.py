"""Runs an entry as a process, from its settings to the drain and the shutdown."""

from __future__ import annotations

import random
from typing import Any

import anyio
import grpc.aio
from prometheus_client import CollectorRegistry

from bronzerudder.agent import AgentPool
from bronzerudder.caller import CallerApp, CallerHeaders
from bronzerudder.cli.api import EXIT_OK
from bronzerudder.concurrency import supervise
from bronzerudder.configuration import SharedConfiguration
from bronzerudder.configuration.peer_service import ConfigurationPeerService
from bronzerudder.configuration.platform_source import PlatformConfigurationSource
from bronzerudder.dispatch import Dispatcher, TargetTable
from bronzerudder.observability import AdminApp, Tracing, configure_logs, log_event
from bronzerudder.observability.traces import DEFAULT_SAMPLE_RATIO
from bronzerudder.platform.follower import LeavingFollower
from bronzerudder.policy.limits import RecentUseLimiter
from bronzerudder.policy.retry import ShareBudget
from bronzerudder.policy.routing import TokenLoadRouting
from bronzerudder.processes.intake import OPERATOR_CONNECTIONS, ProcessIntake, grpc_bounds
from bronzerudder.processes.platform import open_store
from bronzerudder.processes.signals import set_on_termination
from bronzerudder.quarantine import QuarantineFeed
from bronzerudder.settings.entry import EntrySettings
from bronzerudder.web import announce_listening, bind_listener, format_address, serve_http

SETTINGS = EntrySettings
DEFAULT_MAX_BODY_BYTES = 4_000_000
DEFAULT_DRAIN_TIMEOUT_S = 30.0
DEFAULT_LEAVE_DELAY_S = 0.0
GRPC_STOP_TIMEOUT_S = 0.5
GRPC_OPTIONS = (("grpc.so_reuseport", 0),)


async def run(settings: EntrySettings) -> int:
    """Serve callers until a termination signal, then drain."""
    configure_logs("entry", settings["entry_id"])
    stopping = anyio.Event()
    async with anyio.create_task_group() as tasks:
        await tasks.start(set_on_termination, stopping)
        entry = EntryProcess(settings, tasks)
        await entry.start()
        await entry.serve_until(stopping)
        tasks.cancel_scope.cancel()
    await entry.close()
    return EXIT_OK


class EntryProcess:
    """Builds the components of one entry and runs them.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the entry.
    tasks : TaskGroup
        Runs the background tasks.
    """

    def __init__(self, settings: EntrySettings, tasks: anyio.abc.TaskGroup) -> None:
        self._settings = settings
        self._tasks = tasks
        self._leaving = False
        self._registry = CollectorRegistry()
        self._process_intake = ProcessIntake(settings.get("machine"), self._registry)
        self._intake = self._process_intake.intake
        self._tracing = Tracing(
            "entry",
            settings["entry_id"],
            settings.get("trace_sample_ratio", DEFAULT_SAMPLE_RATIO),
        )
        self._store = open_store(settings["platform"], settings["entry_id"])
        shared = SharedConfiguration()
        self._source = PlatformConfigurationSource(
            shared, self._store.objects, settings["entry_id"], tuple(settings.get("peers", ()))
        )
        self._peer_service = ConfigurationPeerService(shared, self._source)
        self._agents = AgentPool(
            settings["entry_id"], settings["failure_domain"], self._source, QuarantineFeed(), tasks
        )
        generator = random.Random()
        self._limiter = RecentUseLimiter(generator)
        self._targets = TargetTable(
            self._agents,
            lambda row: TokenLoadRouting(generator, settings["failure_domain"]),
            self._limiter,
        )
        self._app = self._build_app()
        bounds = grpc_bounds(self._intake.limits.peer_connections)
        self._server = grpc.aio.server(options=(*GRPC_OPTIONS, *bounds))

    async def start(self) -> None:
        """Start to follow the configuration and to serve it to peers."""
        self._peer_service.add_to(self._server)
        listener = self._settings["peer_listener"]
        self._peer_port = self._server.add_insecure_port(f"{listener['host']}:{listener['port']}")
        await self._server.start()
        self._tasks.start_soon(supervise, "configuration", self._source.run)
        self._tasks.start_soon(supervise, "configuration follower", self._follow_configuration)
        self._tasks.start_soon(supervise, "connection retirement", self._agents.retire_unwanted)
        follower = LeavingFollower(self._store.instances, self._agents.mark_leaving)
        self._tasks.start_soon(supervise, "instance list", follower.run)

    async def serve_until(self, stopping: anyio.Event) -> None:
        """Serve callers; after ``stopping`` and the leave delay, let requests in flight finish."""
        settings = self._settings
        listener = bind_listener(settings["listener"]["host"], settings["listener"]["port"])
        admin = bind_listener(
            settings["admin_listener"]["host"], settings["admin_listener"]["port"]
        )
        admin_app = AdminApp(self._registry, self._find_unready_reason, self._describe)
        closing = anyio.Event()
        self._tasks.start_soon(
            serve_http,
            admin_app,
            admin,
            anyio.Event(),
            GRPC_STOP_TIMEOUT_S,
            self._intake,
            OPERATOR_CONNECTIONS,
        )
        self._tasks.start_soon(supervise, "refusals", self._process_intake.run)
        self._tasks.start_soon(self._leave, stopping, closing)
        address = format_address(listener)
        announce_listening(
            address,
            admin_address=format_address(admin),
            peer_address=f"{settings['peer_listener']['host']}:{self._peer_port}",
        )
        log_event("listening", address=address)
        drain_timeout_s = settings.get("drain_timeout_s", DEFAULT_DRAIN_TIMEOUT_S)
        await serve_http(
            self._app,
            listener,
            closing,
            drain_timeout_s,
            self._intake,
            send_refusal=self._app.send_refusal,
        )
        log_event("drained")

    async def close(self) -> None:
        """Stop serving peers and close the connection to the platform."""
        await self._server.stop(GRPC_STOP_TIMEOUT_S)
        await self._store.client.close()
        self._tracing.close()

    def _build_app(self) -> CallerApp:
        names = self._settings.get("headers", {})
        headers = CallerHeaders(**{field: name.lower() for field, name in names.items()})
        dispatcher = Dispatcher(
            lambda: self._source.current,
            self._targets,
            self._limiter,
            ShareBudget,
            self._tracing,
        )
        max_body_bytes = self._settings.get("max_body_bytes", DEFAULT_MAX_BODY_BYTES)
        return CallerApp(dispatcher, headers, max_body_bytes, self._tracing, self._registry)

    async def _leave(self, stopping: anyio.Event, closing: anyio.Event) -> None:
        await stopping.wait()
        self._leaving = True
        delay_s = self._settings.get("leave_delay_s", DEFAULT_LEAVE_DELAY_S)
        log_event("leaving", delay_s=delay_s)
        await anyio.sleep(delay_s)
        closing.set()

    async def _follow_configuration(self) -> None:
        revision = 0
        while True:
            snapshot = await self._source.wait_newer(revision)
            revision = snapshot.revision
            self._targets.update(snapshot)

    def _find_unready_reason(self) -> str:
        if self._leaving:
            return "leaving"
        return "" if self._source.is_ready else "no configuration yet"

    def _describe(self) -> dict[str, Any]:
        return {
            "entry_id": self._settings["entry_id"],
            "revision": self._source.revision,
            "agents": {
                connection.address: connection.state.connected
                for connection in self._agents.connections
            },
        }
