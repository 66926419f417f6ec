"""Queues terminal records (finished, released or abandoned) of claims for the next commit."""

from __future__ import annotations

from collections.abc import Container

from bronzerudder.claims.records import ClaimState, Record
from bronzerudder.claims.shard_log import ShardLog

_MAX_RECORDS = 1000
_MAX_ANSWER_BYTES = 200_000
"""Limit of the answer bodies written in one commit, in bytes."""


class TerminalQueue:
    """Queues terminal records of granted keys, and releases of withdrawn claims.

    A claim that was withdrawn before it was granted may have been recorded, or its write may still
    arrive. It is released, as otherwise no other process could run its key.

    Parameters
    ----------
    log : ShardLog
        The shard.
    granted_keys : Container of bytes
        Keys granted to this incarnation whose end is not yet recorded.
    incarnation : int
        Of this process.
    """

    def __init__(self, log: ShardLog, granted_keys: Container[bytes], incarnation: int) -> None:
        self._log = log
        self._granted_keys = granted_keys
        self._incarnation = incarnation
        self._terminal_records: dict[bytes, Record] = {}
        self._withdrawn: dict[bytes, bytes] = {}

    def __bool__(self) -> bool:
        return bool(self._terminal_records or self._withdrawn)

    @property
    def has_terminal_records(self) -> bool:
        """Whether any terminal record is queued."""
        return bool(self._terminal_records)

    def has_terminal_record(self, digest: bytes) -> bool:
        """Whether a terminal record of this key is queued."""
        return digest in self._terminal_records

    def add(self, record: Record) -> None:
        """Queue the terminal record of a granted key."""
        self._terminal_records[record.digest] = record

    def withdraw(self, digest: bytes, fingerprint: bytes) -> None:
        """Mark an ungranted claim for release, as it may have been recorded."""
        self._withdrawn[digest] = fingerprint

    def clear_withdrawal(self, digest: bytes) -> None:
        """Cancel the release of a key that has been granted after all."""
        self._withdrawn.pop(digest, None)

    def clear_withdrawals(self) -> None:
        """Drop all withdrawals: each is released by now, or needs no release."""
        self._withdrawn.clear()

    def remove_recorded(self, records: tuple[Record, ...]) -> list[bytes]:
        """Drop the terminal records that were committed, and return their keys."""
        removed = []
        for record in records:
            if self._terminal_records.get(record.digest) is record:
                del self._terminal_records[record.digest]
                removed.append(record.digest)
        return removed

    def make_records(self, claimed: set[bytes]) -> list[Record]:
        """Return the records of one commit.

        Queued terminal records of the keys claimed in it are dropped: written after the new claim,
        they would free its key while it runs.
        """
        for digest in claimed:
            self._terminal_records.pop(digest, None)
        return [*self._select_terminal_records(), *self._make_releases(claimed)]

    def _select_terminal_records(self) -> list[Record]:
        records = []
        size = 0
        for record in self._terminal_records.values():
            size += len(record.answer.body) if record.answer is not None else 0
            if size > _MAX_ANSWER_BYTES or len(records) >= _MAX_RECORDS:
                break
            records.append(record)
        return records

    def _make_releases(self, claimed: set[bytes]) -> list[Record]:
        records = []
        now_s = self._log.now_s()
        for digest, fingerprint in self._withdrawn.items():
            if (
                digest in claimed
                or digest in self._terminal_records
                or digest in self._granted_keys
            ):
                continue
            if self._needs_release(digest):
                state = ClaimState.RELEASED
                records.append(Record(digest, fingerprint, state, self._incarnation, now_s))
        return records

    def _needs_release(self, digest: bytes) -> bool:
        entry = self._log.lookup(digest)
        if entry is None or entry.state is ClaimState.RELEASED:
            return self._log.has_indeterminate_write
        return entry.state is ClaimState.CLAIMED and entry.incarnation == self._incarnation
