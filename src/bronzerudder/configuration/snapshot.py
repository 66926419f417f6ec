"""The configuration in force at one revision."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from bronzerudder.configuration.matching import Match, RouteIndex, update_index
from bronzerudder.configuration.rows import Decision, Edit, Row, RowKey


class Snapshot(NamedTuple):
    """Rows in force, edits refused, and the index of routes; never changed once made.

    Parameters
    ----------
    revision : int
        Revision of the configuration; 0 before anything was recorded.
    rows_version : int
        Version of the platform's store up to which edits of rows have been decided.
    rows : mapping
        Rows in force.
    refused : mapping
        Refused edits that no later edit of their row has replaced.
    index : RouteIndex
        Finds routes by workspace.
    """

    revision: int
    rows_version: int
    rows: Mapping[RowKey, Row]
    refused: Mapping[RowKey, Decision]
    index: RouteIndex

    def match(self, workspace: str, path: str, model: str) -> Match | None:
        """Find the route and pool of a request.

        A route that names the workspace goes before ``*``, then the longest path prefix, then a
        route that names the model, then the smaller route name.
        """
        return self.index.match(self.rows, workspace, path, model)

    def decisions(self) -> tuple[Decision, ...]:
        """Return decisions that make this snapshot out of the empty one."""
        accepted = [
            Decision(row.revision, Edit(key, row.version, row.value))
            for key, row in self.rows.items()
        ]
        return (*accepted, *self.refused.values())


EMPTY_SNAPSHOT = Snapshot(0, 0, {}, {}, RouteIndex({}))


def apply_decisions(
    snapshot: Snapshot, decisions: Iterable[Decision], revision: int, rows_version: int
) -> Snapshot:
    """Return the snapshot at a later revision.

    Parameters
    ----------
    snapshot : Snapshot
        The configuration before.
    decisions : iterable of Decision
        Every decision between the two revisions, in order; those at or below the snapshot's
        revision are passed over.
    revision, rows_version : int
        Those of the result.
    """
    rows = dict(snapshot.rows)
    refused = dict(snapshot.refused)
    changed: dict[RowKey, Row | None] = {}
    for decision in decisions:
        key = decision.edit.key
        if decision.revision <= snapshot.revision:
            continue
        if decision.reason:
            refused[key] = decision
            continue
        refused.pop(key, None)
        changed.setdefault(key, snapshot.rows.get(key))
        if decision.edit.value is None:
            rows.pop(key, None)
            continue
        rows[key] = Row(decision.edit.version, decision.revision, decision.edit.value)
    index = update_index(snapshot.index, changed, rows)
    return Snapshot(revision, rows_version, rows, refused, index)
