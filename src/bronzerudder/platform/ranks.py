"""Speaks with the ranks of a group: reports, counts and orders."""

from __future__ import annotations

from typing import TypeVar

import anyio
import msgspec

from bronzerudder.expert_maps.api import (
    ArmedMap,
    Layout,
    OrderResult,
    RankCalls,
    RankCounts,
    RankFailure,
    RankPlaces,
    RankState,
)
from bronzerudder.http1 import ClientPool, HttpError, HttpErrorKind
from bronzerudder.platform import wire

CALL_TIMEOUT_S = 0.1
"""A rank answers in milliseconds."""
ORDER_TIMEOUT_S = 0.05
"""An order without an answer by then may be carried out late. It is given again, which does no
harm; a step is held meanwhile, so waiting longer would cost more."""
ACCEPTED_STATUSES = (200, 202)

_Document = TypeVar("_Document")


class _Group(msgspec.Struct):
    name: str
    epoch: int
    rank: int
    state: str


class _Report(msgspec.Struct):
    group: _Group
    size: int
    step: int
    # Version of the map in use, not the map itself.
    map: int
    prepared: int | None = None
    armed: ArmedMap | None = None
    held: int | None = None
    born: int = 0
    waiting: int = 0
    running: int = 0
    pace: float = 1.0


class _Picked(msgspec.Struct):
    epoch: int
    counts: list[int]


class _Map(msgspec.Struct):
    version: int
    experts: list[list[int]]


class _Lists(msgspec.Struct):
    map: _Map


class RankClient(RankCalls):
    """Calls ranks over kept connections."""

    def __init__(self) -> None:
        self._pool = ClientPool(CALL_TIMEOUT_S)
        self._orders = 0

    @property
    def orders(self) -> int:
        """Orders given so far."""
        return self._orders

    async def state(self, address: str) -> RankState | RankFailure:
        """Ask a rank for its state."""
        report = await self._get(address, wire.REPORT_PATH, _Report)
        if isinstance(report, RankFailure):
            return report
        group = report.group
        return RankState(
            address,
            group.name,
            group.epoch,
            group.rank,
            report.size,
            group.state == "open",
            report.born,
            report.step,
            report.map,
            report.prepared,
            report.armed,
            report.held,
            report.running + report.waiting,
            report.pace,
        )

    async def counts(self, address: str) -> RankCounts | RankFailure:
        """Ask a rank what its requests chose; from another machine this pauses the group."""
        picked = await self._get(address, wire.COUNTS_PATH, _Picked)
        if isinstance(picked, RankFailure):
            return picked
        return RankCounts(picked.epoch, picked.counts)

    async def places(self, address: str) -> RankPlaces | RankFailure:
        """Ask a rank which experts it holds."""
        lists = await self._get(address, wire.COUNTS_PATH + b"?lists=1", _Lists)
        if isinstance(lists, RankFailure):
            return lists
        return RankPlaces(lists.map.version, lists.map.experts)

    async def prepare(self, rank: RankState, version: int, layout: Layout) -> OrderResult:
        """Load what a map places on the rank."""
        body = {"operation": "prepare", "version": version, "map": layout}
        return await self._order(rank, body)

    async def arm(self, rank: RankState, version: int, step: int) -> OrderResult:
        """Switch to the prepared map when a step begins."""
        return await self._order(rank, {"operation": "arm", "version": version, "step": step})

    async def disarm(self, rank: RankState, version: int) -> OrderResult:
        """Take back the switch to a map."""
        return await self._order(rank, {"operation": "disarm", "version": version})

    async def hold(self, rank: RankState, step: int) -> OrderResult:
        """Keep the group from beginning a step."""
        return await self._order(rank, {"operation": "hold", "step": step})

    async def release(self, rank: RankState, step: int) -> OrderResult:
        """Let the group begin a held step."""
        return await self._order(rank, {"operation": "go", "step": step})

    async def _order(self, rank: RankState, body: dict[str, object]) -> OrderResult:
        self._orders += 1
        content = msgspec.json.encode({**body, "epoch": rank.epoch})
        with anyio.move_on_after(ORDER_TIMEOUT_S):
            answer = await self._call(rank.address, b"POST", wire.ORDER_PATH, content)
            if isinstance(answer, HttpError):
                unsent = answer.kind is HttpErrorKind.NOT_SENT
                return OrderResult.UNSENT if unsent else OrderResult.UNKNOWN
            accepted = answer[0] in ACCEPTED_STATUSES
            return OrderResult.ACCEPTED if accepted else OrderResult.REFUSED
        return OrderResult.UNKNOWN

    async def _get(
        self, address: str, path: bytes, expected: type[_Document]
    ) -> _Document | RankFailure:
        with anyio.move_on_after(CALL_TIMEOUT_S):
            answer = await self._call(address, b"GET", path, b"")
            if isinstance(answer, HttpError):
                return RankFailure(answer.reason)
            status, body = answer
            if status != 200:
                return RankFailure(f"status {status}")
            try:
                return msgspec.json.decode(body, type=expected)
            except msgspec.DecodeError as error:
                return RankFailure(f"answer not understood: {error}")
        return RankFailure("no answer in time")

    async def _call(
        self, address: str, method: bytes, path: bytes, body: bytes
    ) -> tuple[int, bytes] | HttpError:
        headers = [(b"host", address.encode())]
        if body:
            headers.append((b"content-type", b"application/json"))
        return await self._pool.call(address, method, path, headers, body)
