"""Records that end claims and wait for the next commit."""

from __future__ import annotations

from collections.abc import Container

from bronzerudder.claims.records import ClaimState, Record
from bronzerudder.claims.shard_log import ShardLog

_MAX_RECORDS = 1000
_MAX_ANSWER_BYTES = 200_000


class Endings:
    """Ends of granted keys, and claims that were withdrawn before they were granted.

    A withdrawn claim may be on record, or get there late; it is released once that is known.

    Parameters
    ----------
    log : ShardLog
        The shard.
    own : Container of bytes
        Keys that this incarnation has been granted.
    incarnation : int
        Of this process.
    """

    def __init__(self, log: ShardLog, own: Container[bytes], incarnation: int) -> None:
        self._log = log
        self._own = own
        self._incarnation = incarnation
        self._ends: dict[bytes, Record] = {}
        self._withdrawn: dict[bytes, bytes] = {}

    def __bool__(self) -> bool:
        return bool(self._ends or self._withdrawn)

    @property
    def has_ends(self) -> bool:
        """Whether the end of a granted key waits."""
        return bool(self._ends)

    def has_end(self, digest: bytes) -> bool:
        """Whether the end of this key waits."""
        return digest in self._ends

    def add(self, record: Record) -> None:
        """Queue the end of a granted key."""
        self._ends[record.digest] = record

    def withdraw(self, digest: bytes, fingerprint: bytes) -> None:
        """Note a claim that was not granted although it may get on record."""
        self._withdrawn[digest] = fingerprint

    def forget_withdrawal(self, digest: bytes) -> None:
        """Drop a withdrawal, as the key has been granted after all."""
        self._withdrawn.pop(digest, None)

    def forget_withdrawals(self) -> None:
        """Drop all withdrawals, as they have been settled."""
        self._withdrawn.clear()

    def remove_recorded(self, records: tuple[Record, ...]) -> list[bytes]:
        """Drop the ends that are on record, and return their keys."""
        removed = []
        for record in records:
            if self._ends.get(record.digest) is record:
                del self._ends[record.digest]
                removed.append(record.digest)
        return removed

    def make_records(self, starting: set[bytes]) -> list[Record]:
        """Make the records of one commit; keys that start anew in it end no more."""
        for digest in starting:
            self._ends.pop(digest, None)
        return [*self._take_ends(), *self._make_releases(starting)]

    def _take_ends(self) -> list[Record]:
        records = []
        size = 0
        for record in self._ends.values():
            size += len(record.answer.body) if record.answer is not None else 0
            if size > _MAX_ANSWER_BYTES or len(records) >= _MAX_RECORDS:
                break
            records.append(record)
        return records

    def _make_releases(self, starting: set[bytes]) -> list[Record]:
        records = []
        now_s = self._log.now_s()
        for digest, fingerprint in self._withdrawn.items():
            if digest in starting or digest in self._ends or digest in self._own:
                continue
            if self._needs_release(digest):
                state = ClaimState.RELEASED
                records.append(Record(digest, fingerprint, state, self._incarnation, now_s))
        return records

    def _needs_release(self, digest: bytes) -> bool:
        entry = self._log.lookup(digest)
        if entry is None or entry.state is ClaimState.RELEASED:
            return self._log.in_doubt
        return entry.state is ClaimState.CLAIMED and entry.incarnation == self._incarnation
