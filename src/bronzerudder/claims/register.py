"""Claim register of an agent, with one group-commit task for each shard in use.

A key that this process holds is answered from memory; any other key is decided by its shard's
records in the platform's store. While the store fails, new claims are refused immediately, and keys
that are known to have ended are answered from the records last read.
"""

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
from bronzerudder.claims.granted_keys import GrantedKey, GrantedKeys, GrantedKeyState
from bronzerudder.claims.keys import ClaimKey
from bronzerudder.claims.pending_claim import PendingClaim, Resolution
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
        Name of the pool; all its agents share one set of claims.
    incarnation : int
        Unique to this process among all processes, earlier runs of this one included; 64 bits.
    settings : ClaimSettings
        Limits and timeouts.
    clock : callable
        Returns Unix time in seconds; used only for retention.
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
        self._granted_keys = GrantedKeys()
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
        """Number of claims since the start, by outcome."""
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
        """Claim a key, so that its request may be started."""
        outcome = await self._claim(key, timeout_s)
        self._outcomes[_name_outcome(outcome)] += 1
        return outcome

    def finish(self, key: ClaimKey, answer: StoredAnswer) -> None:
        """Store the answer of a granted key."""
        stored = answer if len(answer.body) <= self._answer_limit else None
        self._granted_keys.end(key.digest, GrantedKeyState.FINISHED, stored)
        self._add_terminal_record(key, ClaimState.FINISHED, stored)

    def release(self, key: ClaimKey) -> None:
        """Release a granted key whose request has not run."""
        self._granted_keys.remove(key.digest)
        self._add_terminal_record(key, ClaimState.RELEASED, None)

    def abandon(self, key: ClaimKey) -> None:
        """Mark the outcome of a granted key as unknown."""
        self._granted_keys.end(key.digest, GrantedKeyState.UNKNOWN)
        self._add_terminal_record(key, ClaimState.ABANDONED, None)

    async def wait(self, key: ClaimKey) -> AlreadyFinished | Unknown | Released:
        """Wait until the request of a key that is running in this process ends."""
        granted = self._granted_keys.get(key.digest)
        if granted is None:
            return Released(key)
        await granted.ended.wait()
        if granted.state is GrantedKeyState.RELEASED:
            return Released(key)
        if granted.state is GrantedKeyState.FINISHED:
            return AlreadyFinished(granted.answer)
        return _unknown_outcome()

    async def flush(self) -> None:
        """Wait until each `finish`, `release` and `abandon` is recorded, or a commit fails."""
        async with anyio.create_task_group() as tasks:
            for committer in self._committers.values():
                tasks.start_soon(committer.flush)

    async def _claim(self, key: ClaimKey, timeout_s: float) -> ClaimOutcome:
        granted = self._granted_keys.get(key.digest)
        if granted is not None:
            return self._describe_granted(key, granted)
        committer = self._committer(key.digest)
        if committer.refusing_for_s > 0:
            return await self._answer_while_refusing(committer, key)
        pending = committer.enqueue(key.digest, key.fingerprint)
        if pending.fingerprint != key.fingerprint:
            return _mismatch()
        await self._wait_until_resolved(pending, timeout_s)
        return await self._describe(committer, pending, key)

    def _committer(self, digest: bytes) -> ShardCommitter:
        shard = shard_of(digest)
        committer = self._committers.get(shard)
        if committer is not None:
            return committer
        log = ShardLog(self._store, f"{self._pool}.{shard}", self._settings, self._clock)
        committer = ShardCommitter(log, self._granted_keys, self._incarnation, self._settings)
        self._committers[shard] = committer
        self._new_committers.append(committer)
        self._shard_opened.set()
        return committer

    async def _wait_until_resolved(self, pending: PendingClaim, timeout_s: float) -> None:
        pending.waiters += 1
        try:
            with anyio.move_on_after(timeout_s):
                await pending.done.wait()
        except anyio.get_cancelled_exc_class():
            # The key was granted, but no task is left to start its request.
            if (
                pending.resolution is Resolution.GRANTED
                and not pending.start_assigned
                and pending.waiters == 1
            ):
                self.release(ClaimKey(pending.digest, pending.fingerprint))
            raise
        finally:
            pending.waiters -= 1

    async def _describe(
        self, committer: ShardCommitter, pending: PendingClaim, key: ClaimKey
    ) -> ClaimOutcome:
        if pending.resolution is None:
            return self._unavailable("the platform did not record the claim in time")
        if pending.resolution is Resolution.UNAVAILABLE:
            return self._unavailable(pending.reason)
        if pending.resolution is Resolution.RECORDED:
            return await self._describe_entry(committer, pending.entry, key)
        if not pending.start_assigned:
            pending.start_assigned = True
            return Granted(key)
        granted = self._granted_keys.get(key.digest)
        return Running(key) if granted is None else self._describe_granted(key, granted)

    def _describe_granted(self, key: ClaimKey, granted: GrantedKey) -> ClaimOutcome:
        if granted.fingerprint != key.fingerprint:
            return _mismatch()
        if granted.state is GrantedKeyState.RUNNING:
            return Running(key)
        if granted.state is GrantedKeyState.FINISHED:
            return AlreadyFinished(granted.answer)
        return _unknown_outcome()

    async def _describe_entry(
        self, committer: ShardCommitter, entry: Entry, key: ClaimKey
    ) -> ClaimOutcome:
        if entry.fingerprint != key.fingerprint:
            return _mismatch()
        if entry.state is ClaimState.ABANDONED:
            return _unknown_outcome()
        if entry.state is ClaimState.CLAIMED:
            return Unknown("the key was started by another process", self._retry_after_s)
        answer = await committer.log.read_answer(key.digest, entry)
        if isinstance(answer, StoreError):
            return Unknown("the key has run; its answer cannot be read", self._retry_after_s)
        return AlreadyFinished(answer)

    async def _answer_while_refusing(
        self, committer: ShardCommitter, key: ClaimKey
    ) -> ClaimOutcome:
        entry = committer.log.lookup(key.digest)
        if entry is None or entry.state is ClaimState.RELEASED:
            return self._unavailable("the platform is unavailable")
        if entry.state is ClaimState.CLAIMED and entry.incarnation == self._incarnation:
            return self._unavailable("the platform is unavailable")
        return await self._describe_entry(committer, entry, key)

    def _add_terminal_record(
        self, key: ClaimKey, state: ClaimState, answer: StoredAnswer | None
    ) -> None:
        now_s = int(self._clock())
        record = Record(key.digest, key.fingerprint, state, self._incarnation, now_s, answer)
        self._committer(key.digest).add_terminal_record(record)

    def _unavailable(self, reason: str) -> ClaimError:
        return ClaimError(ClaimErrorKind.UNAVAILABLE, reason, self._retry_after_s)


def _name_outcome(outcome: ClaimOutcome) -> str:
    if isinstance(outcome, ClaimError):
        return outcome.kind.value
    return _OUTCOME_NAMES[type(outcome)]


def _unknown_outcome() -> Unknown:
    return Unknown("the key's first request ended without an answer", 0.0)


def _mismatch() -> ClaimError:
    reason = "the idempotency key belongs to another request"
    return ClaimError(ClaimErrorKind.MISMATCH, reason, 0.0)
