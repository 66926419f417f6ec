"""Defines edits of rows and the decisions on them."""

from __future__ import annotations

from typing import NamedTuple

import xxhash


class RowKey(NamedTuple):
    """Identifies one row of the tables."""

    kind: str
    name: str


def hash_row(key: RowKey) -> int:
    """Return the hash that assigns a row to a part and a bucket."""
    return xxhash.xxh3_64_intdigest(f"{key.kind}/{key.name}".encode())


class Edit(NamedTuple):
    """One write or deletion of a row in the platform's store.

    Parameters
    ----------
    key : RowKey
        The row.
    version : int
        Version of the write in the platform's store.
    value : bytes or None
        The row's JSON; None for a deletion.
    """

    key: RowKey
    version: int
    value: bytes | None


class Decision(NamedTuple):
    """Acceptance or refusal of an edit by a recorded revision.

    Parameters
    ----------
    revision : int
        Revision of the configuration that recorded it.
    edit : Edit
        The edit.
    reason : str
        Empty for an accepted edit; else why it was refused, in which case the last accepted row
        stays in force.
    """

    revision: int
    edit: Edit
    reason: str = ""


class Row(NamedTuple):
    """One row in force; ``revision`` is that of the configuration that accepted it."""

    version: int
    revision: int
    value: bytes
