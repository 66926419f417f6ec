"""HTTP client of the ranks of a lock-step group: state reports, expert counts and orders.

The structs below have the platform's field names; a comment explains a field whose name misleads.
"""

from __future__ import annotations

from typing import Annotated, TypeVar

import anyio
import msgspec

from bronzerudder.expert_maps.api import (
    ArmedMap,
    Layout,
    OrderResult,
    RankCalls,
    RankCounts,
    RankExperts,
    RankFailure,
    RankState,
)
from bronzerudder.http1 import ClientPool, HttpError, HttpErrorKind
from bronzerudder.platform import wire
from bronzerudder.platform.decoding import Unreadable, decode_json

CALL_TIMEOUT_S = 0.1
"""A rank answers within milliseconds."""
ORDER_TIMEOUT_S = 0.05
"""An order that times out may still be carried out later. It is sent again, which is harmless; a
longer timeout would stall the group for longer, as a step is held meanwhile."""
CERTAIN_OPERATIONS = ("prepare", "arm", "disarm", "hold")
"""Orders on whose acceptance the leader relies without reading the rank's state. An answer doesn't
say which order it is for, so these go on a new connection, where no other answer can be due."""
ACCEPTED_STATUSES = (200, 202)
MAX_RANKS = 65_536
"""Largest group that is read; a group of 256 ranks is the largest planned."""

_Document = TypeVar("_Document")


_Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
"""Messages between agents can carry it, and it can be calculated with as a float."""


class _Armed(msgspec.Struct):
    version: _Count
    step: _Count


class _Group(msgspec.Struct):
    name: str
    # Rises each time that the group forms.
    epoch: _Count
    rank: Annotated[int, msgspec.Meta(ge=0, lt=MAX_RANKS)]
    state: str


class _Report(msgspec.Struct):
    group: _Group
    # Number of ranks in the group.
    size: Annotated[int, msgspec.Meta(ge=1, le=MAX_RANKS)]
    # Last step that began.
    step: _Count
    # Version of the map in use, not the map itself.
    map: _Count
    # Version that is loaded and can be armed.
    prepared: _Count | None = None
    armed: _Armed | None = None
    # Step that is held until this rank gets a release, not a version.
    held: _Count | None = None
    # Unix time of the rank's start, in milliseconds.
    born: _Count = 0
    waiting: _Count = 0
    running: _Count = 0
    # Duration of the rank's work relative to the usual one: above 1 is slow.
    pace: Annotated[float, msgspec.Meta(ge=0.0)] = 1.0


class _Counts(msgspec.Struct):
    epoch: _Count
    # Choices of each expert since the start of the rank, set by set.
    counts: list[_Count]


class _Map(msgspec.Struct):
    version: _Count
    # Experts that the rank holds, by set of layers.
    experts: list[list[_Count]]


class _Lists(msgspec.Struct):
    map: _Map


class RankClient(RankCalls):
    """Calls ranks over pooled connections."""

    def __init__(self) -> None:
        self._pool = ClientPool(CALL_TIMEOUT_S)
        self._orders = 0

    @property
    def orders(self) -> int:
        """Number of orders sent."""
        return self._orders

    async def state(self, address: str) -> RankState | RankFailure:
        """Query a rank for its state."""
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
            None if report.armed is None else ArmedMap(report.armed.version, report.armed.step),
            report.held,
            report.running + report.waiting,
            report.pace,
        )

    async def counts(self, address: str) -> RankCounts | RankFailure:
        """Query how often each expert was chosen; from another instance this pauses the group."""
        counts = await self._get(address, wire.COUNTS_PATH, _Counts)
        if isinstance(counts, RankFailure):
            return counts
        return RankCounts(counts.epoch, counts.counts)

    async def experts(self, address: str) -> RankExperts | RankFailure:
        """Query which experts a rank holds."""
        lists = await self._get(address, wire.COUNTS_PATH + b"?lists=1", _Lists)
        if isinstance(lists, RankFailure):
            return lists
        return RankExperts(lists.map.version, lists.map.experts)

    async def prepare(self, rank: RankState, version: int, layout: Layout) -> OrderResult:
        """Order the rank to load the experts that a map places on it."""
        body = {"operation": "prepare", "version": version, "map": layout}
        return await self._order(rank, body)

    async def arm(self, rank: RankState, version: int, step: int) -> OrderResult:
        """Order the rank to switch to the prepared map at the start of a step."""
        return await self._order(rank, {"operation": "arm", "version": version, "step": step})

    async def disarm(self, rank: RankState, version: int) -> OrderResult:
        """Cancel an armed switch to a map."""
        return await self._order(rank, {"operation": "disarm", "version": version})

    async def hold(self, rank: RankState, step: int) -> OrderResult:
        """Keep the group from beginning a step until it is released at this rank."""
        return await self._order(rank, {"operation": "hold", "step": step})

    async def release(self, rank: RankState, step: int) -> OrderResult:
        """Allow the group to begin a held step."""
        return await self._order(rank, {"operation": "go", "step": step})

    async def _order(self, rank: RankState, body: dict[str, object]) -> OrderResult:
        self._orders += 1
        content = msgspec.json.encode({**body, "epoch": rank.epoch})
        fresh = body["operation"] in CERTAIN_OPERATIONS
        with anyio.move_on_after(ORDER_TIMEOUT_S):
            answer = await self._call(rank.address, b"POST", wire.ORDER_PATH, content, fresh)
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
            decoded = decode_json(body, expected)
            if isinstance(decoded, Unreadable):
                return RankFailure(f"answer cannot be decoded: {decoded.reason}")
            return decoded
        return RankFailure(f"no answer within {CALL_TIMEOUT_S} s")

    async def _call(
        self, address: str, method: bytes, path: bytes, body: bytes, fresh: bool = False
    ) -> tuple[int, bytes] | HttpError:
        headers = [(b"host", address.encode())]
        if body:
            headers.append((b"content-type", b"application/json"))
        return await self._pool.call(address, method, path, headers, body, fresh=fresh)
