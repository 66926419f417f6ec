"""Table of an agent's unfinished attempts, and tombstones of concluded ones."""

from __future__ import annotations

import collections
from collections.abc import Iterator
from typing import NamedTuple

import anyio

from bronzerudder.execution.attempt import Attempt, AttemptKey
from bronzerudder.frames import exchange_pb2 as pb

RETENTION_S = 600.0


class _Tombstone(NamedTuple):
    """How an attempt ended; ``refused`` is None if it has run."""

    refused: pb.Refused | None
    recorded_at: float


class AttemptTable:
    """Holds unfinished attempts by key, and a tombstone of each concluded one for `RETENTION_S`.

    A recorded refusal is final: a delayed copy of the request is refused too.
    """

    def __init__(self) -> None:
        self._attempts: dict[AttemptKey, Attempt] = {}
        self._tombstones: collections.OrderedDict[AttemptKey, _Tombstone] = (
            collections.OrderedDict()
        )
        self._removed = anyio.Event()

    def __len__(self) -> int:
        return len(self._attempts)

    def __iter__(self) -> Iterator[Attempt]:
        return iter(list(self._attempts.values()))

    def get(self, key: AttemptKey) -> Attempt | None:
        """Return an unfinished attempt."""
        return self._attempts.get(key)

    def get_refusal(self, key: AttemptKey) -> pb.Refused | None:
        """Return the recorded refusal of an attempt."""
        tombstone = self._tombstones.get(key)
        return tombstone.refused if tombstone else None

    def has_run(self, key: AttemptKey) -> bool:
        """Return whether an attempt is recorded as having run."""
        tombstone = self._tombstones.get(key)
        return tombstone is not None and tombstone.refused is None

    async def wait_empty(self) -> None:
        """Wait until all attempts are concluded."""
        while self._attempts:
            await self._removed.wait()

    def add(self, attempt: Attempt) -> None:
        """Add an attempt that has been accepted."""
        self._attempts[attempt.key] = attempt

    def conclude(self, key: AttemptKey, now: float) -> None:
        """Replace an attempt that has run by a tombstone."""
        self._record(key, _Tombstone(None, now))

    def refuse(self, refused: pb.Refused, now: float) -> None:
        """Replace an attempt, or one yet to arrive, by its refusal: it has not run and will not."""
        key = AttemptKey(refused.request_id, refused.attempt)
        self._record(key, _Tombstone(refused, now))

    def expire(self, now: float) -> None:
        """Drop tombstones older than `RETENTION_S`; no delayed frame refers to them any more."""
        while self._tombstones:
            key, tombstone = next(iter(self._tombstones.items()))
            if now - tombstone.recorded_at < RETENTION_S:
                return
            del self._tombstones[key]

    def _record(self, key: AttemptKey, tombstone: _Tombstone) -> None:
        self._attempts.pop(key, None)
        removed, self._removed = self._removed, anyio.Event()
        removed.set()
        self._tombstones[key] = tombstone
        self._tombstones.move_to_end(key)
