"""A rank agent beside crowds, at its address for other agents and at that for metrics."""

from __future__ import annotations

import pathlib
import random
import tempfile

import anyio

from bench.harness.fleet import Fleet, FleetShape, read_text
from bronzerudder.expert_maps.messages import REPORT_PATH
from tests.crowds.case import Call, CrowdCase, Crowds, make_target

HEADERS = [(b"Host", b"h.example")]
START_TIMEOUT_S = 25.0
NOT_A_REPORT = 400
"""An agent has read the whole body when it says that it is no report."""


class RankAgentTest(Crowds, CrowdCase):
    """Crowds at both addresses in turn."""

    async def start(self) -> None:
        directory = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        fleet = Fleet(directory, FleetShape(gateways=0, ranks=1), random.Random(1))
        self.addAsyncCleanup(fleet.close)
        fleet.serve_stand_ins()
        settings = fleet.agent_settings(0, fleet.store_address)
        self.process = fleet.start_process("rank-agent", "a", {**settings, "machine": self.machine})
        with anyio.fail_after(START_TIMEOUT_S):
            while (await read_text(settings["metrics_address"], b"/metrics"))[0] != 200:
                await anyio.sleep(0.05)
        self.listeners = [settings["peer_address"], settings["metrics_address"]]
        report = Call(self.listeners[0], b"POST", REPORT_PATH, HEADERS, (NOT_A_REPORT,))
        metrics = Call(self.listeners[1], b"GET", b"/metrics", HEADERS)
        self.ordinary = metrics
        self.largest = report
        self.targets = [make_target(report), make_target(metrics)]
