"""A stand-in for a lock-step group of ranks, as the pages describe it."""

from __future__ import annotations

import asyncio
import json
import random
import time
from typing import Any, NamedTuple

from standins.http import Connection, Request, Server
from standins.store import HEARTBEAT_S, SERVERS, Store

ACCEPTED, DONE, REFUSED, NO_SUCH_ORDER = 202, 200, 409, 400
LOAD_S = 0.2
REPORT_LAG_S = 0.2


class Map(NamedTuple):
    """A map of experts; the content is its JSON text."""

    version: int
    content: str


class MixedPass(NamedTuple):
    """A pass that began while ranks had different maps."""

    step: int
    at_s: float
    maps: list[Map]


class Shape(NamedTuple):
    """Size of a group and of its maps."""

    ranks: int
    sets: int
    experts: int
    placements: int
    spare: int
    step_s: float


class Rank:
    """One rank: its map, its orders and its report."""

    def __init__(self, group: Group, number: int, host: str, port: int) -> None:
        self.number = number
        self.orders: list[str] = []
        self.server = Server(self._handle, host, port)
        self.map = Map(0, group.first_content)
        self.prepared: Map | None = None
        self.armed: tuple[Map, int] | None = None
        self.held: int | None = None
        self._group = group
        self._highest = 0
        self._loading: tuple[Map, float] | None = None
        self.counts = [0] * (group.shape.sets * group.shape.experts)

    def load(self) -> None:
        """Finish a copy that is due."""
        if self._loading is not None and self._loading[1] <= time.monotonic():
            self.prepared, self._loading = self._loading[0], None

    def report(self) -> dict[str, Any]:
        """Return its state."""
        group = self._group
        armed = None if self.armed is None else self.armed
        return {
            "stage": "unified",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": 0,
            "waiting": 0,
            "running": 2,
            "kv_used": 2000,
            "kv_total": 186000,
            "handles": 0,
            "pace": 1.0,
            "born": group.born_ms,
            "group": {"name": "g-1", "epoch": 1, "rank": self.number, "state": "open"},
            "size": group.shape.ranks,
            "step": group.step,
            "map": self.map.version,
            "prepared": None if self.prepared is None else self.prepared.version,
            "armed": None if armed is None else {"version": armed[0].version, "step": armed[1]},
            "held": self.held,
        }

    async def _handle(self, request: Request, connection: Connection) -> None:
        path, _, query = request.target.partition("?")
        self.load()
        status, document = 200, {}
        if path == "/-/report":
            document = self.report()
        elif path == "/-/picked" and "lists" in query:
            experts = [held[self.number] for held in json.loads(self.map.content)]
            document = {"map": {"version": self.map.version, "experts": experts}}
        elif path == "/-/picked":
            document = {"step": self._group.step, "epoch": 1, "counts": self.counts}
        else:
            order = json.loads(request.body)
            status = self._execute(order)
            self._group.write_order(self.number, order, status)
        body = json.dumps(document).encode()
        await connection.respond(status, {"Content-Type": "application/json"}, body)

    def _execute(self, order: dict[str, Any]) -> int:
        if order.get("epoch", 1) != 1:
            return REFUSED
        match order["operation"]:
            case "prepare":
                return self._prepare(Map(order["version"], json.dumps(order["map"])))
            case "arm":
                return self._arm(order["version"], order["step"])
            case "disarm":
                return self._disarm(order["version"])
            case "hold":
                return self._hold(order["step"])
            case "go":
                if self.held == order["step"]:
                    self.held = None
                return DONE
        return NO_SUCH_ORDER

    def _prepare(self, wanted: Map) -> int:
        if wanted in (self.prepared, self._loading and self._loading[0]):
            return DONE
        if self.armed is not None or wanted.version <= self._highest:
            return REFUSED
        self._highest = wanted.version
        self.prepared = None
        self._loading = (wanted, time.monotonic() + LOAD_S)
        return ACCEPTED

    def _arm(self, version: int, step: int) -> int:
        if self.armed is not None and (self.armed[0].version, self.armed[1]) == (version, step):
            return DONE
        if self.prepared is None or self.prepared.version != version or step <= self._group.step:
            return REFUSED
        self.armed = (self.prepared, step)
        return ACCEPTED

    def _disarm(self, version: int) -> int:
        if self.map.version == version:
            return REFUSED
        if self.armed is not None and self.armed[0].version == version:
            self.armed = None
            return ACCEPTED
        return DONE

    def _hold(self, step: int) -> int:
        if self.held == step:
            return DONE
        if self.held is not None or step <= self._group.step:
            return REFUSED
        self.held = step
        return ACCEPTED


class Group:
    """Ranks that execute each pass together."""

    def __init__(self, shape: Shape, hosts: list[str], port: int, generator: random.Random) -> None:
        self.shape = shape
        self.step = 0
        self.born_ms = int(time.time() * 1000)
        self.mixed: list[MixedPass] = []
        self.switches: list[tuple[int, int]] = []
        self.order_log: list[tuple[float, int, str]] = []
        round_robin = [
            list(range(number, shape.experts, shape.ranks)) for number in range(shape.ranks)
        ]
        self.first_content = json.dumps([round_robin] * shape.sets)
        self.ranks = [Rank(self, number, host, port) for number, host in enumerate(hosts)]
        self._generator = generator

    async def start(self, store: Store, service: str) -> None:
        """Serve all ranks and register them as workers."""
        for rank in self.ranks:
            await rank.server.start()
        self.register(store, service)

    def register(self, store: Store, service: str) -> None:
        """Write the entries of all ranks."""
        for rank in self.ranks:
            spec = {
                "service": service,
                "address": rank.server.address,
                "zone": "zone-a",
                "version": 1,
                "slots": 6,
                "state": "ready",
                "cold_left_ms": 0,
                "born": self.born_ms,
            }
            store.put(SERVERS, f"r-{rank.number}", json.dumps(spec))

    async def run_heartbeats(self, store: Store, service: str) -> None:
        """Write the entries once a heartbeat."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register(store, service)

    async def run_passes(self) -> None:
        """Execute passes until cancelled."""
        while True:
            await asyncio.sleep(self.shape.step_s)
            if any(rank.held == self.step + 1 for rank in self.ranks):
                continue
            self.step += 1
            for rank in self.ranks:
                if rank.armed is not None and rank.armed[1] == self.step:
                    rank.map, rank.armed, rank.prepared = rank.armed[0], None, None
                    self.switches.append((rank.number, rank.map.version))
            maps = [rank.map for rank in self.ranks]
            if len(set(maps)) > 1:
                self.mixed.append(MixedPass(self.step, time.monotonic(), maps))
            for rank in self.ranks:
                self._choose(rank)

    def _choose(self, rank: Rank) -> None:
        """Count the experts that the rank's requests choose in a pass; low numbers are liked."""
        experts = self.shape.experts
        for index in range(self.shape.sets):
            for _ in range(12):
                drawn = int(self._generator.expovariate(0.35)) * self.shape.ranks
                if self._generator.random() < 0.35:
                    drawn = self._generator.randrange(experts)
                rank.counts[index * experts + drawn % experts] += 1

    def write_order(self, number: int, order: dict[str, Any], status: int) -> None:
        """Record an order and its answer."""
        words = [str(order["operation"])]
        words.extend(f"{key}={order[key]}" for key in ("version", "step") if key in order)
        if "map" in order:
            words.append(f"map#{hash(json.dumps(order['map'])) & 0xFFFFFF:06x}")
        text = f"rank {number}: {' '.join(words)} -> {status}"
        self.order_log.append((time.monotonic(), number, text))
