"""Leader election by a conditional write on the platform's store.

A claim writes a new term over the record that the agent has read. If another agent has claimed the
group in between, the write fails, so there is one leader on record.

The versions of a leader's maps begin with its term. The protocol in `change` relies on two
properties of them: no two leaders give a version to different maps, and of two leaders, all
versions of one are higher. The record alone can't ensure that, as a store that was restored from an
older copy has lost claims: the next leader would count on from an older term, while orders of the
lost one may still be on their way. A term therefore exceeds all terms that the claimant has seen,
on the record and in the versions of its ranks, by a random number, and belongs to one claim only.

A leader that was replaced may still send orders for a moment, and after a loss of claims it may
have the higher term. Either is harmless: a rank that has accepted a map of one leader refuses the
maps of all leaders with lower terms (see `change`).

The record also says whether the leader has settled all changes of earlier leaders. Its successor
relies on this if the rank next to the failed leader is unreachable.
"""

from __future__ import annotations

import random
from typing import Annotated, NamedTuple

import msgspec

from bronzerudder.observability.event_log import EventLog
from bronzerudder.observability.ignored_entries import IgnoredEntries
from bronzerudder.platform.api import ABSENT_VERSION, ObjectStore
from bronzerudder.platform.decoding import Unreadable, decode_json
from bronzerudder.platform.errors import StoreError, StoreErrorKind

LEADER_KIND = "bronzerudder-leaders"
VERSIONS_PER_TERM = 4096
"""A change takes two; a leader that has used up its versions claims the group again."""
MAX_VERSION = 2**53 - 1
"""Largest integer that every JSON decoder reads exactly."""
MAX_TERM = MAX_VERSION // VERSIONS_PER_TERM - 1
MAX_TERM_INCREMENT = 2**24
"""Probability of one term for two claims is its inverse; leaves some 250,000 claims per group."""


class _Document(msgspec.Struct):
    address: str
    term: Annotated[int, msgspec.Meta(ge=0, le=MAX_TERM)]
    rank_address: str = ""
    settled: bool = False


class Leader(NamedTuple):
    """The leader of a group, as recorded on the store.

    Parameters
    ----------
    address : str
        ``host:port`` that receives reports; empty if there is no leader.
    term : int
        Belongs to this claim only, also if the store has lost claims.
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

    @property
    def versions(self) -> range:
        """Versions that it may give to maps."""
        return range(self.term * VERSIONS_PER_TERM, (self.term + 1) * VERSIONS_PER_TERM)


NO_LEADER = Leader("", 0, ABSENT_VERSION)


class LeaderRecord:
    """The record of one group's leader.

    Parameters
    ----------
    store : ObjectStore
        Where it is kept.
    group : str
        Name of the group.
    log : EventLog
        Takes a line if the record can't be decoded.
    """

    def __init__(self, store: ObjectStore, group: str, log: EventLog) -> None:
        self._store = store
        self._group = group
        self._ignored = IgnoredEntries(log, "leader record ignored")

    @property
    def group(self) -> str:
        """Name of the group."""
        return self._group

    async def read(self) -> Leader | StoreError:
        """Read the current leader.

        A record that can't be decoded names no leader. Agents may claim the group over it, as
        safety does not depend on the record.
        """
        stored = await self._store.get(LEADER_KIND, self._group)
        if isinstance(stored, StoreError):
            return NO_LEADER if stored.kind is StoreErrorKind.NOT_FOUND else stored
        document = decode_json(stored.value, _Document)
        if isinstance(document, Unreadable):
            self._ignored.add(self._group, document.reason)
            return NO_LEADER._replace(version=stored.version)
        self._ignored.discard(self._group)
        return Leader(
            document.address,
            document.term,
            stored.version,
            document.rank_address,
            document.settled,
        )

    async def claim(
        self, previous: Leader, address: str, rank_address: str, newest_version: int = 0
    ) -> Leader | StoreError:
        """Become the leader, provided that the record is still `previous`.

        If the store's response is lost, the record is read to find out whether the claim succeeded:
        the term identifies a claim.

        Parameters
        ----------
        previous : Leader
            The record as it was read.
        address : str
            ``host:port`` of the claimant that receives reports.
        rank_address : str
            The rank next to it.
        newest_version : int
            Highest version of a map that the claimant has seen at a rank or used itself.
        """
        term = _draw_term(max(previous.term, newest_version // VERSIONS_PER_TERM))
        if term > MAX_TERM:
            reason = f"no term left above version {newest_version} and term {previous.term}"
            return StoreError(StoreErrorKind.INVALID, reason)
        # Without a record there may still have been a leader, which a restored store has forgotten.
        value = msgspec.json.encode(_Document(address, term, rank_address))
        written = await self._store.put(LEADER_KIND, self._group, value, previous.version)
        if not isinstance(written, StoreError):
            return Leader(address, term, written, rank_address)
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


def _draw_term(highest_term: int) -> int:
    """Draw a term above those that are known; another claim with the same base draws another."""
    return highest_term + random.randint(1, MAX_TERM_INCREMENT)
