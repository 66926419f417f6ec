"""Defines the configuration at one revision, and builds it from decisions."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from bronzerudder.configuration.matching import (
    EMPTY_INDEX,
    Match,
    RouteIndex,
    build_index,
    update_index,
)
from bronzerudder.configuration.packed import PackedMap
from bronzerudder.configuration.rows import Decision, Edit, Row, RowKey, hash_row


class Snapshot(NamedTuple):
    """Rows in force, refused edits, and the index of routes; immutable.

    Parameters
    ----------
    revision : int
        Revision of the configuration; 0 before anything was recorded.
    rows_version : int
        Version of the platform's store up to which edits of rows have been decided.
    rows : PackedMap
        Rows in force.
    refused : mapping
        Refused edits that no later edit of their row has replaced.
    index : RouteIndex
        Finds routes by workspace.
    """

    revision: int
    rows_version: int
    rows: PackedMap[RowKey, Row]
    refused: Mapping[RowKey, Decision]
    index: RouteIndex

    def match(self, workspace: str, path: str, model: str) -> Match | None:
        """Find the route and pool of a request.

        A route that names the workspace takes precedence over ``*``, then the longest path prefix,
        then a route that names the model, then the smaller route name.
        """
        return self.index.match(self.rows, workspace, path, model)

    def decisions(self) -> Iterator[Decision]:
        """Yield decisions that turn the empty snapshot into this one."""
        for key, row in self.rows.items():
            yield Decision(row.revision, Edit(key, row.version, row.value))
        yield from self.refused.values()


EMPTY_SNAPSHOT = Snapshot(0, 0, PackedMap(tuple[RowKey, Row], hash_row), {}, EMPTY_INDEX)


def apply_decisions(
    snapshot: Snapshot, decisions: Iterable[Decision], revision: int, rows_version: int
) -> Snapshot:
    """Return the snapshot at a later revision.

    Parameters
    ----------
    snapshot : Snapshot
        The earlier configuration.
    decisions : iterable of Decision
        Every decision between the two revisions, in order; those at or below the snapshot's
        revision are ignored.
    revision, rows_version : int
        Revision and rows version of the result.
    """
    changes, refused = _merge(snapshot, decisions)
    before = {key: snapshot.rows.get(key) for key in changes}
    rows = snapshot.rows.updated(changes)
    index = update_index(snapshot.index, before, changes)
    return Snapshot(revision, rows_version, rows, refused, index)


class SnapshotBuilder:
    """Builds a snapshot incrementally from many decisions.

    All decisions of a large table at once would take several times its memory.
    """

    def __init__(self) -> None:
        self._partial = EMPTY_SNAPSHOT

    def add(self, decisions: Iterable[Decision]) -> None:
        """Add decisions; they must come in order."""
        changes, refused = _merge(self._partial, decisions)
        rows = self._partial.rows.updated(changes)
        self._partial = self._partial._replace(rows=rows, refused=refused)

    def finish(self, revision: int, rows_version: int) -> Snapshot:
        """Return the snapshot."""
        index = build_index(self._partial.rows)
        rows, refused = self._partial.rows, self._partial.refused
        return Snapshot(revision, rows_version, rows, refused, index)


def _merge(
    snapshot: Snapshot, decisions: Iterable[Decision]
) -> tuple[dict[RowKey, Row | None], dict[RowKey, Decision]]:
    refused = dict(snapshot.refused)
    changes: dict[RowKey, Row | None] = {}
    for decision in decisions:
        edit = decision.edit
        if decision.revision <= snapshot.revision:
            continue
        if decision.reason:
            refused[edit.key] = decision
            continue
        refused.pop(edit.key, None)
        changes[edit.key] = None
        if edit.value is not None:
            changes[edit.key] = Row(edit.version, decision.revision, edit.value)
    return changes, refused
