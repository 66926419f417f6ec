"""Edits of rows and what became of them."""

from __future__ import annotations

from typing import NamedTuple

import xxhash


class RowKey(NamedTuple):
    """Names one row of the tables."""

    kind: str
    name: str


def hash_row(key: RowKey) -> int:
    """Return the number by which rows are spread over parts and buckets."""
    return xxhash.xxh3_64_intdigest(f"{key.kind}/{key.name}".encode())


class Edit(NamedTuple):
    """One write or deletion of a row, as the platform holds it.

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
    """What the recorded revision made of an edit.

    Parameters
    ----------
    revision : int
        Revision of the configuration that recorded it.
    edit : Edit
        The edit.
    reason : str
        Empty for an accepted edit; else why it was refused, so that the last accepted row stays
        in force.
    """

    revision: int
    edit: Edit
    reason: str = ""


class Row(NamedTuple):
    """One row in force; ``revision`` is that of the configuration that accepted it."""

    version: int
    revision: int
    value: bytes
