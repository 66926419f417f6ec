"""Lends the idle part of the weight store's rate through one object of the platform."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import NamedTuple, TypedDict

import msgspec

from bronzerudder.platform import ABSENT_VERSION, ObjectStore, StoreError, StoreErrorKind
from bronzerudder.policy.weight_budget.api import Grant, WeightBudget, WeightStoreLimits
from bronzerudder.settings import SettingsError, decode_document

LOAN_KIND = "weight-loans"
LOAN_NAME = "all"
ASSURED_SHARE = 0.5
LENT_AT_ONCE = 0.5
LOAN_MARGIN = 1.25
CLOCK_TOLERANCE_S = 5.0
ATTEMPTS = 4
_WORTH_ANOTHER_READ = (StoreErrorKind.CONFLICT, StoreErrorKind.OUTCOME_UNKNOWN)


class Loan(TypedDict):
    """A rate lent to one group until a time, in seconds since 1970."""

    bytes_per_s: float
    until_s: float


class Loans(TypedDict):
    """The platform object: loans by group."""

    loans: dict[str, Loan]


class _Ledger(NamedTuple):
    version: int
    loans: dict[str, Loan]


class LendingBudget(WeightBudget):
    """Divides a part of the rate evenly and lends out the rest.

    `ASSURED_SHARE` of the store's rate is divided among the groups and needs no call. The rest
    lies in one platform object: a group with something to load borrows `LENT_AT_ONCE` of what is
    left by a conditional update, so that two groups can't borrow the same part. A loan ends by
    release or by its time; where the platform fails, the assured rate remains.

    Parameters
    ----------
    store : ObjectStore
        Holds the loans.
    group : str
        Name of the group's pool.
    limits : WeightStoreLimits
        What there is to share.
    clock : callable
        Seconds since 1970.
    """

    def __init__(
        self,
        store: ObjectStore,
        group: str,
        limits: WeightStoreLimits,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._group = group
        self._limits = limits
        self._clock = clock

    @property
    def assured_bytes_per_s(self) -> float:
        """Part of this group in the divided share."""
        return self._limits.bytes_per_s * ASSURED_SHARE / self._limits.group_count

    def set_limits(self, limits: WeightStoreLimits) -> None:
        """Take over limits from a new configuration."""
        self._limits = limits

    async def acquire(self, load_bytes: int) -> Grant:
        """Borrow what is to be had; the assured rate alone when the platform fails."""
        assured = self.assured_bytes_per_s
        for _ in range(ATTEMPTS):
            ledger = await self._read()
            if isinstance(ledger, StoreError):
                return Grant(assured)
            borrowed = self._lendable(ledger) * LENT_AT_ONCE
            if borrowed <= 0:
                return Grant(assured)
            period_s = load_bytes / (assured + borrowed) * LOAN_MARGIN
            until_s = self._clock() + period_s
            loans = self._running(ledger) | {
                self._group: Loan(bytes_per_s=borrowed, until_s=until_s)
            }
            written = await self._write(ledger.version, loans)
            if not isinstance(written, StoreError):
                return Grant(assured + borrowed, borrowed, period_s)
            if written.kind not in _WORTH_ANOTHER_READ:
                return Grant(assured)
        return Grant(assured)

    async def release(self) -> None:
        """Give the loan back; where that fails it ends by its time."""
        for _ in range(ATTEMPTS):
            ledger = await self._read()
            if isinstance(ledger, StoreError) or self._group not in ledger.loans:
                return
            loans = self._running(ledger)
            loans.pop(self._group, None)
            written = await self._write(ledger.version, loans)
            if not isinstance(written, StoreError) or written.kind not in _WORTH_ANOTHER_READ:
                return

    async def _read(self) -> _Ledger | StoreError:
        stored = await self._store.get(LOAN_KIND, LOAN_NAME)
        if isinstance(stored, StoreError):
            if stored.kind is StoreErrorKind.NOT_FOUND:
                return _Ledger(ABSENT_VERSION, {})
            return stored
        decoded = decode_document(stored.value, Loans)
        if isinstance(decoded, SettingsError):
            return StoreError(StoreErrorKind.INVALID, str(decoded))
        return _Ledger(stored.version, decoded["loans"])

    async def _write(self, version: int, loans: dict[str, Loan]) -> int | StoreError:
        value = msgspec.json.encode(Loans(loans=loans))
        return await self._store.put(LOAN_KIND, LOAN_NAME, value, version)

    def _running(self, ledger: _Ledger) -> dict[str, Loan]:
        now = self._clock()
        running = {}
        for group, loan in ledger.loans.items():
            if loan["until_s"] + CLOCK_TOLERANCE_S < now:
                continue
            running[group] = loan
        return running

    def _lendable(self, ledger: _Ledger) -> float:
        """Rate that no other group has borrowed; an own loan counts as given back."""
        lent = 0.0
        for group, loan in self._running(ledger).items():
            if group == self._group:
                continue
            lent += loan["bytes_per_s"]
        return max(0.0, self._limits.bytes_per_s * (1 - ASSURED_SHARE) - lent)
