"""The register of an agent: one group-committing task for each shard in use."""

from __future__ import annotations

import collections
import time
from collections.abc import Callable

import anyio
import anyio.abc

from bronzerudder.claims.api import (
    AlreadyFinished,
    ClaimOutcome,
    ClaimRegister,
    Granted,
    Released,
    Running,
    StoredAnswer,
    Unknown,
)
from bronzerudder.claims.committer import CommitterCounts, ShardCommitter
from bronzerudder.claims.errors import ClaimError, ClaimErrorKind
from bronzerudder.claims.granted_keys import OwnKey, OwnKeys, OwnState
from bronzerudder.claims.keys import ClaimKey
from bronzerudder.claims.pending_claim import Ticket, Verdict
from bronzerudder.claims.records import ClaimState, Record
from bronzerudder.claims.settings import (
    DEFAULT_ANSWER_LIMIT_BYTES,
    DEFAULT_RETRY_AFTER_S,
    ClaimSettings,
)
from bronzerudder.claims.shard_log import Entry, ShardLog
from bronzerudder.claims.shards import shard_of
from bronzerudder.platform import ObjectStore, StoreError

_OUTCOME_NAMES = {
    Granted: "granted",
    Running: "running",
    AlreadyFinished: "finished",
    Unknown: "unknown",
}


class StoredClaimRegister(ClaimRegister):
    """Keeps the claims of one pool in the platform's store.

    Parameters
    ----------
    store : ObjectStore
        The platform.
    pool : str
        Name of the pool; its agents share the claims.
    incarnation : int
        Differs from that of every other process and every earlier life of this one; 64 bits.
    settings : ClaimSettings
        Limits and times.
    clock : callable
        Seconds since the epoch, for retention alone.
    """

    def __init__(
        self,
        store: ObjectStore,
        pool: str,
        incarnation: int,
        settings: ClaimSettings,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._pool = pool
        self._incarnation = incarnation
        self._settings = settings
        self._clock = clock
        self._retry_after_s = settings.get("retry_after_s", DEFAULT_RETRY_AFTER_S)
        self._answer_limit = settings.get("answer_limit_bytes", DEFAULT_ANSWER_LIMIT_BYTES)
        self._own = OwnKeys()
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._committers: dict[int, ShardCommitter] = {}
        self._new_committers: list[ShardCommitter] = []
        self._shard_opened = anyio.Event()

    @property
    def counts(self) -> CommitterCounts:
        """Totals over all shards since the start."""
        total = CommitterCounts(0, 0, 0, 0)
        for committer in self._committers.values():
            pairs = zip(total, committer.counts, strict=True)
            total = CommitterCounts(*(left + right for left, right in pairs))
        return total

    @property
    def outcomes(self) -> collections.Counter[str]:
        """Claims since the start, by the kind of their outcome."""
        return self._outcomes

    async def run(self) -> None:
        """Record claims until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                while self._new_committers:
                    tasks.start_soon(self._new_committers.pop().run, tasks)
                self._shard_opened = anyio.Event()
                await self._shard_opened.wait()

    async def claim(self, key: ClaimKey, timeout_s: float) -> ClaimOutcome:
        """Ask to start a key."""
        outcome = await self._claim(key, timeout_s)
        self._outcomes[_name_outcome(outcome)] += 1
        return outcome

    def finish(self, key: ClaimKey, answer: StoredAnswer) -> None:
        """Keep the answer of a granted key."""
        kept = answer if len(answer.body) <= self._answer_limit else None
        self._own.end(key.digest, OwnState.FINISHED, kept)
        self._close(key, ClaimState.FINISHED, kept)

    def release(self, key: ClaimKey) -> None:
        """Give a granted key back."""
        self._own.remove(key.digest)
        self._close(key, ClaimState.RELEASED, None)

    def abandon(self, key: ClaimKey) -> None:
        """Say that a granted key may or may not have run."""
        self._own.end(key.digest, OwnState.UNKNOWN)
        self._close(key, ClaimState.ABANDONED, None)

    async def wait(self, key: ClaimKey) -> AlreadyFinished | Unknown | Released:
        """Wait for the end of a key that runs at this incarnation."""
        own = self._own.get(key.digest)
        if own is None:
            return Released(key)
        await own.ended.wait()
        if own.state is OwnState.RELEASED:
            return Released(key)
        if own.state is OwnState.FINISHED:
            return AlreadyFinished(own.answer)
        return _ended_unknown()

    async def flush(self) -> None:
        """Wait until every finish so far is on record, or an attempt has failed."""
        async with anyio.create_task_group() as tasks:
            for committer in self._committers.values():
                tasks.start_soon(committer.flush)

    async def _claim(self, key: ClaimKey, timeout_s: float) -> ClaimOutcome:
        own = self._own.get(key.digest)
        if own is not None:
            return self._describe_own(key, own)
        committer = self._committer(key.digest)
        if committer.closed_for_s > 0:
            return await self._refuse_while_closed(committer, key)
        ticket = committer.ticket(key.digest, key.fingerprint)
        if ticket.fingerprint != key.fingerprint:
            return _mismatch()
        await self._wait_for_verdict(ticket, timeout_s)
        return await self._describe(committer, ticket, key)

    def _committer(self, digest: bytes) -> ShardCommitter:
        shard = shard_of(digest)
        committer = self._committers.get(shard)
        if committer is not None:
            return committer
        log = ShardLog(self._store, f"{self._pool}.{shard}", self._settings, self._clock)
        committer = ShardCommitter(log, self._own, self._incarnation, self._settings)
        self._committers[shard] = committer
        self._new_committers.append(committer)
        self._shard_opened.set()
        return committer

    async def _wait_for_verdict(self, ticket: Ticket, timeout_s: float) -> None:
        ticket.waiters += 1
        try:
            with anyio.move_on_after(timeout_s):
                await ticket.done.wait()
        except anyio.get_cancelled_exc_class():
            if ticket.verdict is Verdict.GRANTED and not ticket.taken and ticket.waiters == 1:
                self.release(ClaimKey(ticket.digest, ticket.fingerprint))
            raise
        finally:
            ticket.waiters -= 1

    async def _describe(
        self, committer: ShardCommitter, ticket: Ticket, key: ClaimKey
    ) -> ClaimOutcome:
        if ticket.verdict is None:
            return self._unavailable("the platform did not record the claim in time")
        if ticket.verdict is Verdict.UNAVAILABLE:
            return self._unavailable(ticket.reason)
        if ticket.verdict is Verdict.RECORDED:
            return await self._describe_entry(committer, ticket.entry, key)
        if not ticket.taken:
            ticket.taken = True
            return Granted(key)
        own = self._own.get(key.digest)
        return Running(key) if own is None else self._describe_own(key, own)

    def _describe_own(self, key: ClaimKey, own: OwnKey) -> ClaimOutcome:
        if own.fingerprint != key.fingerprint:
            return _mismatch()
        if own.state is OwnState.RUNNING:
            return Running(key)
        if own.state is OwnState.FINISHED:
            return AlreadyFinished(own.answer)
        return _ended_unknown()

    async def _describe_entry(
        self, committer: ShardCommitter, entry: Entry, key: ClaimKey
    ) -> ClaimOutcome:
        if entry.fingerprint != key.fingerprint:
            return _mismatch()
        if entry.state is ClaimState.ABANDONED:
            return _ended_unknown()
        if entry.state is ClaimState.CLAIMED:
            return Unknown("the key was started by another process", self._retry_after_s)
        answer = await committer.log.read_answer(key.digest, entry)
        if isinstance(answer, StoreError):
            return Unknown("the key has run; its answer cannot be read", self._retry_after_s)
        return AlreadyFinished(answer)

    async def _refuse_while_closed(self, committer: ShardCommitter, key: ClaimKey) -> ClaimOutcome:
        entry = committer.log.lookup(key.digest)
        if entry is None or entry.state is ClaimState.RELEASED:
            return self._unavailable("the platform is unavailable")
        if entry.state is ClaimState.CLAIMED and entry.incarnation == self._incarnation:
            return self._unavailable("the platform is unavailable")
        return await self._describe_entry(committer, entry, key)

    def _close(self, key: ClaimKey, state: ClaimState, answer: StoredAnswer | None) -> None:
        now_s = int(self._clock())
        record = Record(key.digest, key.fingerprint, state, self._incarnation, now_s, answer)
        self._committer(key.digest).close(record)

    def _unavailable(self, reason: str) -> ClaimError:
        return ClaimError(ClaimErrorKind.UNAVAILABLE, reason, self._retry_after_s)


def _name_outcome(outcome: ClaimOutcome) -> str:
    if isinstance(outcome, ClaimError):
        return outcome.kind.value
    return _OUTCOME_NAMES[type(outcome)]


def _ended_unknown() -> Unknown:
    return Unknown("the key's first request ended without an answer", 0.0)


def _mismatch() -> ClaimError:
    reason = "the idempotency key belongs to another request"
    return ClaimError(ClaimErrorKind.MISMATCH, reason, 0.0)
