"""Moves decisions out of the root into parts, so that the root stays small."""

from __future__ import annotations

import msgspec

from bronzerudder.configuration.documents import (
    LOG_KIND,
    MANIFEST_KIND,
    PART_KIND,
    DecisionDocument,
    ManifestDocument,
    PieceDocument,
    RootDocument,
)
from bronzerudder.configuration.errors import ConfigurationError, ConfigurationErrorKind
from bronzerudder.configuration.parts import content_address, split_parts
from bronzerudder.configuration.pieces import delete_pieces, write_piece, write_pieces
from bronzerudder.configuration.repository import ConfigurationRepository, Root
from bronzerudder.configuration.snapshot import Snapshot
from bronzerudder.platform import StoreError

COMPACTION_BYTES = 8_000
ROOT_MAX_BYTES = 900_000
KEPT_LOGS = 64
REBASE_ATTEMPTS = 5


def decisions_size(decisions: list[DecisionDocument]) -> int:
    """Return about how many bytes decisions take in the root."""
    return sum(len(item["value"] or b"") * 4 // 3 + len(item["reason"]) + 200 for item in decisions)


def wants_compaction(document: RootDocument) -> bool:
    """Say whether the root has grown enough to be compacted."""
    return decisions_size(document["decisions"]) > COMPACTION_BYTES


async def compact(
    repository: ConfigurationRepository, root: Root, snapshot: Snapshot
) -> Root | ConfigurationError:
    """Write the snapshot as parts and name them in the root, at the same revision.

    Decisions recorded meanwhile by others stay in the root. Pieces that the new root no longer
    names are deleted; a process that dies in between leaves pieces behind that nothing names.

    Parameters
    ----------
    repository : ConfigurationRepository
        Where the configuration is kept.
    root : Root
        The root that ``snapshot`` was loaded from.
    snapshot : Snapshot
        The configuration at the root's revision.
    """
    before = await repository.read_manifest(root.document)
    if isinstance(before, ConfigurationError):
        return before
    after = await _write_manifest(repository, root, snapshot, before)
    if isinstance(after, ConfigurationError):
        return after
    manifest, piece = after
    replaced = await _replace_base(repository, root, manifest, piece)
    if isinstance(replaced, ConfigurationError):
        if replaced.kind is ConfigurationErrorKind.SUPERSEDED:
            await _discard(repository, manifest, piece)
        return replaced
    await _delete_unnamed(repository, before, manifest)
    if root.document["manifest"] is not None:
        await delete_pieces(repository.store, MANIFEST_KIND, [root.document["manifest"]])
    return replaced


async def _write_manifest(
    repository: ConfigurationRepository,
    root: Root,
    snapshot: Snapshot,
    before: ManifestDocument,
) -> tuple[ManifestDocument, PieceDocument] | ConfigurationError:
    store = repository.store
    # Names carry both revisions: two compactions share a piece only if they started alike.
    span = f"{root.document['base_revision']:012d}-{snapshot.revision:012d}"
    kept = {_address(piece): piece for piece in before["parts"]}
    encoded = split_parts(snapshot)
    addresses = [content_address(part) for part in encoded]
    fresh = [
        (f"{address}.{span}", part)
        for address, part in zip(addresses, encoded, strict=True)
        if address not in kept
    ]
    written = await write_pieces(store, PART_KIND, fresh)
    if isinstance(written, StoreError):
        return ConfigurationError.from_store(written)
    kept.update((_address(piece), piece) for piece in written)
    log_data = msgspec.json.encode(root.document["decisions"])
    log = await write_piece(store, LOG_KIND, span, log_data)
    if isinstance(log, StoreError):
        return ConfigurationError.from_store(log)
    manifest = ManifestDocument(
        revision=snapshot.revision,
        rows_version=snapshot.rows_version,
        parts=[kept[address] for address in addresses],
        logs=[*before["logs"], log][-KEPT_LOGS:],
    )
    piece = await write_piece(store, MANIFEST_KIND, span, msgspec.json.encode(manifest))
    return (
        ConfigurationError.from_store(piece) if isinstance(piece, StoreError) else (manifest, piece)
    )


async def _replace_base(
    repository: ConfigurationRepository,
    root: Root,
    manifest: ManifestDocument,
    piece: PieceDocument,
) -> Root | ConfigurationError:
    base = manifest["revision"]
    started_from = root.document["base_revision"]
    result: Root | ConfigurationError = root
    for _ in range(REBASE_ATTEMPTS):
        if root.document["base_revision"] != started_from:
            return ConfigurationError(ConfigurationErrorKind.SUPERSEDED, "compacted by another")
        later = [item for item in root.document["decisions"] if item["revision"] > base]
        document = RootDocument(
            **{**root.document, "base_revision": base, "manifest": piece, "decisions": later}
        )
        result = await repository.replace_root(root, document)
        if isinstance(result, Root) or result.kind is not ConfigurationErrorKind.SUPERSEDED:
            return result
        latest = await repository.read_root()
        if isinstance(latest, ConfigurationError):
            return latest
        root = latest
    return result


async def _discard(
    repository: ConfigurationRepository, manifest: ManifestDocument, piece: PieceDocument
) -> None:
    """Delete the pieces of a compaction that lost, except those that the winner names."""
    root = await repository.read_root()
    if (
        isinstance(root, ConfigurationError)
        or root.document["base_revision"] < manifest["revision"]
    ):
        return
    winner = await repository.read_manifest(root.document)
    if isinstance(winner, ConfigurationError) or root.document["manifest"] == piece:
        return
    await _delete_unnamed(repository, manifest, winner)
    await delete_pieces(repository.store, MANIFEST_KIND, [piece])


async def _delete_unnamed(
    repository: ConfigurationRepository, old: ManifestDocument, new: ManifestDocument
) -> None:
    for kind, before, after in (
        (PART_KIND, old["parts"], new["parts"]),
        (LOG_KIND, old["logs"], new["logs"]),
    ):
        named = {piece["name"] for piece in after}
        unnamed = [piece for piece in before if piece["name"] not in named]
        await delete_pieces(repository.store, kind, unnamed)


def _address(piece: PieceDocument) -> str:
    return piece["name"].partition(".")[0]
