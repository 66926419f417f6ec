"""Group commit of one shard: many claims and terminal records in one conditional update.

A claim is granted only after its record is in the shard's head. When a conditional update fails,
because another process wrote first or because the response was lost, the head is read back and each
claim is decided again on the state found there, so that neither two processes nor two requests of
this process are granted one key.
"""

from __future__ import annotations

import time
from typing import NamedTuple

import anyio
import anyio.abc
from absl import logging

from bronzerudder.claims.compaction import Compactor
from bronzerudder.claims.granted_keys import GrantedKeys
from bronzerudder.claims.pending_claim import PendingClaim, Resolution
from bronzerudder.claims.records import ClaimState, Record
from bronzerudder.claims.settings import (
    DEFAULT_FINISH_DELAY_S,
    DEFAULT_RETRY_AFTER_S,
    DEFAULT_WRITE_INTERVAL_S,
    ClaimSettings,
)
from bronzerudder.claims.shard_log import Entry, ShardLog
from bronzerudder.claims.terminal_queue import TerminalQueue
from bronzerudder.platform import StoreError, StoreErrorKind

_MAX_BATCH_RECORDS = 1000
_MAX_HEAD_BYTES = 400_000
"""Head size from which commits wait for compaction, to stay within the platform's value limit."""

_MAX_COMMIT_ATTEMPTS = 20
_RETRYABLE = (StoreErrorKind.CONFLICT, StoreErrorKind.OUTCOME_UNKNOWN)


class CommitterCounts(NamedTuple):
    """Totals since the start of the process; ``claims`` counts granted claims."""

    writes: int
    claims: int
    conflicts: int
    indeterminate: int


class ShardCommitter:
    """Writes one shard's head; a process has one such task for each shard."""

    def __init__(
        self, log: ShardLog, granted_keys: GrantedKeys, incarnation: int, settings: ClaimSettings
    ) -> None:
        self._log = log
        self._granted_keys = granted_keys
        self._incarnation = incarnation
        self._compactor = Compactor(log, settings)
        self._finish_delay_s = settings.get("finish_delay_s", DEFAULT_FINISH_DELAY_S)
        self._write_interval_s = settings.get("write_interval_s", DEFAULT_WRITE_INTERVAL_S)
        self._retry_after_s = settings.get("retry_after_s", DEFAULT_RETRY_AFTER_S)
        self._pending: dict[bytes, PendingClaim] = {}
        self._terminals = TerminalQueue(log, granted_keys, incarnation)
        self._wake = anyio.Event()
        self._commit_done = anyio.Event()
        self._flushing = False
        self._last_commit_failed = False
        self._terminal_records_due_s = 0.0
        self._refusing_until_s = 0.0
        self._next_write_s = 0.0
        self._compaction_done = anyio.Event()
        self._compaction_done.set()
        self._writes_total = 0
        self._grants_total = 0
        self._conflicts_total = 0
        self._indeterminate_total = 0

    @property
    def counts(self) -> CommitterCounts:
        """Totals since the start."""
        return CommitterCounts(
            self._writes_total, self._grants_total, self._conflicts_total, self._indeterminate_total
        )

    @property
    def log(self) -> ShardLog:
        """The shard as last read or written."""
        return self._log

    @property
    def refusing_for_s(self) -> float:
        """Time for which claims are still refused after a failed commit, in seconds."""
        return max(0.0, self._refusing_until_s - time.monotonic())

    def enqueue(self, digest: bytes, fingerprint: bytes) -> PendingClaim:
        """Queue a claim, or return the one already pending for this key."""
        claim = self._pending.get(digest)
        if claim is None:
            claim = PendingClaim(digest, fingerprint)
            self._pending[digest] = claim
            self._wake.set()
        return claim

    def add_terminal_record(self, record: Record) -> None:
        """Queue the terminal record of a granted key."""
        if not self._terminals:
            self._terminal_records_due_s = time.monotonic() + self._finish_delay_s
        self._terminals.add(record)
        self._wake.set()

    async def flush(self) -> None:
        """Wait until the queued terminal records are committed or a commit has failed."""
        while self._terminals.has_terminal_records:
            self._flushing = True
            self._wake.set()
            await self._commit_done.wait()
            if self._last_commit_failed:
                return

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Commit batches until cancelled."""
        while True:
            await self._wait_for_work()
            await anyio.sleep(max(0.0, self._next_write_s - time.monotonic()))
            await self._compact_if_due(tasks)
            started_s = time.monotonic()
            self._next_write_s = started_s + self._write_interval_s
            self._terminal_records_due_s = started_s + self._finish_delay_s
            error = await self._commit()
            self._last_commit_failed = error is not None
            self._flushing = False
            if error is not None:
                self._refuse_pending(error)
            self._commit_done.set()
            self._commit_done = anyio.Event()

    async def _wait_for_work(self) -> None:
        while not self._pending:
            self._wake = anyio.Event()
            with anyio.move_on_after(self._idle_timeout_s()) as scope:
                await self._wake.wait()
            if scope.cancelled_caught:
                return

    def _idle_timeout_s(self) -> float | None:
        if self._flushing:
            return 0.0
        if not self._terminals:
            return None
        return max(self._terminal_records_due_s - time.monotonic(), self.refusing_for_s, 0.0)

    async def _compact_if_due(self, tasks: anyio.abc.TaskGroup) -> None:
        if self._compactor.due and self._compaction_done.is_set():
            self._compaction_done = anyio.Event()
            tasks.start_soon(self._compact)
        if self._log.head_bytes >= _MAX_HEAD_BYTES:
            await self._compaction_done.wait()

    async def _commit(self) -> StoreError | None:
        reloaded = False
        error: StoreError | None = None
        for _ in range(_MAX_COMMIT_ATTEMPTS):
            selected = self._select_claims(reloaded) if self._log.loaded else None
            if selected is None:
                error = await self._log.load()
                if error is not None:
                    return error
                reloaded = True
                continue
            error = await self._write(selected)
            if error is None or error.kind not in _RETRYABLE:
                return error
        return error

    async def _write(self, selected: list[PendingClaim]) -> StoreError | None:
        records = self._make_records(selected)
        if not records:
            self._terminals.clear_withdrawals()
            return None
        error = await self._log.append(records)
        self._writes_total += 1
        if error is None:
            self._on_committed(selected, records)
            return None
        # The update may still take effect; each claim is released unless a retry grants it.
        for claim in selected:
            self._terminals.withdraw(claim.digest, claim.fingerprint)
        if error.kind is StoreErrorKind.CONFLICT:
            self._conflicts_total += 1
        if error.kind is StoreErrorKind.OUTCOME_UNKNOWN:
            self._indeterminate_total += 1
        return error

    def _select_claims(self, reloaded: bool) -> list[PendingClaim] | None:
        """Resolve the claims that the shard's records decide; return those to write.

        Returns None when the cached shard shows a key claimed by another incarnation: the shard
        must be reloaded first, as that claim may have ended since.
        """
        selected = []
        for claim in list(self._pending.values()):
            if not claim.waiters:
                del self._pending[claim.digest]
                continue
            entry = self._log.lookup(claim.digest)
            if (
                entry is None
                or entry.state is ClaimState.RELEASED
                or self._must_write_again(claim, entry)
            ):
                selected.append(claim)
                continue
            if entry.state is ClaimState.CLAIMED and entry.incarnation == self._incarnation:
                self._grant(claim)
                continue
            if entry.state is ClaimState.CLAIMED and not reloaded:
                return None
            del self._pending[claim.digest]
            claim.resolve(Resolution.RECORDED, entry)
        return selected[:_MAX_BATCH_RECORDS]

    def _must_write_again(self, claim: PendingClaim, entry: Entry) -> bool:
        """Whether a claim that this incarnation has recorded but not granted must be written again.

        It may be granted without another write only if it belongs to the same request and neither
        a queued release nor an earlier update still in flight can replace it.
        """
        if entry.state is not ClaimState.CLAIMED or entry.incarnation != self._incarnation:
            return False
        released = self._terminals.has_terminal_record(claim.digest)
        other_request = entry.fingerprint != claim.fingerprint
        return released or other_request or self._log.has_indeterminate_write

    def _make_records(self, selected: list[PendingClaim]) -> tuple[Record, ...]:
        now_s = self._log.now_s()
        records = self._terminals.make_records({claim.digest for claim in selected})
        for claim in selected:
            state = ClaimState.CLAIMED
            record = Record(claim.digest, claim.fingerprint, state, self._incarnation, now_s)
            records.append(record)
        return tuple(records)

    def _on_committed(self, selected: list[PendingClaim], records: tuple[Record, ...]) -> None:
        self._terminals.clear_withdrawals()
        for digest in self._terminals.remove_recorded(records):
            self._granted_keys.drop_recorded(digest)
        for claim in selected:
            self._grant(claim)

    def _grant(self, claim: PendingClaim) -> None:
        del self._pending[claim.digest]
        self._terminals.clear_withdrawal(claim.digest)
        if not claim.waiters:
            self._terminals.withdraw(claim.digest, claim.fingerprint)
            return
        self._grants_total += 1
        self._granted_keys.add(claim.digest, claim.fingerprint)
        claim.resolve(Resolution.GRANTED)

    def _refuse_pending(self, error: StoreError) -> None:
        logging.warning(
            "commit of claim shard %s failed, refusing its pending claims: %s",
            self._log.name,
            error.reason,
        )
        if error.kind is not StoreErrorKind.CONFLICT:
            self._refusing_until_s = time.monotonic() + self._retry_after_s
        claims = list(self._pending.values())
        self._pending.clear()
        for claim in claims:
            claim.resolve(Resolution.UNAVAILABLE, reason=error.reason)

    async def _compact(self) -> None:
        await self._compactor.run_once()
        self._compaction_done.set()
