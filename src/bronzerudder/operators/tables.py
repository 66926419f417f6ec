"""Reads rows together with the decisions on their latest edits."""

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
    """One row as shown to an operator.

    ``revision`` is the revision of the latest edit, as expected by ``--if-revision``;
    ``in_force_revision`` is that of the edit in force, 0 for none, and ``configuration_revision``
    that of the configuration that accepted it. ``row`` is the latest edit; ``status`` says whether
    it is in force, pending or refused.
    """

    name: str
    revision: int
    in_force_revision: int
    configuration_revision: int
    status: str
    reason: str
    row: Any


class RecordedConfiguration(NamedTuple):
    """The root document on the platform and the configuration that it records."""

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

    async def load(self) -> RecordedConfiguration | OperatorError:
        """Read the recorded configuration."""
        shared = SharedConfiguration()
        failure = None
        for _ in range(LOAD_ATTEMPTS):
            root = await self._repository.read_root()
            if isinstance(root, ConfigurationError):
                return failed(root.reason)
            failure = await self._repository.load(root, shared)
            if failure is None:
                return RecordedConfiguration(root, shared.snapshot)
            if failure.kind is not ConfigurationErrorKind.SUPERSEDED:
                break
        return failed(failure.reason)

    async def list(self, kind: str) -> list[RowView] | OperatorError:
        """Read all rows of a table, including rows whose deletion is not in force yet."""
        listing = await self._store.list(kind)
        if isinstance(listing, StoreError):
            return failed(listing.reason)
        recorded = await self.load()
        if isinstance(recorded, OperatorError):
            return recorded
        stored = {RowKey(kind, item.name): item for item in listing.objects}
        in_force_keys = {key for key, _ in recorded.snapshot.rows.items() if key.kind == kind}
        return [
            _view(key, stored.get(key), recorded.snapshot)
            for key in sorted(in_force_keys | stored.keys())
        ]

    async def get(self, key: RowKey) -> RowView | OperatorError | None:
        """Read one row; None if it does not exist."""
        stored = await self._store.get(key.kind, key.name)
        current = None if isinstance(stored, StoreError) else stored
        recorded = await self.load()
        if isinstance(recorded, OperatorError):
            return recorded
        if current is None and key not in recorded.snapshot.rows:
            return None
        return _view(key, current, recorded.snapshot)

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
        """Evaluate an edit against the recorded configuration without writing it."""
        recorded = await self.load()
        if isinstance(recorded, OperatorError):
            return recorded
        snapshot = recorded.snapshot
        edit = Edit(key, snapshot.rows_version + 1, value)
        for decision in compile_edits(snapshot, [edit]):
            if decision.edit == edit:
                return decision
        return failed("dry run gave no decision on the edit")


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
        row=_decode_json(value),
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


def _decode_json(value: bytes) -> Any:
    try:
        return msgspec.json.decode(value)
    except msgspec.DecodeError:
        return value.decode("utf-8", "replace")
