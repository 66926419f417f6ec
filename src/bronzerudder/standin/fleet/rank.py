"""A stand-in for the HTTP interface of one rank: reports, counts and orders."""

from __future__ import annotations

import random
import time
from typing import Any

import anyio
import msgspec

from bronzerudder.http1 import Request, ResponseWriter, ServerLimits
from bronzerudder.platform import wire
from bronzerudder.standin.fleet.backend_server import StandinBackendServer
from bronzerudder.standin.fleet.group import LockstepGroup, LockstepRank
from bronzerudder.standin.fleet.restartable import RestartableServer

DONE = 200
REFUSED = 409
LATE_DELAY_S = (0.5, 3.0)
CHOICES_PER_STEP = 8


class StandinRank:
    """Serves one rank of a group; all other requests go to its backend server.

    Parameters
    ----------
    group : LockstepGroup
        The group.
    rank : LockstepRank
        The served rank.
    backend_server : StandinBackendServer
        Runs the requests.
    shape : tuple of int
        Number of sets of layers, and of experts in each.

    Attributes
    ----------
    late_share : float
        Fraction of orders that get no answer and are executed later.
    """

    def __init__(
        self,
        group: LockstepGroup,
        rank: LockstepRank,
        backend_server: StandinBackendServer,
        shape: tuple[int, int],
    ) -> None:
        self._group = group
        self._rank = rank
        self._backend_server = backend_server
        self._sets, self._experts = shape
        self._counts = [0] * (self._sets * self._experts)
        self._lists: list[list[list[int]]] = self._initial_lists()
        self.late_share = 0.0
        self._hottest_expert = 0
        self.server = RestartableServer(self._handle, ServerLimits)
        # A crash of the backend server takes down the rank that serves it.
        backend_server.server = self.server

    def count_choices(self, generator: random.Random) -> None:
        """Count expert choices of a step, mostly of experts that one rank holds initially."""
        stride = len(self._group.ranks)
        for index in range(self._sets):
            for _ in range(CHOICES_PER_STEP):
                drawn = self._hottest_expert + int(generator.expovariate(1.0)) * stride
                self._counts[index * self._experts + drawn % self._experts] += 1

    def shift_demand(self, by: int) -> None:
        """Shift the demand to other experts."""
        self._hottest_expert += by

    def _initial_lists(self) -> list[list[list[int]]]:
        ranks = len(self._group.ranks)
        round_robin = [list(range(rank, self._experts, ranks)) for rank in range(ranks)]
        return [round_robin for _ in range(self._sets)]

    async def _handle(self, request: Request, writer: ResponseWriter) -> None:
        path, _, query = request.target.partition(b"?")
        if path == wire.REPORT_PATH:
            await _answer(writer, DONE, self._report())
        elif path == wire.COUNTS_PATH:
            await _answer(writer, DONE, self._counts_or_lists(b"lists" in query))
        elif path == wire.ORDER_PATH:
            await self._handle_order(request, writer)
        else:
            await self._backend_server.handle(request, writer)

    def _report(self) -> dict[str, Any]:
        state = self._group.state(self._rank)
        return {
            "group": {
                "name": state.group,
                "epoch": state.epoch,
                "rank": state.rank,
                "state": "open",
            },
            "size": state.size,
            "step": state.step,
            "map": state.map_version,
            "prepared": state.prepared_version,
            "armed": state.armed,
            "held": state.held_step,
            "born": state.born_ms,
            "running": self._backend_server.running,
        }

    def _counts_or_lists(self, with_lists: bool) -> dict[str, Any]:
        if not with_lists:
            return {"epoch": self._group.epoch, "counts": self._counts}
        if self._rank.map.version:
            self._lists = msgspec.json.decode(self._rank.map.content)
        experts = [by_rank[self._rank.number] for by_rank in self._lists]
        return {"map": {"version": self._rank.map.version, "experts": experts}}

    async def _handle_order(self, request: Request, writer: ResponseWriter) -> None:
        order = msgspec.json.decode(request.body)
        if random.random() < self.late_share:
            await anyio.sleep(random.uniform(*LATE_DELAY_S))
            self._execute_order(order)
            return
        await _answer(writer, DONE if self._execute_order(order) else REFUSED, {})

    def _execute_order(self, order: dict[str, Any]) -> bool:
        group, rank = self._group, self._rank
        if order.get("epoch", group.epoch) != group.epoch:
            return False
        match order["operation"]:
            case "prepare":
                content = msgspec.json.encode(order["map"]).decode()
                return group.prepare(rank, order["version"], content, time.monotonic())
            case "arm":
                return group.arm(rank, order["version"], order["step"])
            case "disarm":
                return group.disarm(rank, order["version"])
            case "hold":
                return group.hold(rank, order["step"])
            case "go":
                return group.release(rank, order["step"])
        return False


async def _answer(writer: ResponseWriter, status: int, document: dict[str, Any]) -> None:
    await writer.respond(status, [], msgspec.json.encode(document))
