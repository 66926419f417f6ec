"""Attempts that an agent knows, and how others ended."""

from __future__ import annotations

import collections
from collections.abc import Iterator
from typing import NamedTuple

import anyio

from bronzerudder.execution.attempt import Attempt, AttemptKey
from bronzerudder.frames import exchange_pb2 as pb

RETENTION_S = 600.0


class _Conclusion(NamedTuple):
    refused: pb.Refused | None
    recorded_at: float


class AttemptTable:
    """Live attempts by key, and for a time how the others ended.

    A refusal on record is final: a copy of the request that arrives later is refused too.
    """

    def __init__(self) -> None:
        self._attempts: dict[AttemptKey, Attempt] = {}
        self._concluded: collections.OrderedDict[AttemptKey, _Conclusion] = (
            collections.OrderedDict()
        )
        self._shrunk = anyio.Event()

    def __len__(self) -> int:
        return len(self._attempts)

    def __iter__(self) -> Iterator[Attempt]:
        return iter(list(self._attempts.values()))

    def get(self, key: AttemptKey) -> Attempt | None:
        """Return a live attempt."""
        return self._attempts.get(key)

    def get_refusal(self, key: AttemptKey) -> pb.Refused | None:
        """Return the refusal on record."""
        conclusion = self._concluded.get(key)
        return conclusion.refused if conclusion else None

    def has_run(self, key: AttemptKey) -> bool:
        """Tell whether an attempt is on record as having run."""
        conclusion = self._concluded.get(key)
        return conclusion is not None and conclusion.refused is None

    async def wait_empty(self) -> None:
        """Wait until no attempt is live."""
        while self._attempts:
            await self._shrunk.wait()

    def add(self, attempt: Attempt) -> None:
        """Record a live attempt."""
        self._attempts[attempt.key] = attempt

    def conclude(self, key: AttemptKey, now: float) -> None:
        """Drop an attempt that has run, keeping the fact that it did."""
        self._record(key, _Conclusion(None, now))

    def refuse(self, refused: pb.Refused, now: float) -> None:
        """Record that an attempt has not run and never will."""
        key = AttemptKey(refused.request_id, refused.attempt)
        self._record(key, _Conclusion(refused, now))

    def expire(self, now: float) -> None:
        """Forget conclusions that no late frame can meet any more."""
        while self._concluded:
            key, conclusion = next(iter(self._concluded.items()))
            if now - conclusion.recorded_at < RETENTION_S:
                return
            del self._concluded[key]

    def _record(self, key: AttemptKey, conclusion: _Conclusion) -> None:
        self._attempts.pop(key, None)
        shrunk, self._shrunk = self._shrunk, anyio.Event()
        shrunk.set()
        self._concluded[key] = conclusion
        self._concluded.move_to_end(key)
