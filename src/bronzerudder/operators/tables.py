"""Reads the tables as operators see them: rows, and what became of their latest edits."""

from __future__ import annotations

from typing import Any, NamedTuple, TypedDict

import msgspec

from bronzerudder.configuration import SharedConfiguration, Snapshot
from bronzerudder.configuration.compiler import compile_edits
from bronzerudder.configuration.errors import ConfigurationError, ConfigurationErrorKind
from bronzerudder.configuration.history import read_decisions
from bronzerudder.configuration.repository import ConfigurationRepository, Root
from bronzerudder.configuration.rows import Decision, Edit, RowKey
from bronzerudder.operators.errors import OperatorError, failed
from bronzerudder.platform import ObjectStore, StoredObject, StoreError

LOAD_ATTEMPTS = 3
IN_FORCE = "in force"
PENDING = "pending"
REFUSED = "refused"


class RowView(TypedDict):
    """One row for an operator.

    ``revision`` is that of the latest edit and serves ``--if-revision``; ``in_force_revision`` is
    that of the edit in force, 0 for none, and ``configuration_revision`` the one that accepted it.
    ``row`` is the latest edit; ``status`` says whether it is in force, pending or refused.
    """

    name: str
    revision: int
    in_force_revision: int
    configuration_revision: int
    status: str
    reason: str
    row: Any


class Tables(NamedTuple):
    """The platform's root and the configuration that it records."""

    root: Root
    snapshot: Snapshot


class TableReader:
    """Reads rows and decisions through the platform.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    """

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._repository = ConfigurationRepository(store, "operator")

    async def load(self) -> Tables | OperatorError:
        """Read the configuration in force."""
        shared = SharedConfiguration()
        failure = None
        for _ in range(LOAD_ATTEMPTS):
            root = await self._repository.read_root()
            if isinstance(root, ConfigurationError):
                return failed(root.reason)
            failure = await self._repository.load(root, shared)
            if failure is None:
                return Tables(root, shared.snapshot)
            if failure.kind is not ConfigurationErrorKind.SUPERSEDED:
                break
        return failed(failure.reason)

    async def list(self, kind: str) -> list[RowView] | OperatorError:
        """Read all rows of a table, those whose deletion is not in force included."""
        listing = await self._store.list(kind)
        if isinstance(listing, StoreError):
            return failed(listing.reason)
        tables = await self.load()
        if isinstance(tables, OperatorError):
            return tables
        stored = {RowKey(kind, item.name): item for item in listing.objects}
        kept = {key for key, _ in tables.snapshot.rows.items() if key.kind == kind}
        return [
            _view(key, stored.get(key), tables.snapshot) for key in sorted(kept | stored.keys())
        ]

    async def get(self, key: RowKey) -> RowView | OperatorError | None:
        """Read one row; None where there is none."""
        stored = await self._store.get(key.kind, key.name)
        present = None if isinstance(stored, StoreError) else stored
        tables = await self.load()
        if isinstance(tables, OperatorError):
            return tables
        if present is None and key not in tables.snapshot.rows:
            return None
        return _view(key, present, tables.snapshot)

    async def history(self, key: RowKey) -> list[Decision] | OperatorError:
        """Read the decisions on a row, oldest first."""
        root = await self._repository.read_root()
        if isinstance(root, ConfigurationError):
            return failed(root.reason)
        decisions = await read_decisions(self._repository, root.document, key)
        if isinstance(decisions, ConfigurationError):
            return failed(decisions.reason)
        return decisions

    async def try_edit(self, key: RowKey, value: bytes | None) -> Decision | OperatorError:
        """Decide an edit against the configuration in force without writing it."""
        tables = await self.load()
        if isinstance(tables, OperatorError):
            return tables
        snapshot = tables.snapshot
        edit = Edit(key, snapshot.rows_version + 1, value)
        for decision in compile_edits(snapshot, [edit]):
            if decision.edit == edit:
                return decision
        return failed("the edit was not decided")


def _view(key: RowKey, stored: StoredObject | None, snapshot: Snapshot) -> RowView:
    in_force = snapshot.rows.get(key)
    value = stored.value if stored is not None else in_force.value
    status, reason = _status(stored, snapshot, key)
    return RowView(
        name=key.name,
        revision=stored.version if stored is not None else 0,
        in_force_revision=in_force.version if in_force is not None else 0,
        configuration_revision=in_force.revision if in_force is not None else 0,
        status=status,
        reason=reason,
        row=_as_json(value),
    )


def _status(stored: StoredObject | None, snapshot: Snapshot, key: RowKey) -> tuple[str, str]:
    in_force = snapshot.rows.get(key)
    refusal = snapshot.refused.get(key)
    if stored is None:
        return (REFUSED, refusal.reason) if refusal else (PENDING, "deleted, not yet decided")
    if in_force is not None and in_force.version == stored.version:
        return IN_FORCE, ""
    if refusal is not None and refusal.edit.version == stored.version:
        return REFUSED, refusal.reason
    return PENDING, "written, not yet decided"


def _as_json(value: bytes) -> Any:
    try:
        return msgspec.json.decode(value)
    except msgspec.DecodeError:
        return value.decode("utf-8", "replace")
