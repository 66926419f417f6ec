"""Reads past decisions on one row from the root and the logs that compaction keeps."""

from __future__ import annotations

import msgspec

from bronzerudder.configuration.documents import (
    LOG_KIND,
    RootDocument,
    decode_decisions,
    parse_decision,
)
from bronzerudder.configuration.errors import ConfigurationError
from bronzerudder.configuration.repository import ConfigurationRepository, corrupt_error
from bronzerudder.configuration.rows import Decision, RowKey
from bronzerudder.platform import StoreError


async def read_decisions(
    repository: ConfigurationRepository,
    document: RootDocument,
    key: RowKey,
    until_version: int | None = None,
) -> list[Decision] | ConfigurationError:
    """Return the decisions on a row, oldest first.

    Parameters
    ----------
    document : RootDocument
        The root to start from.
    until_version : int or None
        Stop reading older logs once a decision on this version of the row has been found; None
        reads all.
    """
    matching = [parse_decision(item) for item in document["decisions"] if _row_key(item) == key]
    if document["manifest"] is None or _has_version(matching, until_version):
        return matching
    manifest = await repository.read_manifest(document)
    if isinstance(manifest, ConfigurationError):
        return manifest
    for reference in reversed(manifest["logs"]):
        stored = await repository.store.get(LOG_KIND, reference["name"])
        if isinstance(stored, StoreError):
            return ConfigurationError.from_store(stored)
        try:
            older = decode_decisions(stored.value)
        except msgspec.DecodeError as error:
            return corrupt_error(f"log {reference['name']}: {error}")
        matching = [decision for decision in older if decision.edit.key == key] + matching
        if _has_version(matching, until_version):
            break
    return matching


def _row_key(item: dict) -> RowKey:
    return RowKey(item["kind"], item["name"])


def _has_version(decisions: list[Decision], version: int | None) -> bool:
    return any(decision.edit.version == version for decision in decisions)
