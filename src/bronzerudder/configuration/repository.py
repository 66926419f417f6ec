"""The configuration as the platform keeps it: read, record, load."""

from __future__ import annotations

import time
from typing import NamedTuple

import msgspec

from bronzerudder.configuration.documents import (
    MANIFEST_KIND,
    PART_KIND,
    ROOT_KIND,
    ROOT_NAME,
    ManifestDocument,
    RootDocument,
    decision_document,
    decode_decisions,
    read_decision,
)
from bronzerudder.configuration.errors import ConfigurationError, ConfigurationErrorKind
from bronzerudder.configuration.pieces import read_pieces
from bronzerudder.configuration.rows import Decision
from bronzerudder.configuration.shared import SharedConfiguration
from bronzerudder.configuration.snapshot import Snapshot, SnapshotBuilder, apply_decisions
from bronzerudder.platform import ABSENT_VERSION, ObjectStore, StoreError, StoreErrorKind

PARTS_AT_ONCE = 8


class Root(NamedTuple):
    """The root object and the platform's version of it."""

    version: int
    document: RootDocument


class ConfigurationRepository:
    """Reads and records the configuration through the object API.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    recorder : str
        Name of this process, kept with what it records.
    """

    def __init__(self, store: ObjectStore, recorder: str) -> None:
        self._store = store
        self._recorder = recorder

    @property
    def store(self) -> ObjectStore:
        """The platform's store."""
        return self._store

    async def read_root(self) -> Root | ConfigurationError:
        """Read the root; before anything was recorded, an empty one at revision 0."""
        stored = await self._store.get(ROOT_KIND, ROOT_NAME)
        if isinstance(stored, StoreError):
            if stored.kind is StoreErrorKind.NOT_FOUND:
                return Root(ABSENT_VERSION, empty_root())
            return ConfigurationError.from_store(stored)
        return decode_root(stored.version, stored.value)

    async def load(self, root: Root, shared: SharedConfiguration) -> ConfigurationError | None:
        """Put the configuration of a root in force, starting from what is in force already.

        Reads parts only when that is older than the root's base. Returns ``SUPERSEDED`` when a
        part is gone, so that the caller must read a newer root.
        """
        document = root.document
        if shared.revision >= document["revision"]:
            return None
        known = shared.snapshot
        decisions = tuple(read_decision(item) for item in document["decisions"])
        if known.revision >= document["base_revision"]:
            shared.advance(_apply(known, decisions, document), decisions)
            return None
        loaded = await self._load_base(document)
        if isinstance(loaded, ConfigurationError):
            return loaded
        shared.advance(_apply(loaded, decisions, document), None)
        return None

    async def read_manifest(self, document: RootDocument) -> ManifestDocument | ConfigurationError:
        """Read the manifest that a root names; an empty one where it names none."""
        piece = document["manifest"]
        if piece is None:
            return ManifestDocument(revision=0, rows_version=0, parts=[], logs=[])
        stored = await self._store.get(MANIFEST_KIND, piece["name"])
        if isinstance(stored, StoreError):
            return _gone_or_unavailable(stored)
        try:
            return msgspec.json.decode(stored.value, type=ManifestDocument)
        except msgspec.DecodeError as error:
            return corrupt(f"manifest {piece['name']}: {error}")

    async def record(
        self, root: Root, decisions: tuple[Decision, ...], rows_version: int
    ) -> Root | ConfigurationError:
        """Record decisions as the revision after the root's.

        Returns
        -------
        Root or ConfigurationError
            The root as recorded; ``SUPERSEDED`` when another process recorded one first.
        """
        document = RootDocument(
            **{
                **root.document,
                "revision": root.document["revision"] + 1,
                "rows_version": rows_version,
                "decisions": root.document["decisions"]
                + [decision_document(decision) for decision in decisions],
                "recorded_by": self._recorder,
                "recorded_at_s": time.time(),
            }
        )
        return await self.replace_root(root, document)

    async def replace_root(self, root: Root, document: RootDocument) -> Root | ConfigurationError:
        """Write a root over the one it was made from; settle a lost answer by reading back."""
        value = msgspec.json.encode(document)
        written = await self._store.put(ROOT_KIND, ROOT_NAME, value, root.version)
        if isinstance(written, int):
            return Root(written, document)
        if written.kind is StoreErrorKind.CONFLICT:
            return ConfigurationError(ConfigurationErrorKind.SUPERSEDED, written.reason)
        if written.kind is not StoreErrorKind.OUTCOME_UNKNOWN:
            return ConfigurationError.from_store(written)
        return await self._settle(root, document)

    async def _settle(self, root: Root, document: RootDocument) -> Root | ConfigurationError:
        current = await self.read_root()
        if isinstance(current, ConfigurationError):
            return current
        if current.document == document:
            return current
        if current.version == root.version:
            reason = "the write's answer was lost and it has had no effect yet"
            return ConfigurationError(ConfigurationErrorKind.UNAVAILABLE, reason)
        return ConfigurationError(ConfigurationErrorKind.SUPERSEDED, "a newer root was recorded")

    async def _load_base(self, document: RootDocument) -> Snapshot | ConfigurationError:
        manifest = await self.read_manifest(document)
        if isinstance(manifest, ConfigurationError):
            return manifest
        builder = SnapshotBuilder()
        pieces = manifest["parts"]
        for place in range(0, len(pieces), PARTS_AT_ONCE):
            parts = await read_pieces(self._store, PART_KIND, pieces[place : place + PARTS_AT_ONCE])
            if isinstance(parts, StoreError):
                return _gone_or_unavailable(parts)
            try:
                decisions = [item for part in parts for item in decode_decisions(part)]
            except msgspec.DecodeError as error:
                return corrupt(f"a part of {manifest['revision']}: {error}")
            builder.add(decisions)
        return builder.finish(manifest["revision"], manifest["rows_version"])


def _apply(known: Snapshot, decisions: tuple[Decision, ...], document: RootDocument) -> Snapshot:
    return apply_decisions(known, decisions, document["revision"], document["rows_version"])


def empty_root() -> RootDocument:
    """Return the root before anything was recorded."""
    return RootDocument(
        revision=0,
        rows_version=0,
        base_revision=0,
        manifest=None,
        decisions=[],
        recorded_by="",
        recorded_at_s=0.0,
    )


def decode_root(version: int, value: bytes) -> Root | ConfigurationError:
    """Decode the root object."""
    try:
        return Root(version, msgspec.json.decode(value, type=RootDocument))
    except msgspec.DecodeError as error:
        return corrupt(f"root: {error}")


def corrupt(reason: str) -> ConfigurationError:
    """Say that an object could not be understood."""
    return ConfigurationError(ConfigurationErrorKind.CORRUPT, reason)


def _gone_or_unavailable(error: StoreError) -> ConfigurationError:
    if error.kind is StoreErrorKind.NOT_FOUND:
        return ConfigurationError(ConfigurationErrorKind.SUPERSEDED, error.reason)
    return ConfigurationError.from_store(error)
