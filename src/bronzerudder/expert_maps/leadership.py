"""Which agent leads a group: a conditional write on the platform's store decides."""

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
    """Who leads a group.

    Parameters
    ----------
    address : str
        ``host:port`` that takes posts; empty when nobody leads.
    term : int
        Rises with every claim, so that two leaders never have the same.
    version : int
        Version of the record on the store.
    rank_address : str
        The rank beside it.
    settled : bool
        Whether nothing that an earlier leader left unfinished can take effect any more.
    """

    address: str
    term: int
    version: int
    rank_address: str = ""
    settled: bool = False


NOBODY = Leader("", 0, ABSENT_VERSION)


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

    async def read(self) -> Leader | StoreError:
        """Read who leads."""
        stored = await self._store.get(LEADER_KIND, self._group)
        if isinstance(stored, StoreError):
            return NOBODY if stored.kind is StoreErrorKind.NOT_FOUND else stored
        return _decode(stored)

    async def claim(self, known: Leader, address: str, rank_address: str) -> Leader | StoreError:
        """Lead from now on, unless the record has changed since it was read.

        A claim whose answer was lost is settled by reading the record: the term and the address
        together name one claim.
        """
        term = known.term + 1
        settled = known == NOBODY
        value = msgspec.json.encode(_Document(address, term, rank_address, settled))
        written = await self._store.put(LEADER_KIND, self._group, value, known.version)
        if not isinstance(written, StoreError):
            return Leader(address, term, written, rank_address, settled)
        if written.kind is not StoreErrorKind.OUTCOME_UNKNOWN:
            return written
        found = await self.read()
        if isinstance(found, StoreError):
            return found
        if (found.address, found.term) == (address, term):
            return found
        return written

    async def mark_settled(self, leader: Leader) -> Leader | StoreError:
        """Note that nothing of earlier leaders is left unfinished."""
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
        return StoreError(StoreErrorKind.INVALID, f"leader record not understood: {error}")
    return Leader(
        document.address,
        document.term,
        stored.version,
        document.rank_address,
        document.settled,
    )
