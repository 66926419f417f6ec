"""Leader election by a conditional write on the platform's store.

A claim writes the next term over the record that the agent has read. If another agent has claimed
the group in between, the write fails, so no two leaders have the same term. A leader that was
replaced may still send orders for a moment; that is harmless, as ranks refuse them by their version
(see `change`).

The record also says whether the leader has settled all changes of earlier leaders. Its successor
relies on this if the rank next to the failed leader is unreachable.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from bronzerudder.platform.api import ABSENT_VERSION, ObjectStore, StoredObject
from bronzerudder.platform.errors import StoreError, StoreErrorKind

LEADER_KIND = "bronzerudder-leaders"


class _Document(msgspec.Struct):
    address: str
    term: int
    rank_address: str = ""
    settled: bool = False


class Leader(NamedTuple):
    """The leader of a group, as recorded on the store.

    Parameters
    ----------
    address : str
        ``host:port`` that receives reports; empty if there is no leader.
    term : int
        Rises with every claim; no two leaders have the same.
    version : int
        Version of the record on the store.
    rank_address : str
        The rank next to it.
    settled : bool
        Whether no unfinished change of an earlier leader can take effect any more.
    """

    address: str
    term: int
    version: int
    rank_address: str = ""
    settled: bool = False


NO_LEADER = Leader("", 0, ABSENT_VERSION)


class LeaderRecord:
    """The record of one group's leader.

    Parameters
    ----------
    store : ObjectStore
        Where it is kept.
    group : str
        Name of the group.
    """

    def __init__(self, store: ObjectStore, group: str) -> None:
        self._store = store
        self._group = group

    @property
    def group(self) -> str:
        """Name of the group."""
        return self._group

    async def read(self) -> Leader | StoreError:
        """Read the current leader."""
        stored = await self._store.get(LEADER_KIND, self._group)
        if isinstance(stored, StoreError):
            return NO_LEADER if stored.kind is StoreErrorKind.NOT_FOUND else stored
        return _decode(stored)

    async def claim(self, previous: Leader, address: str, rank_address: str) -> Leader | StoreError:
        """Become the leader, provided that the record is still `previous`.

        If the store's response is lost, the record is read to find out whether the claim succeeded:
        the term and the address together identify a claim.
        """
        term = previous.term + 1
        settled = previous == NO_LEADER
        value = msgspec.json.encode(_Document(address, term, rank_address, settled))
        written = await self._store.put(LEADER_KIND, self._group, value, previous.version)
        if not isinstance(written, StoreError):
            return Leader(address, term, written, rank_address, settled)
        if written.kind is not StoreErrorKind.OUTCOME_UNKNOWN:
            return written
        recorded = await self.read()
        if isinstance(recorded, StoreError):
            return recorded
        if (recorded.address, recorded.term) == (address, term):
            return recorded
        return written

    async def mark_settled(self, leader: Leader) -> Leader | StoreError:
        """Record that no change of an earlier leader is left unfinished."""
        value = msgspec.json.encode(
            _Document(leader.address, leader.term, leader.rank_address, True)
        )
        written = await self._store.put(LEADER_KIND, self._group, value, leader.version)
        if isinstance(written, StoreError):
            return written
        return leader._replace(version=written, settled=True)


def _decode(stored: StoredObject) -> Leader | StoreError:
    try:
        document = msgspec.json.decode(stored.value, type=_Document)
    except msgspec.DecodeError as error:
        return StoreError(StoreErrorKind.INVALID, f"invalid leader record: {error}")
    return Leader(
        document.address,
        document.term,
        stored.version,
        document.rank_address,
        document.settled,
    )
