"""Messages between the agents of a group: reports to the leader, and its orders to ranks."""

from __future__ import annotations

import array
from typing import TypeVar

import msgspec

from bronzerudder.expert_maps.api import Layout, RankExperts, RankState
from bronzerudder.expert_maps.scenarios import Scenario

REPORT_PATH = b"/rank"
ORDER_PATH = b"/order"
SPREAD_PATH = b"/spread"
ACCEPTED = 200
NOT_LEADER = 409

MAX_BYTE = 255

_Body = TypeVar("_Body")
_TYPE_BY_WIDTH = {1: "B", 2: "H"}


class RankReport(msgspec.Struct, frozen=True):
    """Report of an agent to the leader: the state of its rank, and in some reports more.

    Parameters
    ----------
    state : RankState
        Just read on the rank's own instance.
    scenario : Scenario or None
        Experts that its requests chose since the last report with a scenario.
    places : RankExperts or None
        Experts that it holds; sent when the map or the leader has changed.
    term : int
        Term of the leader that it is meant for; 0 if not stated.
    """

    state: RankState
    scenario: Scenario | None = None
    places: RankExperts | None = None
    term: int = 0


class PackedLayout(msgspec.Struct, frozen=True, array_like=True):
    """A layout with one or two bytes per expert held.

    Parameters
    ----------
    sets, ranks : int
        Shape.
    width : int
        Bytes per expert number.
    sizes : bytes
        Number of experts that each rank holds, by set and rank.
    experts : bytes
        Their numbers, in the same order.
    """

    sets: int
    ranks: int
    width: int
    sizes: bytes
    experts: bytes


class RankOrder(msgspec.Struct, frozen=True):
    """An order that an agent sends to a rank on behalf of the leader.

    Parameters
    ----------
    state : RankState
        The rank, as the leader knows it.
    operation : str
        ``prepare``, ``arm``, ``disarm``, ``hold``, ``release`` or ``ping``.
    version, step : int
        Map version and step, for the operations that need them.
    layout : PackedLayout or None
        Map to prepare.
    """

    state: RankState
    operation: str
    version: int = 0
    step: int = 0
    layout: PackedLayout | None = None


class SpreadOrder(msgspec.Struct, frozen=True):
    """A map that an agent forwards to several ranks, its own among them.

    Parameters
    ----------
    ranks : list of RankState
        The ranks, as the leader knows them.
    version : int
        Version of the map.
    layout : PackedLayout
        The map.
    """

    ranks: list[RankState]
    version: int
    layout: PackedLayout


class SpreadResults(msgspec.Struct, frozen=True):
    """Results of forwarding a map, by address of the rank."""

    results: dict[str, str]


_encoder = msgspec.msgpack.Encoder()


def encode_body(body: RankReport | RankOrder | SpreadOrder | SpreadResults) -> bytes:
    """Encode a message to another agent."""
    return _encoder.encode(body)


def decode_body(data: bytes, expected: type[_Body]) -> _Body | None:
    """Decode a message of another agent; None if it is not of the expected type."""
    try:
        return msgspec.msgpack.decode(data, type=expected)
    except (msgspec.DecodeError, RecursionError):
        return None


def pack_layout(layout: Layout) -> PackedLayout:
    """Pack a layout."""
    sizes = [len(numbers) for held in layout for numbers in held]
    experts = [number for held in layout for numbers in held for number in numbers]
    width = 1 if max(experts) <= MAX_BYTE else 2
    packed = array.array(_TYPE_BY_WIDTH[width], experts).tobytes()
    return PackedLayout(len(layout), len(layout[0]), width, bytes(sizes), packed)


def unpack_layout(packed: PackedLayout) -> Layout:
    """Unpack a layout."""
    numbers = array.array(_TYPE_BY_WIDTH[packed.width], packed.experts).tolist()
    layout: Layout = []
    at = 0
    for index in range(packed.sets):
        held = []
        for size in packed.sizes[index * packed.ranks : (index + 1) * packed.ranks]:
            held.append(numbers[at : at + size])
            at += size
        layout.append(held)
    return layout
