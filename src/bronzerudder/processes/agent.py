"""Runs an agent as a process, from its settings to the drain and the shutdown."""

from __future__ import annotations

import math
import secrets
from typing import TYPE_CHECKING, Any

import anyio
import grpc.aio
from prometheus_client import CollectorRegistry, Gauge

from bronzerudder.backend_server import HttpBackendServer
from bronzerudder.claims import StoredClaimRegister
from bronzerudder.claims.metrics import ClaimCollector
from bronzerudder.cli.api import EXIT_OK
from bronzerudder.concurrency import supervise
from bronzerudder.configuration import SharedConfiguration
from bronzerudder.configuration.peer_service import ConfigurationPeerService
from bronzerudder.configuration.peer_source import PeerConfigurationSource
from bronzerudder.entry import AgentIdentity, ExchangeService, Packing, SessionContext
from bronzerudder.entry.context import DEFAULT_MAX_FRAMES
from bronzerudder.execution import CrashGuard, Executor
from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.frames import exchange_pb2_grpc
from bronzerudder.frames.batches import MAX_MESSAGE_BYTES
from bronzerudder.observability import AdminApp, Tracing, configure_logs, log_event
from bronzerudder.observability.traces import DEFAULT_SAMPLE_RATIO
from bronzerudder.policy.admission import STALL_THRESHOLD_S, FairQueue, FairQueueLimits
from bronzerudder.processes.intake import OPERATOR_CONNECTIONS, ProcessIntake, grpc_bounds
from bronzerudder.processes.platform import open_store
from bronzerudder.processes.signals import set_on_termination
from bronzerudder.quarantine import QuarantineFeed
from bronzerudder.settings.agent import AgentSettings, BackendServerSettings
from bronzerudder.web import announce_listening, bind_listener, format_address, serve_http

if TYPE_CHECKING:
    from bronzerudder.processes.rank_group import RankGroupComponents

SETTINGS = AgentSettings
DEFAULT_DRAIN_TIMEOUT_S = 30.0
DEFAULT_SILENCE_TIMEOUT_S = 1.5
DEFAULT_MAX_WAIT_S = {"engine": 0.3, "service": 2.0}
GRPC_STOP_TIMEOUT_S = 0.5
INCARNATION_BITS = 63
GRPC_OPTIONS = (
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
)


async def run(settings: AgentSettings) -> int:
    """Serve entries until a termination signal, then drain."""
    configure_logs("agent", settings["agent_id"])
    stopping = anyio.Event()
    stopped = anyio.Event()
    async with anyio.create_task_group() as tasks:
        await tasks.start(set_on_termination, stopping)
        agent = AgentProcess(settings, tasks)
        await agent.start(stopped)
        await stopping.wait()
        await agent.drain()
        stopped.set()
        tasks.cancel_scope.cancel()
    await agent.close()
    return EXIT_OK


class AgentProcess:
    """Builds the components of one agent and runs them.

    Parameters
    ----------
    settings : AgentSettings
        Settings of the agent.
    tasks : TaskGroup
        Runs the background tasks.
    """

    def __init__(self, settings: AgentSettings, tasks: anyio.abc.TaskGroup) -> None:
        self._settings = settings
        self._tasks = tasks
        self._incarnation = secrets.randbits(INCARNATION_BITS) | 1
        self._tracing = Tracing(
            "agent",
            settings["agent_id"],
            settings.get("trace_sample_ratio", DEFAULT_SAMPLE_RATIO),
        )
        self._registry = CollectorRegistry()
        self._process_intake = ProcessIntake(settings.get("machine"), self._registry)
        self._intake = self._process_intake.intake
        self._backend_server = self._build_backend_server()
        self._store = open_store(settings["platform"], settings["agent_id"])
        self._register = StoredClaimRegister(
            self._store.objects, settings["pool"], self._incarnation, settings.get("claims", {})
        )
        ClaimCollector(self._register, self._registry)
        self._feed = QuarantineFeed()
        self._executor = self._build_executor()
        shared = SharedConfiguration()
        self._source = PeerConfigurationSource(
            shared, self._store.objects, settings["agent_id"], tuple(settings.get("peers", ()))
        )
        self._peer_service = ConfigurationPeerService(shared, self._source)
        identity = AgentIdentity(
            settings["agent_id"], settings["failure_domain"], self._incarnation
        )
        self._service = ExchangeService(
            SessionContext(
                identity, self._executor, self._source, self._feed, build_packing(settings)
            )
        )
        bounds = grpc_bounds(self._intake.limits.connections)
        self._server = grpc.aio.server(options=(*GRPC_OPTIONS, *bounds))
        self._rank_group = self._build_rank_group()

    async def start(self, stopped: anyio.Event) -> None:
        """Start to listen, and announce the addresses on standard output."""
        settings = self._settings
        exchange_pb2_grpc.add_AgentExchangeServicer_to_server(self._service, self._server)
        self._peer_service.add_to(self._server)
        self._tasks.start_soon(supervise, "configuration", self._source.run)
        if self._rank_group is not None:
            self._rank_group.start(self._server, self._tasks)
        host, port = settings["listener"]["host"], settings["listener"]["port"]
        bound_port = self._server.add_insecure_port(f"{host}:{port}")
        await self._server.start()
        admin = bind_listener(
            settings["admin_listener"]["host"], settings["admin_listener"]["port"]
        )
        app = AdminApp(self._registry, self._find_unready_reason, self._describe)
        self._tasks.start_soon(
            serve_http,
            app,
            admin,
            stopped,
            GRPC_STOP_TIMEOUT_S,
            self._intake,
            OPERATOR_CONNECTIONS,
        )
        self._tasks.start_soon(supervise, "refusals", self._process_intake.run)
        self._tasks.start_soon(supervise, "sweep", self._executor.sweep)
        watch = self._executor.watch_backend_server
        self._tasks.start_soon(supervise, "backend server watch", watch)
        self._tasks.start_soon(supervise, "claims", self._register.run)
        self._tasks.start_soon(supervise, "queue expiry", self._executor.expire_queue)
        announce_listening(f"{host}:{bound_port}", admin_address=format_address(admin))
        log_event("listening", address=f"{host}:{bound_port}", incarnation=self._incarnation)

    async def drain(self) -> None:
        """Refuse new requests and wait for unfinished ones, up to the drain timeout."""
        timeout_s = self._settings.get("drain_timeout_s", DEFAULT_DRAIN_TIMEOUT_S)
        self._executor.leave()
        leaving = pb.Leaving(time_left_ms=int(timeout_s * 1000))
        self._service.broadcast(pb.AgentFrame(leaving=leaving))
        log_event("draining", unfinished=self._executor.unfinished, timeout_s=timeout_s)
        with anyio.move_on_after(timeout_s):
            await self._executor.wait_drained()
            await self._register.flush()
        log_event("drained", unfinished=self._executor.unfinished)

    async def close(self) -> None:
        """Stop serving and close all connections."""
        await self._server.stop(GRPC_STOP_TIMEOUT_S)
        await self._backend_server.close()
        if self._rank_group is not None:
            await self._rank_group.close()
        await self._store.client.close()
        self._tracing.close()

    def _build_backend_server(self) -> HttpBackendServer:
        settings = self._settings["backend_server"]
        silence_timeout_s = None
        if settings["kind"] == "engine":
            silence_timeout_s = settings.get("silence_timeout_s", DEFAULT_SILENCE_TIMEOUT_S)
        return HttpBackendServer(settings["url"], silence_timeout_s)

    def _build_rank_group(self) -> RankGroupComponents | None:
        settings = self._settings.get("rank_group")
        if settings is None:
            return None
        # Imported here, so that only agents of lock-step groups load these modules.
        from bronzerudder.processes.rank_group import RankGroupComponents

        components = RankGroupComponents(settings, self._store.objects, self._incarnation)
        self._executor.watch_group(lambda: components.member.group_stalled)
        return components

    def _build_executor(self) -> Executor:
        settings = self._settings["backend_server"]
        executor = Executor(
            self._backend_server,
            settings["kind"] == "engine",
            FairQueue(settings["max_running"], _build_queue_limits(settings)),
            self._tasks,
            self._incarnation,
            self._tracing,
            self._register,
            CrashGuard(self._backend_server, self._feed, self._tasks, self._incarnation),
        )
        unfinished = Gauge(
            "bronzerudder_agent_requests_unfinished",
            "Attempts running, queued, or with an unacknowledged answer.",
            registry=self._registry,
        )
        unfinished.set_function(lambda: executor.unfinished)
        quarantined = Gauge(
            "bronzerudder_agent_requests_quarantined",
            "Fingerprints of requests quarantined after crashes of backend servers.",
            registry=self._registry,
        )
        quarantined.set_function(lambda: len(self._feed.ledger.offenders))
        return executor

    def _find_unready_reason(self) -> str:
        if self._executor.leaving:
            return "leaving"
        return "" if self._source.is_ready else "no configuration yet"

    def _describe(self) -> dict[str, Any]:
        group = {}
        if self._rank_group is not None:
            member = self._rank_group.member
            group = {
                "expert_map_version": member.active_version,
                "group_stalled": member.group_stalled,
            }
        return {
            **group,
            "agent_id": self._settings["agent_id"],
            "incarnation": self._incarnation,
            "revision": self._source.revision,
            "unfinished": self._executor.unfinished,
            "entries": [session.entry_id for session in self._service.sessions],
        }


def _build_queue_limits(settings: BackendServerSettings) -> FairQueueLimits:
    max_wait_s = settings.get("max_wait_s", DEFAULT_MAX_WAIT_S[settings["kind"]])
    # A plain service may pause within an answer for any length of time.
    stall_threshold_s = STALL_THRESHOLD_S if settings["kind"] == "engine" else math.inf
    return FairQueueLimits(settings["max_queued"], max_wait_s, stall_threshold_s=stall_threshold_s)


def build_packing(settings: AgentSettings) -> Packing:
    """Read how frames to entries are batched into messages."""
    packing = settings.get("packing", {})
    return Packing(
        packing.get("delay_ms", 0.0) / 1000, packing.get("max_frames", DEFAULT_MAX_FRAMES)
    )
