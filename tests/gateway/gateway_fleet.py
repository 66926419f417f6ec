"""Runs several gateways in one process, before the same stand-ins of backend servers."""

from __future__ import annotations

import asyncio
import itertools
import random
import time

from bronzerudder.clock import elapsed_s
from bronzerudder.gateway.services import RetryBudgetLimits
from bronzerudder.http1 import listen
from bronzerudder.peers.messages import (
    CrashDigest,
    CrashSeen,
    ServerLimitMessage,
    encode_message,
)
from bronzerudder.peers.messenger import GatewayMessenger
from bronzerudder.policy.retry import LeasedDivision
from bronzerudder.processes.gateway import MAINTENANCE_INTERVAL_S
from bronzerudder.standin.fleet import Behaviour, CrashPlan, StandinBackendServer
from bronzerudder.standin.fleet.backend_server import EVENT_GAP_S
from tests.gateway.harness import GatewayHarness, make_configuration, make_route

BAD_PART = "bad0"
CRASH_PLAN = CrashPlan(frozenset({BAD_PART}), down_s=0.3, new_instance=True)
STALL_S = 0.2
FOREVER_S = 60.0
ANSWER_TIMEOUT_S = 10.0
ROUTE = make_route("stream", "streaming", resumable=True, timeout_ms=8000)
RETRY = RetryBudgetLimits(0.2, 1000.0, 10.0)


class GatewayFleet:
    """Gateways that exchange messages; call `start` in asyncSetUp and `stop` as a cleanup.

    With `leased`, gateways divide the retry budget by the list of gateways that they read. The
    first ones have been listed for long, as if they had run before.

    Attributes
    ----------
    gateways : list of GatewayHarness
        In the order of their start.
    cut_off : set of str
        Names of the gateways that neither send nor receive messages.
    largest_message : int
        Bytes of the largest message sent.
    cut_streams : int
        Streams that ranks reset because another one crashed.
    links : MessageLinks
        Delays and loses the messages about the limits of backend servers.
    """

    def __init__(
        self,
        gateways: int = 3,
        servers: int = 6,
        in_lockstep: bool = False,
        routes: list[dict] | None = None,
        retry: RetryBudgetLimits = RETRY,
        leased: bool = False,
    ) -> None:
        self._routes = routes or [ROUTE]
        self._retry = retry
        self._leased = leased
        self.links = MessageLinks()
        self._in_lockstep = in_lockstep
        self._stalls: list[asyncio.Task] = []
        self._gateway_count = gateways
        self.gateways: list[GatewayHarness] = []
        self.backend_servers = [StandinBackendServer(f"i-{number}") for number in range(servers)]
        self.cut_off: set[str] = set()
        self.largest_message = 0
        self.cut_streams = 0
        self._addresses: dict[str, str] = {}
        self._serving: list[asyncio.Task] = []
        self._listeners = []
        self._maintaining: list[asyncio.Task] = []
        self._numbers = itertools.count()
        self._arrivals_seen = 0

    @property
    def crashes(self) -> list[float]:
        """Monotonic times of all crashes."""
        return sorted(at_s for server in self.backend_servers for at_s in server.crash_at_s)

    @property
    def bad_arrivals(self) -> list[float]:
        """Monotonic times at which requests with the bad part reached backend servers."""
        return sorted(
            arrival.at_s for server in self.backend_servers for arrival in server.crashing_arrivals
        )

    async def start(self) -> None:
        """Start all backend servers and gateways."""
        for server in self.backend_servers:
            listener = listen("127.0.0.1:0")
            self._listeners.append(listener)
            self._serving.append(asyncio.create_task(server.server.serve(listener)))
            self._addresses[server.instance_id] = f"127.0.0.1:{listener.getsockname()[1]}"
            server.on_new_instance = self._make_relisting(server)
        self.set_crash_plan(CRASH_PLAN)
        for _ in range(self._gateway_count):
            await self.add_gateway()

    def set_crash_plan(self, plan: CrashPlan) -> None:
        """Set which requests crash the backend servers, and how."""
        for server in self.backend_servers:
            server.crash_plan = plan

    def is_quiet(self) -> bool:
        """Whether the last request with the bad part has not reached a backend server."""
        quiet = len(self.bad_arrivals) == self._arrivals_seen
        self._arrivals_seen = len(self.bad_arrivals)
        return quiet

    async def add_gateway(self, is_listed: bool = True) -> GatewayHarness:
        """Start another gateway, which knows nothing yet.

        It knows of all the others; they know of it once it is listed.
        """
        gateway = await self._start_gateway(f"g-{len(self.gateways)}")
        self.gateways.append(gateway)
        if isinstance(gateway.division, LeasedDivision):
            gateway.division.record_list([gateway.name], 0.0, 0.0)
        gateway.limits.set_gateways([item.name for item in self.gateways])
        if is_listed:
            self.update_registry()
        return gateway

    async def restart_gateway(self, index: int) -> None:
        """Stop a gateway, and start another one of its name that knows nothing."""
        await self.gateways[index].stop()
        self._maintaining.pop(index).cancel()
        gateway = await self._start_gateway(self.gateways[index].name, index)
        self.gateways[index] = gateway
        self.update_registry()

    async def _start_gateway(self, name: str, index: int | None = None) -> GatewayHarness:
        gateway = GatewayHarness(0, self._retry, name)
        if self._leased:
            gateway.division = LeasedDivision(name, self._retry.window_s)
        gateway.messenger = FleetMessenger(self, gateway)
        gateway.answer_timeout_s = ANSWER_TIMEOUT_S
        await gateway.start()
        for instance_id, address in self._addresses.items():
            gateway.list_server(instance_id, address)
        gateway.configuration.apply_value(make_configuration(2, routes=self._routes))
        gateway.services.pool("s").groups.set_in_lockstep(self._in_lockstep)
        index = len(self._maintaining) if index is None else index
        self._maintaining.insert(index, asyncio.create_task(self._maintain(gateway)))
        return gateway

    def update_registry(self) -> None:
        """Let all gateways know of each other."""
        names = [gateway.name for gateway in self.gateways]
        for gateway in self.gateways:
            gateway.limits.set_gateways(names)
            if isinstance(gateway.division, LeasedDivision):
                gateway.division.record_list(names, elapsed_s(), elapsed_s())

    async def stop(self) -> None:
        """Stop all gateways and backend servers."""
        for gateway in self.gateways:
            await gateway.stop()
        tasks = (*self._maintaining, *self._stalls, *self._serving)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for listener in self._listeners:
            listener.close()

    async def send(self, gateway: GatewayHarness, *shared_parts: str, path: str = "/stream/"):
        """Send a request that no other is equal to; return its status and body."""
        number = next(self._numbers)
        parts = ",".join(f"{part}:40" for part in (*shared_parts, f"own{number}"))
        status, _, body = await gateway.send_request(
            path, f"r{number}", method=b"POST", body=b"%d" % number, prompt_prefix=parts
        )
        return status, body

    async def _maintain(self, gateway: GatewayHarness) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            gateway.crashes.maintain()
            gateway.limits.maintain()
            if isinstance(gateway.division, LeasedDivision):
                names = [item.name for item in self.gateways]
                gateway.division.record_list(names, elapsed_s(), elapsed_s())

    def _make_relisting(self, server: StandinBackendServer):
        def relist(old_id: str) -> None:
            address = self._addresses.pop(old_id)
            self._addresses[server.instance_id] = address
            for gateway in self.gateways:
                gateway.services.drop(old_id)
                gateway.list_server(server.instance_id, address)
            if self._in_lockstep:
                self._stalls.append(asyncio.create_task(self._stall(server)))

        return relist

    async def _stall(self, crashed: StandinBackendServer) -> None:
        """Stall the other ranks, let them reset their streams, and form the group again."""
        others = [server for server in self.backend_servers if server is not crashed]
        for server in others:
            server.event_gap_s = FOREVER_S
        await asyncio.sleep(STALL_S)
        for server in others:
            server.usual = Behaviour.SHED
            self.cut_streams += server.running
            for connection in list(server.server._connections):
                connection.reset()
        await asyncio.sleep(crashed.crash_plan.down_s)
        for server in others:
            server.usual = Behaviour.ANSWER
            server.event_gap_s = EVENT_GAP_S


class FleetMessenger(GatewayMessenger):
    """Delivers messages to the gateways of a fleet, unless it or they are cut off.

    Parameters
    ----------
    fleet : GatewayFleet
        All gateways.
    sender : GatewayHarness
        The gateway whose messages these are.
    """

    def __init__(self, fleet: GatewayFleet, sender: GatewayHarness) -> None:
        self._fleet = fleet
        self._sender = sender

    @property
    def address(self) -> str:
        """Name of the gateway."""
        return self._sender.name

    def send_to_all(self, message) -> None:
        """Deliver to all others; record a report that was not sent before."""
        sender = self._sender
        reported = {report.crash_id for report in sender.crash_reports}
        if isinstance(message, CrashSeen) and message.crash_id not in reported:
            sender.crash_reports.append(message)
            sender.report_at_s.append(time.monotonic())
        for gateway in self._fleet.gateways:
            self.send_to(message, gateway.name)

    def send_to_some(self, message, count) -> None:
        """Deliver to that many others."""
        names = [gateway.name for gateway in self._fleet.gateways if gateway is not self._sender]
        for name in random.sample(names, min(count, len(names))):
            self.send_to(message, name)

    def send_to(self, message, address) -> None:
        """Deliver to one gateway."""
        size = len(encode_message(message))
        self._fleet.largest_message = max(self._fleet.largest_message, size)
        cut_off = self._fleet.cut_off
        for gateway in self._fleet.gateways:
            if gateway.name != address or gateway is self._sender:
                continue
            if gateway.name in cut_off or self._sender.name in cut_off:
                continue
            links = self._fleet.links
            if not isinstance(message, ServerLimitMessage):
                gateway.crashes.on_message(message)
                is_digest = isinstance(message, CrashDigest)
                if is_digest and not links.loses(self._sender.name, gateway.name):
                    gateway.limits.record_peer(message.address)
                continue
            links.sent_bytes += size
            if links.loses(self._sender.name, gateway.name):
                continue
            loop = asyncio.get_running_loop()
            loop.call_later(links.delay_s, gateway.limits.on_message, message)


class MessageLinks:
    """Links between the gateways.

    Attributes
    ----------
    delay_s : float
        Time that a message takes.
    loss : float
        Fraction of the messages that are lost.
    cut : set
        Pairs of sender and receiver whose messages are all lost.
    sent_bytes : int
        Bytes of all messages sent.
    """

    def __init__(self) -> None:
        self.delay_s = 0.002
        self.loss = 0.0
        self.cut: set[tuple[str, str]] = set()
        self.sent_bytes = 0
        self._generator = random.Random(23)

    def loses(self, sender: str, receiver: str) -> bool:
        """Whether a message is lost."""
        return (sender, receiver) in self.cut or self._generator.random() < self.loss
