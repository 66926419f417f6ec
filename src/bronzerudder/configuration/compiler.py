"""Checks edits of rows against the configuration in force and accepts or refuses each.

A refused edit leaves the last accepted row in force, and no route is in force without its pool.
"""

from __future__ import annotations

from collections.abc import Iterable

from bronzerudder.configuration.checks import check_row
from bronzerudder.configuration.matching import decode_route
from bronzerudder.configuration.rows import Decision, Edit, RowKey
from bronzerudder.configuration.snapshot import Snapshot
from bronzerudder.settings import SettingsError
from bronzerudder.tables import POOL_KIND, ROUTE_KIND, RouteRow

MAX_REASON_LENGTH = 500
MAX_NAMED_ROUTES = 3


def compile_edits(snapshot: Snapshot, edits: Iterable[Edit]) -> tuple[Decision, ...]:
    """Decide edits together with earlier refused ones, which may have become valid.

    The result depends only on the arguments, not on the order of the edits: every process that
    compiles the same edits on the same snapshot comes to the same decisions. Pools are decided
    first, then routes, then deletions of pools, so that a pool and its routes may be written in
    any order.

    Parameters
    ----------
    snapshot : Snapshot
        The configuration in force.
    edits : iterable of Edit
        Edits newer than the snapshot's ``rows_version``.

    Returns
    -------
    tuple of Decision
        Decisions at the snapshot's revision plus one; an earlier refusal with the same
        version and reason is not repeated.
    """
    return _Compilation(snapshot, edits).decide()


class _Compilation:
    def __init__(self, snapshot: Snapshot, edits: Iterable[Edit]) -> None:
        self._snapshot = snapshot
        self._pending = {key: refusal.edit for key, refusal in snapshot.refused.items()}
        for edit in edits:
            pending = self._pending.get(edit.key)
            if pending is None or edit.version > pending.version:
                self._pending[edit.key] = edit
        self._decisions: list[Decision] = []
        self._accepted_pools: dict[str, bool] = {}
        self._decided_routes: dict[str, RouteRow | None] = {}

    def decide(self) -> tuple[Decision, ...]:
        ordered = [self._pending[key] for key in sorted(self._pending)]
        for edit in ordered:
            if edit.key.kind == POOL_KIND and edit.value is not None:
                self._decide_pool(edit)
        for edit in ordered:
            if edit.key.kind == ROUTE_KIND:
                self._decide_route(edit)
        for edit in ordered:
            if edit.key.kind == POOL_KIND and edit.value is None:
                self._decide_pool_deletion(edit)
        return tuple(self._decisions)

    def _decide_pool(self, edit: Edit) -> None:
        pool = check_row(edit)
        if isinstance(pool, SettingsError):
            self._record(edit, str(pool))
            return
        self._accepted_pools[edit.key.name] = True
        self._record(edit)

    def _decide_route(self, edit: Edit) -> None:
        if edit.value is None:
            self._decided_routes[edit.key.name] = None
            self._record(edit)
            return
        route = check_row(edit)
        if isinstance(route, SettingsError):
            self._record(edit, str(route))
            return
        if not self._has_pool(route["pool"]):
            self._record(edit, f"$.pool: there is no pool {route['pool']}")
            return
        self._decided_routes[edit.key.name] = route
        self._record(edit)

    def _decide_pool_deletion(self, edit: Edit) -> None:
        users = self._routes_using(edit.key.name)
        if not users:
            self._record(edit)
            return
        listed = ", ".join(users[:MAX_NAMED_ROUTES])
        more = ", ..." if len(users) > MAX_NAMED_ROUTES else ""
        self._record(edit, f"the pool is still used by {len(users)} of the routes: {listed}{more}")

    def _has_pool(self, name: str) -> bool:
        return name in self._accepted_pools or RowKey(POOL_KIND, name) in self._snapshot.rows

    def _routes_using(self, pool: str) -> list[str]:
        users = [
            name for name, route in self._decided_routes.items() if route and route["pool"] == pool
        ]
        for key, row in self._snapshot.rows.items():
            if key.kind != ROUTE_KIND or key.name in self._decided_routes:
                continue
            # Not cached: a scan of all routes would evict the cached rows.
            if decode_route.__wrapped__(row.value)["pool"] == pool:
                users.append(key.name)
        return sorted(users)

    def _record(self, edit: Edit, reason: str = "") -> None:
        reason = reason[:MAX_REASON_LENGTH]
        earlier = self._snapshot.refused.get(edit.key)
        if earlier is not None and (earlier.edit.version, earlier.reason) == (edit.version, reason):
            return
        self._decisions.append(Decision(self._snapshot.revision + 1, edit, reason))
