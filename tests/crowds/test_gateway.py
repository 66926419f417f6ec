"""A gateway beside crowds of callers, at its address for callers and at the two for operators."""

from __future__ import annotations

import pathlib
import random
import tempfile

from bench.harness.fleet import Fleet, FleetShape, make_configuration, make_route, wait_ready
from bronzerudder.http1 import HttpServer, Request, ResponseWriter, ServerLimits
from bronzerudder.platform import wire
from tests.crowds.case import Call, CrowdCase, Crowds, make_target
from tests.crowds.crowd import Target

HEADERS = [(b"Host", b"h.example"), (b"X-Api-Key", b"key-a"), (b"Attempt-Id", b"a1")]
SLOTS = 100
LONG_ANSWER_BYTES = 900_000
EVENT_GAP_S = 0.4


async def answer_at_length(request: Request, writer: ResponseWriter) -> None:
    """Answer as a backend server with a long body."""
    headers = [(wire.REQUEST_ID, request.header(wire.REQUEST_ID) or b""), (wire.SIGNATURE, b"s")]
    await writer.respond(200, headers, b"x" * LONG_ANSWER_BYTES)


class GatewayCrowdCase(CrowdCase):
    """One gateway, two backend servers, and one with long answers."""

    async def start(self) -> None:
        directory = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        fleet = Fleet(directory, FleetShape(1, ranks=0, plain_servers=2), random.Random(1))
        self.addAsyncCleanup(fleet.close)
        fleet.serve_stand_ins()
        routes = [
            make_route("large", "idempotent", "archive"),
            make_route("slow", "streaming", "bookings", path_prefix="/stream/slow/"),
        ]
        configuration = make_configuration(2, routes, services=("archive",))
        fleet.store.put(wire.CONFIGURATION_KIND, wire.CONFIGURATION_NAME, configuration)
        address = fleet.serve(HttpServer(answer_at_length, ServerLimits))
        record = {"service": "archive", "address": address, "state": "ready", "slots": SLOTS}
        fleet.store.put(wire.BACKEND_SERVER_KIND, "l-0", record)
        for backend in fleet.plain_servers:
            backend.event_gap_s = EVENT_GAP_S
        settings = fleet.gateway_settings("g-0", fleet.store_address)
        self.process = fleet.start_process("gateway", "g-0", {**settings, "machine": self.machine})
        await wait_ready(settings["ready_address"])
        self.settings = settings
        self.listeners = [
            settings[name] for name in ("caller_address", "ready_address", "metrics_address")
        ]
        self.ordinary = self.make_call(b"/read/")
        self.largest = self.ordinary
        self.targets = [make_target(self.ordinary)]

    def make_call(self, path: bytes) -> Call:
        """Make a call of an ordinary caller."""
        return Call(self.settings["caller_address"], b"POST", path, HEADERS)

    @property
    def slow_targets(self) -> list[Target]:
        """A route of streams."""
        return [make_target(self.make_call(b"/stream/slow/"))]

    @property
    def answering_targets(self) -> list[Target]:
        """A route with long answers."""
        return [make_target(self.make_call(b"/large/"))]


class GatewayCallersTest(Crowds, GatewayCrowdCase):
    """Crowds at the address for callers."""


class GatewayOperatorsTest(Crowds, GatewayCrowdCase):
    """Crowds at the addresses for the readiness check and for metrics."""

    async def start(self) -> None:
        await super().start()
        ready = Call(self.settings["ready_address"], b"GET", wire.READY_PATH, HEADERS)
        metrics = Call(self.settings["metrics_address"], b"GET", b"/metrics", HEADERS)
        self.ordinary = ready
        self.largest = metrics
        self.targets = [make_target(ready), make_target(metrics)]

    @property
    def slow_targets(self) -> list[Target]:
        """Both addresses."""
        return self.targets

    @property
    def answering_targets(self) -> list[Target]:
        """Both addresses."""
        return self.targets
