"""Finds the route and pool of a request."""

from __future__ import annotations

import collections
import functools
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from bronzerudder.configuration.rows import Row, RowKey
from bronzerudder.tables import ANY, POOL_KIND, ROUTE_KIND, PoolRow, RouteRow

DECODED_ROWS = 2048


class Match(NamedTuple):
    """The route and pool that a request falls to."""

    route_name: str
    route: RouteRow
    pool_name: str
    pool: PoolRow


class _Rank(NamedTuple):
    """Orders the routes that fit a request; the greatest wins."""

    names_workspace: bool
    path_length: int
    names_model: bool


class RouteIndex(NamedTuple):
    """Route names by each workspace that a route lists, in order."""

    by_workspace: Mapping[str, str | tuple[str, ...]]

    def match(
        self, rows: Mapping[RowKey, Row], workspace: str, path: str, model: str
    ) -> Match | None:
        """Find the best route in ``rows``, or None."""
        best: tuple[_Rank, str, RouteRow] | None = None
        for listed in (workspace, ANY):
            for name in self.names(listed):
                route = decode_route(rows[RowKey(ROUTE_KIND, name)].value)
                rank = _rank(route, path, model, listed != ANY)
                if rank is None or (best is not None and rank <= best[0]):
                    continue
                best = (rank, name, route)
            if best is not None:
                break
        if best is None:
            return None
        _, name, route = best
        pool = decode_pool(rows[RowKey(POOL_KIND, route["pool"])].value)
        return Match(name, route, route["pool"], pool)

    def names(self, workspace: str) -> tuple[str, ...]:
        """Names of the routes that list a workspace, in order."""
        names = self.by_workspace.get(workspace, ())
        return (names,) if isinstance(names, str) else names


@functools.lru_cache(maxsize=DECODED_ROWS)
def decode_route(value: bytes) -> RouteRow:
    """Decode a route that has been accepted."""
    return _ROUTE_DECODER.decode(value)


@functools.lru_cache(maxsize=DECODED_ROWS)
def decode_pool(value: bytes) -> PoolRow:
    """Decode a pool that has been accepted."""
    return _POOL_DECODER.decode(value)


def update_index(
    index: RouteIndex, before: Mapping[RowKey, Row | None], rows: Mapping[RowKey, Row]
) -> RouteIndex:
    """Return the index after some rows changed.

    Parameters
    ----------
    index : RouteIndex
        The index so far.
    before : mapping
        The changed rows as they were, None for those that were not there.
    rows : mapping
        All rows as they are now.
    """
    if all(key.kind != ROUTE_KIND for key in before):
        return index
    added: dict[str, list[str]] = collections.defaultdict(list)
    removed: dict[str, list[str]] = collections.defaultdict(list)
    for key, row in before.items():
        if key.kind != ROUTE_KIND:
            continue
        old = _listed_workspaces(row)
        new = _listed_workspaces(rows.get(key))
        for workspace in old - new:
            removed[workspace].append(key.name)
        for workspace in new - old:
            added[workspace].append(key.name)
    by_workspace = dict(index.by_workspace)
    for workspace in added.keys() | removed.keys():
        names = set(index.names(workspace)) - set(removed.get(workspace, ()))
        _store_names(by_workspace, workspace, sorted(names.union(added.get(workspace, ()))))
    return RouteIndex(by_workspace)


def _rank(route: RouteRow, path: str, model: str, names_workspace: bool) -> _Rank | None:
    models = route.get("models", [ANY])
    names_model = model in models
    if not names_model and ANY not in models:
        return None
    lengths = [len(prefix) for prefix in route["paths"] if path.startswith(prefix)]
    if not lengths:
        return None
    return _Rank(names_workspace, max(lengths), names_model)


def _listed_workspaces(row: Row | None) -> frozenset[str]:
    if row is None:
        return frozenset()
    return frozenset(_WORKSPACES_DECODER.decode(row.value).workspaces)


def _store_names(
    by_workspace: dict[str, str | tuple[str, ...]], workspace: str, names: list[str]
) -> None:
    if not names:
        by_workspace.pop(workspace, None)
        return
    # A lone name is stored bare: most workspaces have one route, and a tuple costs 48 bytes.
    by_workspace[workspace] = names[0] if len(names) == 1 else tuple(names)


class _Workspaces(msgspec.Struct):
    workspaces: list[str]


_ROUTE_DECODER = msgspec.json.Decoder(RouteRow)
_POOL_DECODER = msgspec.json.Decoder(PoolRow)
_WORKSPACES_DECODER = msgspec.json.Decoder(_Workspaces)
