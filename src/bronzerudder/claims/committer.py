"""Group commit of one shard: many claims and finishes in one conditional update."""

from __future__ import annotations

import time
from typing import NamedTuple

import anyio
import anyio.abc
from absl import logging

from bronzerudder.claims.compaction import Compactor
from bronzerudder.claims.granted_keys import OwnKeys
from bronzerudder.claims.pending_claim import Ticket, Verdict
from bronzerudder.claims.records import ClaimState, Record
from bronzerudder.claims.settings import (
    DEFAULT_FINISH_DELAY_S,
    DEFAULT_RETRY_AFTER_S,
    DEFAULT_WRITE_INTERVAL_S,
    ClaimSettings,
)
from bronzerudder.claims.shard_log import Entry, ShardLog
from bronzerudder.claims.terminal_queue import Endings
from bronzerudder.platform import StoreError, StoreErrorKind

_MAX_BATCH_RECORDS = 1000
_MAX_HEAD_BYTES = 400_000
_COMMIT_TRIES = 20
_RETRIED = (StoreErrorKind.CONFLICT, StoreErrorKind.OUTCOME_UNKNOWN)


class CommitterCounts(NamedTuple):
    """Totals since the start of the process."""

    writes: int
    claims: int
    conflicts: int
    doubts: int


class ShardCommitter:
    """The only task of this process that writes one shard's head."""

    def __init__(
        self, log: ShardLog, own: OwnKeys, incarnation: int, settings: ClaimSettings
    ) -> None:
        self._log = log
        self._own = own
        self._incarnation = incarnation
        self._compactor = Compactor(log, settings)
        self._finish_delay_s = settings.get("finish_delay_s", DEFAULT_FINISH_DELAY_S)
        self._write_interval_s = settings.get("write_interval_s", DEFAULT_WRITE_INTERVAL_S)
        self._retry_after_s = settings.get("retry_after_s", DEFAULT_RETRY_AFTER_S)
        self._tickets: dict[bytes, Ticket] = {}
        self._endings = Endings(log, own, incarnation)
        self._wake = anyio.Event()
        self._settled = anyio.Event()
        self._flushing = False
        self._failed = False
        self._closing_due_s = 0.0
        self._closed_until_s = 0.0
        self._next_write_s = 0.0
        self._compacted = anyio.Event()
        self._compacted.set()
        self._writes = 0
        self._claims = 0
        self._conflicts = 0
        self._doubts = 0

    @property
    def counts(self) -> CommitterCounts:
        """Totals since the start."""
        return CommitterCounts(self._writes, self._claims, self._conflicts, self._doubts)

    @property
    def log(self) -> ShardLog:
        """The shard as last seen."""
        return self._log

    @property
    def closed_for_s(self) -> float:
        """How long claims are still refused after a failure of the platform, in seconds."""
        return max(0.0, self._closed_until_s - time.monotonic())

    def ticket(self, digest: bytes, fingerprint: bytes) -> Ticket:
        """Queue a claim, or join the one that already waits for this key."""
        ticket = self._tickets.get(digest)
        if ticket is None:
            ticket = Ticket(digest, fingerprint)
            self._tickets[digest] = ticket
            self._wake.set()
        return ticket

    def close(self, record: Record) -> None:
        """Queue the record that ends a granted key."""
        if not self._endings:
            self._closing_due_s = time.monotonic() + self._finish_delay_s
        self._endings.add(record)
        self._wake.set()

    async def flush(self) -> None:
        """Wait until the queued records are on record or an attempt has failed."""
        while self._endings.has_ends:
            self._flushing = True
            self._wake.set()
            await self._settled.wait()
            if self._failed:
                return

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Commit batches until cancelled."""
        while True:
            await self._wait_for_work()
            await anyio.sleep(max(0.0, self._next_write_s - time.monotonic()))
            await self._make_room(tasks)
            started_s = time.monotonic()
            self._next_write_s = started_s + self._write_interval_s
            self._closing_due_s = started_s + self._finish_delay_s
            error = await self._commit()
            self._failed = error is not None
            self._flushing = False
            if error is not None:
                self._fail(error)
            self._settled.set()
            self._settled = anyio.Event()

    async def _wait_for_work(self) -> None:
        while not self._tickets:
            self._wake = anyio.Event()
            with anyio.move_on_after(self._idle_limit_s()) as scope:
                await self._wake.wait()
            if scope.cancelled_caught:
                return

    def _idle_limit_s(self) -> float | None:
        if self._flushing:
            return 0.0
        if not self._endings:
            return None
        return max(self._closing_due_s - time.monotonic(), self.closed_for_s, 0.0)

    async def _make_room(self, tasks: anyio.abc.TaskGroup) -> None:
        if self._compactor.due and self._compacted.is_set():
            self._compacted = anyio.Event()
            tasks.start_soon(self._compact)
        if self._log.head_bytes >= _MAX_HEAD_BYTES:
            await self._compacted.wait()

    async def _commit(self) -> StoreError | None:
        fresh = False
        error: StoreError | None = None
        for _ in range(_COMMIT_TRIES):
            claimed = self._sort_tickets(fresh) if self._log.loaded else None
            if claimed is None:
                error = await self._log.load()
                if error is not None:
                    return error
                fresh = True
                continue
            error = await self._write(claimed)
            if error is None or error.kind not in _RETRIED:
                return error
        return error

    async def _write(self, claimed: list[Ticket]) -> StoreError | None:
        records = self._make_records(claimed)
        if not records:
            self._endings.forget_withdrawals()
            return None
        error = await self._log.append(records)
        self._writes += 1
        if error is None:
            self._accept(claimed, records)
            return None
        for ticket in claimed:
            self._endings.withdraw(ticket.digest, ticket.fingerprint)
        if error.kind is StoreErrorKind.CONFLICT:
            self._conflicts += 1
        if error.kind is StoreErrorKind.OUTCOME_UNKNOWN:
            self._doubts += 1
        return error

    def _sort_tickets(self, fresh: bool) -> list[Ticket] | None:
        """Settle what the record already answers and return the claims to write.

        Returns None when a claim of another incarnation was found and the record must be read
        again first, as it may have been closed since.
        """
        claimed = []
        for ticket in list(self._tickets.values()):
            if not ticket.waiters:
                del self._tickets[ticket.digest]
                continue
            entry = self._log.lookup(ticket.digest)
            if entry is None or entry.state is ClaimState.RELEASED or self._is_free(ticket, entry):
                claimed.append(ticket)
                continue
            if entry.state is ClaimState.CLAIMED and entry.incarnation == self._incarnation:
                self._grant(ticket)
                continue
            if entry.state is ClaimState.CLAIMED and not fresh:
                return None
            del self._tickets[ticket.digest]
            ticket.resolve(Verdict.RECORDED, entry)
        return claimed[:_MAX_BATCH_RECORDS]

    def _is_free(self, ticket: Ticket, entry: Entry) -> bool:
        """Whether this incarnation's own claim, which it has not started, must be written anew.

        A direct grant is right only when nothing under way can still replace the claim.
        """
        if entry.state is not ClaimState.CLAIMED or entry.incarnation != self._incarnation:
            return False
        released = self._endings.has_end(ticket.digest)
        other_request = entry.fingerprint != ticket.fingerprint
        return released or other_request or self._log.in_doubt

    def _make_records(self, claimed: list[Ticket]) -> tuple[Record, ...]:
        now_s = self._log.now_s()
        records = self._endings.make_records({ticket.digest for ticket in claimed})
        for ticket in claimed:
            state = ClaimState.CLAIMED
            record = Record(ticket.digest, ticket.fingerprint, state, self._incarnation, now_s)
            records.append(record)
        return tuple(records)

    def _accept(self, claimed: list[Ticket], records: tuple[Record, ...]) -> None:
        self._endings.forget_withdrawals()
        for digest in self._endings.remove_recorded(records):
            self._own.forget_recorded(digest)
        for ticket in claimed:
            self._grant(ticket)

    def _grant(self, ticket: Ticket) -> None:
        del self._tickets[ticket.digest]
        self._endings.forget_withdrawal(ticket.digest)
        if not ticket.waiters:
            self._endings.withdraw(ticket.digest, ticket.fingerprint)
            return
        self._claims += 1
        self._own.start(ticket.digest, ticket.fingerprint)
        ticket.resolve(Verdict.GRANTED)

    def _fail(self, error: StoreError) -> None:
        logging.warning("claims of %s refused: %s", self._log.name, error.reason)
        if error.kind is not StoreErrorKind.CONFLICT:
            self._closed_until_s = time.monotonic() + self._retry_after_s
        tickets = list(self._tickets.values())
        self._tickets.clear()
        for ticket in tickets:
            ticket.resolve(Verdict.UNAVAILABLE, reason=error.reason)

    async def _compact(self) -> None:
        await self._compactor.run_once()
        self._compacted.set()
