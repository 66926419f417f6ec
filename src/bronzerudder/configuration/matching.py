"""Selects the route and pool of a request.

Routes are indexed by the workspaces that they list. The routes of a workspace and their pools are
decoded at its first request and cached, so that a large table need not be decoded in full.
"""

from __future__ import annotations

import collections
import functools
from collections.abc import Mapping
from typing import NamedTuple

import msgspec
import xxhash

from bronzerudder.configuration.packed import PackedMap
from bronzerudder.configuration.rows import Row, RowKey
from bronzerudder.tables import ANY, POOL_KIND, ROUTE_KIND, PoolRow, RouteRow

DECODED_ROWS_CACHE_SIZE = 256
MAX_CACHED_WORKSPACES = 1024
INDEX_BUILD_PASSES = 4
"""Passes over the rows to build the index; each handles a quarter of the workspaces."""


class Match(NamedTuple):
    """The route and pool selected for a request."""

    route_name: str
    route: RouteRow
    pool_name: str
    pool: PoolRow


class _Candidate(NamedTuple):
    """A route that lists a workspace, with its pool."""

    name: str
    route: RouteRow
    pool: PoolRow


class _Specificity(NamedTuple):
    """Orders the routes that match a request; the greatest wins."""

    path_length: int
    names_model: bool


class RouteIndex:
    """Finds routes by the workspaces that they list.

    Decoded routes are cached in the index; each snapshot has its own, so none gets stale.

    Parameters
    ----------
    by_workspace : PackedMap
        Route names of each workspace, sorted.
    """

    def __init__(self, by_workspace: PackedMap[str, tuple[str, ...]]) -> None:
        self.by_workspace = by_workspace
        self._candidates: dict[str, tuple[_Candidate, ...]] = {}

    def match(
        self, rows: PackedMap[RowKey, Row], workspace: str, path: str, model: str
    ) -> Match | None:
        """Return the most specific matching route in ``rows``, or None."""
        for listed in (workspace, ANY):
            best = _find_best(self._candidates_of(rows, listed), path, model)
            if best is not None:
                return Match(best.name, best.route, best.route["pool"], best.pool)
        return None

    def route_names(self, workspace: str) -> tuple[str, ...]:
        """Return the names of the routes that list a workspace, sorted."""
        return self.by_workspace.get(workspace) or ()

    def _candidates_of(
        self, rows: PackedMap[RowKey, Row], workspace: str
    ) -> tuple[_Candidate, ...]:
        cached = self._candidates.get(workspace)
        if cached is not None:
            return cached
        candidates = []
        for name in self.route_names(workspace):
            route = decode_route(rows[RowKey(ROUTE_KIND, name)].value)
            pool = self._pool(rows, route["pool"])
            candidates.append(_Candidate(name, route, pool))
        if len(self._candidates) >= MAX_CACHED_WORKSPACES:
            self._candidates.clear()
        self._candidates[workspace] = tuple(candidates)
        return self._candidates[workspace]

    def _pool(self, rows: PackedMap[RowKey, Row], name: str) -> PoolRow:
        return decode_pool(rows[RowKey(POOL_KIND, name)].value)


def _find_best(candidates: tuple[_Candidate, ...], path: str, model: str) -> _Candidate | None:
    best: _Candidate | None = None
    best_specificity: _Specificity | None = None
    for candidate in candidates:
        specificity = _specificity(candidate.route, path, model)
        if specificity is None or (
            best_specificity is not None and specificity <= best_specificity
        ):
            continue
        best, best_specificity = candidate, specificity
    return best


@functools.lru_cache(maxsize=DECODED_ROWS_CACHE_SIZE)
def decode_route(value: bytes) -> RouteRow:
    """Decode a route that has been accepted."""
    return _ROUTE_DECODER.decode(value)


@functools.lru_cache(maxsize=DECODED_ROWS_CACHE_SIZE)
def decode_pool(value: bytes) -> PoolRow:
    """Decode a pool that has been accepted."""
    return _POOL_DECODER.decode(value)


def update_index(
    index: RouteIndex,
    before: Mapping[RowKey, Row | None],
    after: Mapping[RowKey, Row | None],
) -> RouteIndex:
    """Return the index after some rows changed.

    Parameters
    ----------
    index : RouteIndex
        The index before the change.
    before, after : mapping
        The changed rows before and after; None for a row that does not exist.
    """
    added: dict[str, list[str]] = collections.defaultdict(list)
    removed: dict[str, list[str]] = collections.defaultdict(list)
    for key, row in before.items():
        if key.kind != ROUTE_KIND:
            continue
        old = _listed_workspaces(row)
        new = _listed_workspaces(after[key])
        for workspace in old - new:
            removed[workspace].append(key.name)
        for workspace in new - old:
            added[workspace].append(key.name)
    changes: dict[str, tuple[str, ...] | None] = {}
    for workspace in added.keys() | removed.keys():
        route_names = set(index.route_names(workspace)) - set(removed.get(workspace, ()))
        changes[workspace] = tuple(sorted(route_names.union(added.get(workspace, ())))) or None
    return RouteIndex(index.by_workspace.updated(changes) if changes else index.by_workspace)


def build_index(rows: PackedMap[RowKey, Row]) -> RouteIndex:
    """Return the index of all routes."""
    by_workspace = EMPTY_INDEX.by_workspace
    # In several passes, as the unpacked names of all workspaces take many times the packed index.
    for build_pass in range(INDEX_BUILD_PASSES):
        names_by_workspace: dict[str, list[str]] = collections.defaultdict(list)
        for key, row in rows.items():
            if key.kind != ROUTE_KIND:
                continue
            for workspace in _listed_workspaces(row):
                if _hash_workspace(workspace) % INDEX_BUILD_PASSES == build_pass:
                    names_by_workspace[workspace].append(key.name)
        route_names = {
            workspace: tuple(sorted(listed)) for workspace, listed in names_by_workspace.items()
        }
        by_workspace = by_workspace.updated(route_names)
    return RouteIndex(by_workspace)


def _hash_workspace(workspace: str) -> int:
    return xxhash.xxh3_64_intdigest(workspace.encode())


def _specificity(route: RouteRow, path: str, model: str) -> _Specificity | None:
    models = route.get("models", [ANY])
    names_model = model in models
    if not names_model and ANY not in models:
        return None
    lengths = [len(prefix) for prefix in route["paths"] if path.startswith(prefix)]
    if not lengths:
        return None
    return _Specificity(max(lengths), names_model)


def _listed_workspaces(row: Row | None) -> frozenset[str]:
    if row is None:
        return frozenset()
    return frozenset(_WORKSPACES_DECODER.decode(row.value).workspaces)


class _Workspaces(msgspec.Struct):
    workspaces: list[str]


_ROUTE_DECODER = msgspec.json.Decoder(RouteRow)
_POOL_DECODER = msgspec.json.Decoder(PoolRow)
_WORKSPACES_DECODER = msgspec.json.Decoder(_Workspaces)
EMPTY_INDEX = RouteIndex(PackedMap(tuple[str, tuple[str, ...]], _hash_workspace))
