"""Adds a timeout to each call to the platform's store."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TypeVar

import anyio

from bronzerudder.platform import ObjectStore, StoredObject, StoreError, StoreErrorKind

_Result = TypeVar("_Result")


class BoundedStore:
    """Times out calls; a write that timed out may still take effect later.

    Parameters
    ----------
    store : ObjectStore
        The platform.
    timeout_s : float
        Timeout of each call, in seconds.
    """

    def __init__(self, store: ObjectStore, timeout_s: float) -> None:
        self._store = store
        self._timeout_s = timeout_s

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""
        return await self._bounded(self._store.get(kind, name), StoreErrorKind.UNAVAILABLE)

    async def put(self, kind: str, name: str, value: bytes, if_version: int) -> int | StoreError:
        """Write an object if its version is still ``if_version``."""
        call = self._store.put(kind, name, value, if_version)
        return await self._bounded(call, StoreErrorKind.OUTCOME_UNKNOWN)

    async def delete(self, kind: str, name: str, if_version: int) -> int | StoreError:
        """Delete an object if its version is still ``if_version``."""
        call = self._store.delete(kind, name, if_version)
        return await self._bounded(call, StoreErrorKind.OUTCOME_UNKNOWN)

    async def _bounded(
        self, call: Awaitable[_Result], timeout_kind: StoreErrorKind
    ) -> _Result | StoreError:
        with anyio.move_on_after(self._timeout_s):
            return await call
        return StoreError(timeout_kind, f"no answer within {self._timeout_s} s")
