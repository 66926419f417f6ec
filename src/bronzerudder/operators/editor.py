"""Writes rows and waits for the decisions on them."""

from __future__ import annotations

from typing import NamedTuple

import anyio

from bronzerudder.configuration.documents import ROOT_KIND, RootDocument
from bronzerudder.configuration.errors import ConfigurationError
from bronzerudder.configuration.history import read_decisions
from bronzerudder.configuration.repository import ConfigurationRepository
from bronzerudder.configuration.rows import Decision, Edit, RowKey
from bronzerudder.operators.errors import OperatorError, OperatorErrorKind, failed
from bronzerudder.platform import (
    ABSENT_VERSION,
    ObjectStore,
    StoredObject,
    StoreError,
    StoreErrorKind,
)

WRITE_ATTEMPTS = 4
RETRY_DELAY_S = 0.2
WATCH_TIMEOUT_S = 5.0


class WrittenEdit(NamedTuple):
    """An edit written to the platform; ``replaced_revision`` is 0 if there was no row before."""

    edit: Edit
    replaced_revision: int


class RowEditor:
    """Edits rows of the tables through the platform.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    """

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._repository = ConfigurationRepository(store, "operator")

    async def write(
        self, key: RowKey, value: bytes | None, if_revision: int | None
    ) -> WrittenEdit | OperatorError:
        """Write a row, or delete it if ``value`` is None.

        Parameters
        ----------
        if_revision : int or None
            Write only if the row is at this revision (0: only if there is none); None uses the
            current revision.

        Returns
        -------
        WrittenEdit or OperatorError
            ``CONFLICT`` if the row has been edited concurrently.
        """
        current = await self._read(key)
        if isinstance(current, OperatorError):
            return current
        version = ABSENT_VERSION if current is None else current.version
        if if_revision is not None and version != if_revision:
            return _conflict(key, f"is at revision {version}, not {if_revision}")
        if current is None and value is None:
            return OperatorError(OperatorErrorKind.INVALID, f"there is no {key.kind} {key.name}")
        return await self._write_at_version(key, value, version)

    async def await_decision(self, edit: Edit, timeout_s: float) -> Decision | OperatorError | None:
        """Wait until a recorded revision contains the decision on an edit.

        Returns
        -------
        Decision or OperatorError or None
            None if a later edit replaced this one before it was decided, so that it was never in
            force.
        """
        reason = "no entry has recorded a decision"
        with anyio.move_on_after(timeout_s):
            while True:
                root = await self._repository.read_root()
                if isinstance(root, ConfigurationError):
                    reason = root.reason
                    await anyio.sleep(RETRY_DELAY_S)
                    continue
                if root.document["rows_version"] >= edit.version:
                    return await self._find_decision(root.document, edit)
                await self._store.watch(ROOT_KIND, root.version, WATCH_TIMEOUT_S)
        key = edit.key
        return failed(
            f"{key.kind} {key.name} was written as revision {edit.version}, but not decided within "
            f"{timeout_s:g} s: {reason}"
        )

    async def _write_at_version(
        self, key: RowKey, value: bytes | None, version: int
    ) -> WrittenEdit | OperatorError:
        indeterminate = False
        reason = ""
        for _ in range(WRITE_ATTEMPTS):
            result = await self._write_once(key, value, version)
            if isinstance(result, int):
                return WrittenEdit(Edit(key, result, value), version)
            if result.kind in (StoreErrorKind.CONFLICT, StoreErrorKind.NOT_FOUND):
                return await self._resolve_conflict(key, value, version, indeterminate)
            if result.kind not in (StoreErrorKind.OUTCOME_UNKNOWN, StoreErrorKind.UNAVAILABLE):
                return OperatorError(OperatorErrorKind.INVALID, result.reason)
            indeterminate = indeterminate or result.kind is StoreErrorKind.OUTCOME_UNKNOWN
            reason = result.reason
            await anyio.sleep(RETRY_DELAY_S)
        if indeterminate:
            return failed(f"it is not known whether {key.kind} {key.name} was written: {reason}")
        return failed(f"{key.kind} {key.name} was not written: {reason}")

    async def _write_once(self, key: RowKey, value: bytes | None, version: int) -> int | StoreError:
        if value is None:
            return await self._store.delete(key.kind, key.name, version)
        return await self._store.put(key.kind, key.name, value, version)

    async def _resolve_conflict(
        self, key: RowKey, value: bytes | None, version: int, indeterminate: bool
    ) -> WrittenEdit | OperatorError:
        """Distinguish this editor's own write, whose response was lost, from a concurrent edit."""
        if not indeterminate:
            return _conflict(key, "was edited concurrently; read it and try again")
        batch = await self._store.watch(key.kind, version, 0.0)
        if isinstance(batch, StoreError) or batch.truncated:
            return failed(f"it is not known whether {key.kind} {key.name} was written")
        for change in batch.changes:
            if change.name != key.name:
                continue
            # Only the first change after the version can be the write that was conditional on it.
            if change.value == value:
                return WrittenEdit(Edit(key, change.version, value), version)
            break
        return _conflict(key, "was edited concurrently; read it and try again")

    async def _read(self, key: RowKey) -> StoredObject | OperatorError | None:
        stored = await self._store.get(key.kind, key.name)
        if not isinstance(stored, StoreError):
            return stored
        if stored.kind is StoreErrorKind.NOT_FOUND:
            return None
        return failed(f"cannot read {key.kind} {key.name} from the platform: {stored.reason}")

    async def _find_decision(
        self, document: RootDocument, edit: Edit
    ) -> Decision | OperatorError | None:
        decisions = await read_decisions(self._repository, document, edit.key, edit.version)
        if isinstance(decisions, ConfigurationError):
            return failed(decisions.reason)
        for decision in reversed(decisions):
            if decision.edit.version == edit.version:
                return decision
        return None


def _conflict(key: RowKey, reason: str) -> OperatorError:
    return OperatorError(OperatorErrorKind.CONFLICT, f"{key.kind} {key.name} {reason}")
