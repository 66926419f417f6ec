"""In-memory object stores whose calls can be delayed, held or refused, or lose their answers."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import anyio

from bronzerudder.platform import (
    ABSENT_VERSION,
    ChangeBatch,
    Listing,
    ObjectStore,
    StoredObject,
    StoreError,
    StoreErrorKind,
)

LOST = StoreError(StoreErrorKind.OUTCOME_UNKNOWN, "the answer was lost")
DOWN = StoreError(StoreErrorKind.UNAVAILABLE, "the platform is down")


class Objects:
    """The objects stored on the platform, with counts of the calls."""

    def __init__(self) -> None:
        self.stored: dict[tuple[str, str], StoredObject] = {}
        self.version = 0
        self.puts = 0
        self.gets = 0
        self.bytes_put = 0
        self.largest_put = 0
        self.seconds_in_puts = 0.0

    @property
    def mean_put_s(self) -> float:
        """Mean time of a write, in seconds."""
        return self.seconds_in_puts / self.puts

    def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""
        self.gets += 1
        missing = StoreError(StoreErrorKind.NOT_FOUND, name)
        return self.stored.get((kind, name), missing)

    def put(self, kind: str, name: str, value: bytes, if_version: int) -> int | StoreError:
        """Write an object if its version is still the one given."""
        self.puts += 1
        self.bytes_put += len(value)
        self.largest_put = max(self.largest_put, len(value))
        current = self.stored.get((kind, name))
        if (current.version if current else ABSENT_VERSION) != if_version:
            return StoreError(StoreErrorKind.CONFLICT, name)
        self.version += 1
        self.stored[kind, name] = StoredObject(kind, name, self.version, value)
        return self.version

    def delete(self, kind: str, name: str, if_version: int) -> int | StoreError:
        """Delete an object if its version is still the one given."""
        current = self.stored.get((kind, name))
        if current is None or current.version != if_version:
            return StoreError(StoreErrorKind.CONFLICT, name)
        self.version += 1
        del self.stored[kind, name]
        return self.version


class HeldCall:
    """A call that waits until the test performs and answers it."""

    def __init__(self, owner: str, perform: Callable[[], Any], writes: bool) -> None:
        self.owner = owner
        self.writes = writes
        self.perform = perform
        self.answered = anyio.Event()
        self.answer: Any = None

    def complete(self, answer: Any) -> None:
        """Answer the call."""
        self.answer = answer
        self.answered.set()


class MemoryStore(ObjectStore):
    """One process's connection to the shared objects.

    Every call takes ``round_trip_s``; if ``held_calls`` is given, calls are added to it instead and
    wait for the test. ``fault`` is called at each write and may return an error as its answer, in
    which case the write has no effect, except with ``LOST``.
    """

    def __init__(
        self,
        objects: Objects,
        round_trip_s: float = 0.0,
        held_calls: list[HeldCall] | None = None,
        owner: str = "",
    ) -> None:
        self.objects = objects
        self.round_trip_s = round_trip_s
        self.down = False
        self.fault: Callable[[], StoreError | None] = lambda: None
        self._held_calls = held_calls
        self._owner = owner

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""
        return await self._call(lambda: self.objects.get(kind, name), False)

    async def put(self, kind: str, name: str, value: bytes, if_version: int) -> int | StoreError:
        """Write an object if its version is still the one given."""
        started_s = time.monotonic()
        try:
            return await self._call(lambda: self.objects.put(kind, name, value, if_version), True)
        finally:
            self.objects.seconds_in_puts += time.monotonic() - started_s

    async def delete(self, kind: str, name: str, if_version: int) -> int | StoreError:
        """Delete an object if its version is still the one given."""
        return await self._call(lambda: self.objects.delete(kind, name, if_version), True)

    async def list(self, kind: str) -> Listing | StoreError:
        """Not implemented, as no user of this store needs it."""
        raise NotImplementedError

    async def watch(
        self, kind: str, after_version: int, timeout_s: float
    ) -> ChangeBatch | StoreError:
        """Not implemented, as no user of this store needs it."""
        raise NotImplementedError

    async def _call(self, perform: Callable[[], Any], writes: bool) -> Any:
        if self._held_calls is not None:
            call = HeldCall(self._owner, perform, writes)
            self._held_calls.append(call)
            await call.answered.wait()
            return call.answer
        if self.down:
            return DOWN
        await anyio.sleep(self.round_trip_s / 2)
        fault = self.fault() if writes else None
        if fault is not None and fault is not LOST:
            return fault
        answer = perform()
        await anyio.sleep(self.round_trip_s / 2)
        return answer if fault is None else fault
