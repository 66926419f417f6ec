"""Interfaces to the platform: a versioned object store and a list of instances."""

from __future__ import annotations

import abc
import enum
from typing import NamedTuple

import anyio

from bronzerudder.platform.errors import StoreError

MAX_VALUE_BYTES = 1_000_000
ABSENT_VERSION = 0


class StoredObject(NamedTuple):
    """One object of the store.

    Parameters
    ----------
    kind, name : str
        Together the key.
    version : int
        Version of the last write; versions increase over the whole store, so a later write of any
        object has a greater version.
    value : bytes
        At most `MAX_VALUE_BYTES`.
    """

    kind: str
    name: str
    version: int
    value: bytes


class Change(NamedTuple):
    """One write or deletion seen by a watch; a deletion has no ``value``."""

    kind: str
    name: str
    version: int
    value: bytes | None


class Listing(NamedTuple):
    """All objects of a kind, and the store version that the listing reflects."""

    objects: tuple[StoredObject, ...]
    version: int


class ChangeBatch(NamedTuple):
    """Changes after a version, in order; the next watch starts from ``version``.

    ``truncated`` means that the store no longer has all changes after the requested version, so
    that the caller must list again.
    """

    changes: tuple[Change, ...]
    version: int
    truncated: bool = False


class ObjectStore(abc.ABC):
    """Versioned objects with conditional updates and watches.

    A method that fails returns `StoreError` instead of its result.
    """

    @abc.abstractmethod
    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""

    @abc.abstractmethod
    async def put(self, kind: str, name: str, value: bytes, if_version: int) -> int | StoreError:
        """Write an object if its version is still ``if_version``.

        Parameters
        ----------
        if_version : int
            `ABSENT_VERSION` if the object must not exist yet.

        Returns
        -------
        int or StoreError
            The new version; ``CONFLICT`` if the object has another version.
        """

    @abc.abstractmethod
    async def delete(self, kind: str, name: str, if_version: int) -> int | StoreError:
        """Delete an object if its version is still ``if_version``; return the new store version."""

    @abc.abstractmethod
    async def list(self, kind: str, stale: bool = False) -> Listing | StoreError:
        """Read all objects of a kind.

        Parameters
        ----------
        stale : bool
            Whether the answer may be some seconds out of date, which can be cheaper to serve.
        """

    @abc.abstractmethod
    async def watch(
        self, kind: str, after_version: int, timeout_s: float
    ) -> ChangeBatch | StoreError:
        """Wait for changes of a kind after a version.

        Returns an empty batch when nothing changed within ``timeout_s`` seconds.
        """

    async def watch_any(
        self, kinds: tuple[str, ...], after_version: int, timeout_s: float
    ) -> ChangeBatch | StoreError:
        """Wait for changes of any of several kinds after a version.

        This default makes one waiting call per kind; a platform whose watch covers several kinds
        overrides it with a single call.
        """
        first: list[ChangeBatch | StoreError] = []
        async with anyio.create_task_group() as tasks:

            async def watch_one(kind: str) -> None:
                result = await self.watch(kind, after_version, timeout_s)
                if not first:
                    first.append(result)
                    tasks.cancel_scope.cancel()

            for kind in kinds:
                tasks.start_soon(watch_one, kind)
        if isinstance(first[0], StoreError) or first[0].truncated:
            return first[0]
        return await self._read_changes(kinds, after_version, first[0].version)

    async def _read_changes(
        self, kinds: tuple[str, ...], after_version: int, until_version: int
    ) -> ChangeBatch | StoreError:
        """Read the changes of all kinds up to a version that the store has reached."""
        changes: list[Change] = []
        for kind in kinds:
            batch = await self.watch(kind, after_version, 0.0)
            if isinstance(batch, StoreError) or batch.truncated:
                return batch
            changes.extend(change for change in batch.changes if change.version <= until_version)
        changes.sort(key=lambda change: change.version)
        return ChangeBatch(tuple(changes), until_version)


class InstanceState(enum.Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(NamedTuple):
    """One instance in the platform's list; ``address`` is ``host:port``."""

    name: str
    role: str
    address: str
    failure_domain: str
    state: InstanceState


class InstanceList(abc.ABC):
    """The platform's list of live and leaving instances, which may be some seconds out of date."""

    @abc.abstractmethod
    async def instances(self) -> tuple[Instance, ...] | StoreError:
        """Read the list."""
