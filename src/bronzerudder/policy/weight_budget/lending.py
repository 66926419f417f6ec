"""Lends the unassigned rate of the weight store through one object in the platform's store."""

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
ASSURED_FRACTION = 0.5
LOAN_FRACTION = 0.5
LOAN_TIME_MARGIN = 1.25
CLOCK_TOLERANCE_S = 5.0
"""Time for which an expired loan still counts, as the clocks of hosts may differ."""
MAX_ATTEMPTS = 4
_RETRYABLE_KINDS = (StoreErrorKind.CONFLICT, StoreErrorKind.OUTCOME_UNKNOWN)


class Loan(TypedDict):
    """A rate lent to one group until a time, in seconds since 1970."""

    bytes_per_s: float
    until_s: float


class Loans(TypedDict):
    """The stored object: loans by group."""

    loans: dict[str, Loan]


class _StoredLoans(NamedTuple):
    version: int
    loans: dict[str, Loan]


class LendingBudget(WeightBudget):
    """Divides a fraction of the rate evenly among the groups and lends out the rest.

    `ASSURED_FRACTION` of the weight store's rate is divided evenly and needs no call. Loans of the
    rest are recorded in one object of the platform: a group with weights to load borrows
    `LOAN_FRACTION` of the available rate by a conditional update, so two groups can't borrow
    the same share. A loan ends when it is released or expires. When the platform fails, a group
    keeps its assured rate.

    Parameters
    ----------
    store : ObjectStore
        Platform store that holds the loans.
    group : str
        Name of the group's pool.
    limits : WeightStoreLimits
        Rate of the weight store and number of groups.
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
        """Equal share of the assured fraction that belongs to this group."""
        return self._limits.bytes_per_s * ASSURED_FRACTION / self._limits.group_count

    def set_limits(self, limits: WeightStoreLimits) -> None:
        """Apply the limits of a new configuration."""
        self._limits = limits

    async def acquire(self, load_bytes: int) -> Grant:
        """Borrow from the available rate; grant only the assured rate when the platform fails."""
        assured = self.assured_bytes_per_s
        for _ in range(MAX_ATTEMPTS):
            stored_loans = await self._read()
            if isinstance(stored_loans, StoreError):
                return Grant(assured)
            borrowed = self._available_rate(stored_loans) * LOAN_FRACTION
            if borrowed <= 0:
                return Grant(assured)
            period_s = load_bytes / (assured + borrowed) * LOAN_TIME_MARGIN
            until_s = self._clock() + period_s
            loans = self._active_loans(stored_loans) | {
                self._group: Loan(bytes_per_s=borrowed, until_s=until_s)
            }
            written = await self._write(stored_loans.version, loans)
            if not isinstance(written, StoreError):
                return Grant(assured + borrowed, borrowed, period_s)
            if written.kind not in _RETRYABLE_KINDS:
                return Grant(assured)
        return Grant(assured)

    async def release(self) -> None:
        """Return the loan; if that fails, the loan expires."""
        for _ in range(MAX_ATTEMPTS):
            stored_loans = await self._read()
            if isinstance(stored_loans, StoreError) or self._group not in stored_loans.loans:
                return
            loans = self._active_loans(stored_loans)
            loans.pop(self._group, None)
            written = await self._write(stored_loans.version, loans)
            if not isinstance(written, StoreError) or written.kind not in _RETRYABLE_KINDS:
                return

    async def _read(self) -> _StoredLoans | StoreError:
        stored = await self._store.get(LOAN_KIND, LOAN_NAME)
        if isinstance(stored, StoreError):
            if stored.kind is StoreErrorKind.NOT_FOUND:
                return _StoredLoans(ABSENT_VERSION, {})
            return stored
        decoded = decode_document(stored.value, Loans)
        if isinstance(decoded, SettingsError):
            return StoreError(StoreErrorKind.INVALID, str(decoded))
        return _StoredLoans(stored.version, decoded["loans"])

    async def _write(self, version: int, loans: dict[str, Loan]) -> int | StoreError:
        value = msgspec.json.encode(Loans(loans=loans))
        return await self._store.put(LOAN_KIND, LOAN_NAME, value, version)

    def _active_loans(self, stored_loans: _StoredLoans) -> dict[str, Loan]:
        now = self._clock()
        active = {}
        for group, loan in stored_loans.loans.items():
            if loan["until_s"] + CLOCK_TOLERANCE_S < now:
                continue
            active[group] = loan
        return active

    def _available_rate(self, stored_loans: _StoredLoans) -> float:
        """Rate not borrowed by other groups; this group's own loan counts as returned."""
        lent = 0.0
        for group, loan in self._active_loans(stored_loans).items():
            if group == self._group:
                continue
            lent += loan["bytes_per_s"]
        return max(0.0, self._limits.bytes_per_s * (1 - ASSURED_FRACTION) - lent)
