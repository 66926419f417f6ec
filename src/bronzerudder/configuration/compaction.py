"""Moves decisions out of the root object into immutable parts, so that the root stays small.

Each part's name holds a hash of its content, so that a part that did not change is not written
again. The decisions moved out are kept in a log, from which the history of a row is read. Several
processes may compact at once; the conditional update of the root lets one succeed.
"""

from __future__ import annotations

import msgspec

from bronzerudder.configuration.documents import (
    LOG_KIND,
    MANIFEST_KIND,
    PART_KIND,
    DecisionDocument,
    ManifestDocument,
    ObjectReference,
    RootDocument,
)
from bronzerudder.configuration.errors import ConfigurationError, ConfigurationErrorKind
from bronzerudder.configuration.immutable_objects import delete_objects, write_object, write_objects
from bronzerudder.configuration.parts import content_address, encode_parts
from bronzerudder.configuration.repository import ConfigurationRepository, Root
from bronzerudder.configuration.snapshot import Snapshot
from bronzerudder.platform import StoreError

COMPACTION_BYTES = 8_000
"""Size of the root's decisions above which they are compacted."""
ROOT_MAX_BYTES = 900_000
"""Limit of the decisions in the root; it is compacted first if a batch would exceed this.

Keeps the root below the platform's limit on the size of an object.
"""
MAX_LOGS = 64
"""Logs that the manifest names; older ones are deleted."""
MAX_REBASE_ATTEMPTS = 5
"""Attempts to replace a root that other processes keep updating."""


def decisions_size(decisions: list[DecisionDocument]) -> int:
    """Estimate how many bytes decisions take in the root, where values are in base64."""
    return sum(len(item["value"] or b"") * 4 // 3 + len(item["reason"]) + 200 for item in decisions)


def needs_compaction(document: RootDocument) -> bool:
    """Return whether the root's decisions exceed `COMPACTION_BYTES`."""
    return decisions_size(document["decisions"]) > COMPACTION_BYTES


async def compact(
    repository: ConfigurationRepository, root: Root, snapshot: Snapshot
) -> Root | ConfigurationError:
    """Write the snapshot as parts and make them the root's base; its revision stays the same.

    Decisions that others record meanwhile stay in the root. Objects that the new root no longer
    references are deleted afterwards; a process that dies in between leaves unreferenced objects
    behind.

    Parameters
    ----------
    repository : ConfigurationRepository
        The configuration on the platform.
    root : Root
        The root that ``snapshot`` was loaded from.
    snapshot : Snapshot
        The configuration at the root's revision.
    """
    before = await repository.read_manifest(root.document)
    if isinstance(before, ConfigurationError):
        return before
    after = await _write_parts_and_manifest(repository, root, snapshot, before)
    if isinstance(after, ConfigurationError):
        return after
    manifest, reference = after
    replaced = await _replace_base(repository, root, manifest, reference)
    if isinstance(replaced, ConfigurationError):
        if replaced.kind is ConfigurationErrorKind.SUPERSEDED:
            await _delete_superseded(repository, manifest, reference)
        return replaced
    await _delete_unreferenced(repository, before, manifest)
    if root.document["manifest"] is not None:
        await delete_objects(repository.store, MANIFEST_KIND, [root.document["manifest"]])
    return replaced


async def _write_parts_and_manifest(
    repository: ConfigurationRepository,
    root: Root,
    snapshot: Snapshot,
    before: ManifestDocument,
) -> tuple[ManifestDocument, ObjectReference] | ConfigurationError:
    store = repository.store
    # Names carry both revisions: two compactions share an object only if they have the same base
    # and the same snapshot revision.
    revision_range = f"{root.document['base_revision']:012d}-{snapshot.revision:012d}"
    by_address = {_address(reference): reference for reference in before["parts"]}
    encoded = encode_parts(snapshot)
    addresses = [content_address(part) for part in encoded]
    new_parts = [
        (f"{address}.{revision_range}", part)
        for address, part in zip(addresses, encoded, strict=True)
        if address not in by_address
    ]
    written = await write_objects(store, PART_KIND, new_parts)
    if isinstance(written, StoreError):
        return ConfigurationError.from_store(written)
    by_address.update((_address(reference), reference) for reference in written)
    log_data = msgspec.json.encode(root.document["decisions"])
    log = await write_object(store, LOG_KIND, revision_range, log_data)
    if isinstance(log, StoreError):
        return ConfigurationError.from_store(log)
    manifest = ManifestDocument(
        revision=snapshot.revision,
        rows_version=snapshot.rows_version,
        parts=[by_address[address] for address in addresses],
        logs=[*before["logs"], log][-MAX_LOGS:],
    )
    reference = await write_object(
        store, MANIFEST_KIND, revision_range, msgspec.json.encode(manifest)
    )
    return (
        ConfigurationError.from_store(reference)
        if isinstance(reference, StoreError)
        else (manifest, reference)
    )


async def _replace_base(
    repository: ConfigurationRepository,
    root: Root,
    manifest: ManifestDocument,
    reference: ObjectReference,
) -> Root | ConfigurationError:
    base = manifest["revision"]
    initial_base = root.document["base_revision"]
    result: Root | ConfigurationError = root
    for _ in range(MAX_REBASE_ATTEMPTS):
        if root.document["base_revision"] != initial_base:
            return ConfigurationError(
                ConfigurationErrorKind.SUPERSEDED, "another process has compacted the root"
            )
        later = [item for item in root.document["decisions"] if item["revision"] > base]
        document = RootDocument(
            **{**root.document, "base_revision": base, "manifest": reference, "decisions": later}
        )
        result = await repository.replace_root(root, document)
        if isinstance(result, Root) or result.kind is not ConfigurationErrorKind.SUPERSEDED:
            return result
        latest = await repository.read_root()
        if isinstance(latest, ConfigurationError):
            return latest
        root = latest
    return result


async def _delete_superseded(
    repository: ConfigurationRepository, manifest: ManifestDocument, reference: ObjectReference
) -> None:
    """Delete the objects of a compaction that lost the race, except those the winner references."""
    root = await repository.read_root()
    if (
        isinstance(root, ConfigurationError)
        or root.document["base_revision"] < manifest["revision"]
    ):
        return
    winner = await repository.read_manifest(root.document)
    if isinstance(winner, ConfigurationError) or root.document["manifest"] == reference:
        return
    await _delete_unreferenced(repository, manifest, winner)
    await delete_objects(repository.store, MANIFEST_KIND, [reference])


async def _delete_unreferenced(
    repository: ConfigurationRepository, old: ManifestDocument, new: ManifestDocument
) -> None:
    for kind, before, after in (
        (PART_KIND, old["parts"], new["parts"]),
        (LOG_KIND, old["logs"], new["logs"]),
    ):
        referenced = {reference["name"] for reference in after}
        unreferenced = [reference for reference in before if reference["name"] not in referenced]
        await delete_objects(repository.store, kind, unreferenced)


def _address(reference: ObjectReference) -> str:
    return reference["name"].partition(".")[0]
