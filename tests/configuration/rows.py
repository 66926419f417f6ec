"""Builds rows and edits for tests."""

from __future__ import annotations

import json

from bronzerudder.configuration import Edit, RowKey
from bronzerudder.tables import POOL_KIND, ROUTE_KIND


def route(pool: str = "p", **fields: object) -> bytes:
    """Return the JSON form of a route."""
    row = {"workspaces": ["*"], "paths": ["/"], "pool": pool, "deadline_s": 5, "repeatable": True}
    return json.dumps({**row, **fields}).encode()


def pool(*servers: str, **fields: object) -> bytes:
    """Return the JSON form of a pool."""
    rows = [
        {"name": name, "agent_address": "127.0.0.1:1", "failure_domain": "fd1"} for name in servers
    ]
    return json.dumps({"kind": "service", "backend_servers": rows, **fields}).encode()


def route_edit(name: str, version: int, value: bytes | None) -> Edit:
    """Return an edit of a route."""
    return Edit(RowKey(ROUTE_KIND, name), version, value)


def pool_edit(name: str, version: int, value: bytes | None) -> Edit:
    """Return an edit of a pool."""
    return Edit(RowKey(POOL_KIND, name), version, value)
