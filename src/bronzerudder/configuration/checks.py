"""Validates a single row; checks across rows are done by the compiler."""

from __future__ import annotations

from collections.abc import Iterable

from bronzerudder.configuration.rows import Edit
from bronzerudder.settings import SettingsError, decode_document
from bronzerudder.tables import POOL_KIND, ROUTE_KIND, PoolRow, RouteRow

MAX_ROW_BYTES = 300_000
MAX_NAME_LENGTH = 200


def check_row(edit: Edit) -> RouteRow | PoolRow | SettingsError:
    """Decode and check the row that an edit writes.

    Parameters
    ----------
    edit : Edit
        An edit with a value.

    Returns
    -------
    dict or SettingsError
        The checked row, or the first error found in it.
    """
    if len(edit.key.name) > MAX_NAME_LENGTH:
        return SettingsError("$", f"the row's name exceeds {MAX_NAME_LENGTH} characters")
    if edit.value is None or len(edit.value) > MAX_ROW_BYTES:
        return SettingsError("$", f"the row exceeds {MAX_ROW_BYTES} bytes")
    if edit.key.kind == ROUTE_KIND:
        return _check_route(edit.value)
    if edit.key.kind == POOL_KIND:
        return _check_pool(edit.value)
    return SettingsError("$", f"no table {edit.key.kind}")


def _check_route(value: bytes) -> RouteRow | SettingsError:
    route = decode_document(value, RouteRow)
    if isinstance(route, SettingsError):
        return route
    for index, path in enumerate(route["paths"]):
        if not path.startswith("/"):
            return SettingsError(f"$.paths[{index}]", f"{path!r} does not start with `/`")
    return route


def _check_pool(value: bytes) -> PoolRow | SettingsError:
    pool = decode_document(value, PoolRow)
    if isinstance(pool, SettingsError):
        return pool
    servers = pool["backend_servers"]
    duplicate = _find_duplicate(server["name"] for server in servers)
    if duplicate is not None:
        return SettingsError("$.backend_servers", f"two backend servers are named {duplicate}")
    duplicate = _find_duplicate(server["rank"] for server in servers if "rank" in server)
    if duplicate is not None:
        return SettingsError("$.backend_servers", f"two backend servers have rank {duplicate}")
    return _check_ranks(pool)


def _check_ranks(pool: PoolRow) -> PoolRow | SettingsError:
    group = pool.get("group")
    for index, server in enumerate(pool["backend_servers"]):
        rank = server.get("rank")
        if rank is None:
            continue
        path = f"$.backend_servers[{index}].rank"
        if group is None:
            return SettingsError(path, "a rank needs the pool to have a group")
        if rank >= group["ranks"]:
            return SettingsError(
                path, f"rank {rank}, but the group has only {group['ranks']} ranks"
            )
    return pool


def _find_duplicate(values: Iterable[str | int]) -> str | int | None:
    seen: set[str | int] = set()
    for value in values:
        if value in seen:
            return value
        seen.add(value)
    return None
