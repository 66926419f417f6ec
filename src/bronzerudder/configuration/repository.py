"""Reads, loads and records the configuration that the platform's object store holds.

One root object names the state at a base revision, split into immutable parts, and lists every
decision since then. Writing the root is conditional on the version that was read; a lost response
is resolved by reading the root back, so that no revision is recorded twice or taken for recorded
when it is not.
"""

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
    parse_decision,
)
from bronzerudder.configuration.errors import ConfigurationError, ConfigurationErrorKind
from bronzerudder.configuration.immutable_objects import read_objects
from bronzerudder.configuration.rows import Decision
from bronzerudder.configuration.shared import SharedConfiguration
from bronzerudder.configuration.snapshot import Snapshot, SnapshotBuilder, apply_decisions
from bronzerudder.platform import ABSENT_VERSION, ObjectStore, StoreError, StoreErrorKind

PARTS_PER_READ = 8
"""Parts decoded at a time, as all decisions of a large table take several times its memory."""


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
    process_name : str
        Name of this process, stored as ``recorded_by`` in the roots that it writes.
    """

    def __init__(self, store: ObjectStore, process_name: str) -> None:
        self._store = store
        self._process_name = process_name

    @property
    def store(self) -> ObjectStore:
        """The platform's store."""
        return self._store

    async def read_root(self) -> Root | ConfigurationError:
        """Read the root; if none was recorded yet, return an empty one at revision 0."""
        stored = await self._store.get(ROOT_KIND, ROOT_NAME)
        if isinstance(stored, StoreError):
            if stored.kind is StoreErrorKind.NOT_FOUND:
                return Root(ABSENT_VERSION, empty_root())
            return ConfigurationError.from_store(stored)
        return decode_root(stored.version, stored.value)

    async def load(self, root: Root, shared: SharedConfiguration) -> ConfigurationError | None:
        """Put the configuration of a root in force, starting from the one in force.

        Reads parts only if the revision in force is below the root's base. Returns ``SUPERSEDED``
        if the manifest or a part has been deleted, as compaction does once a newer root no longer
        names it; the caller must then read that root.
        """
        document = root.document
        if shared.revision >= document["revision"]:
            return None
        snapshot = shared.snapshot
        decisions = tuple(parse_decision(item) for item in document["decisions"])
        if snapshot.revision >= document["base_revision"]:
            shared.advance(_apply(snapshot, decisions, document), decisions)
            return None
        loaded = await self._load_base(document)
        if isinstance(loaded, ConfigurationError):
            return loaded
        shared.advance(_apply(loaded, decisions, document), None)
        return None

    async def read_manifest(self, document: RootDocument) -> ManifestDocument | ConfigurationError:
        """Read the manifest that a root names; return an empty one if it names none."""
        reference = document["manifest"]
        if reference is None:
            return ManifestDocument(revision=0, rows_version=0, parts=[], logs=[])
        stored = await self._store.get(MANIFEST_KIND, reference["name"])
        if isinstance(stored, StoreError):
            return _missing_or_unavailable(stored)
        try:
            return msgspec.json.decode(stored.value, type=ManifestDocument)
        except msgspec.DecodeError as error:
            return corrupt_error(f"manifest {reference['name']}: {error}")

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
                "recorded_by": self._process_name,
                "recorded_at_s": time.time(),
            }
        )
        return await self.replace_root(root, document)

    async def replace_root(self, root: Root, document: RootDocument) -> Root | ConfigurationError:
        """Replace the root that ``document`` was derived from, unless it has changed since.

        A lost response is resolved by reading the root back.
        """
        value = msgspec.json.encode(document)
        written = await self._store.put(ROOT_KIND, ROOT_NAME, value, root.version)
        if isinstance(written, int):
            return Root(written, document)
        if written.kind is StoreErrorKind.CONFLICT:
            return ConfigurationError(ConfigurationErrorKind.SUPERSEDED, written.reason)
        if written.kind is not StoreErrorKind.OUTCOME_UNKNOWN:
            return ConfigurationError.from_store(written)
        return await self._resolve_lost_response(root, document)

    async def _resolve_lost_response(
        self, root: Root, document: RootDocument
    ) -> Root | ConfigurationError:
        current = await self.read_root()
        if isinstance(current, ConfigurationError):
            return current
        if current.document == document:
            return current
        if current.version == root.version:
            reason = "the response to the write was lost and the root is unchanged so far"
            return ConfigurationError(ConfigurationErrorKind.UNAVAILABLE, reason)
        return ConfigurationError(ConfigurationErrorKind.SUPERSEDED, "a newer root was recorded")

    async def _load_base(self, document: RootDocument) -> Snapshot | ConfigurationError:
        manifest = await self.read_manifest(document)
        if isinstance(manifest, ConfigurationError):
            return manifest
        builder = SnapshotBuilder()
        references = manifest["parts"]
        for start in range(0, len(references), PARTS_PER_READ):
            parts = await read_objects(
                self._store, PART_KIND, references[start : start + PARTS_PER_READ]
            )
            if isinstance(parts, StoreError):
                return _missing_or_unavailable(parts)
            try:
                decisions = [item for part in parts for item in decode_decisions(part)]
            except msgspec.DecodeError as error:
                return corrupt_error(f"a part of revision {manifest['revision']}: {error}")
            builder.add(decisions)
        return builder.finish(manifest["revision"], manifest["rows_version"])


def _apply(snapshot: Snapshot, decisions: tuple[Decision, ...], document: RootDocument) -> Snapshot:
    return apply_decisions(snapshot, decisions, document["revision"], document["rows_version"])


def empty_root() -> RootDocument:
    """Return the root that stands for an empty store."""
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
        return corrupt_error(f"root: {error}")


def corrupt_error(reason: str) -> ConfigurationError:
    """Return the error for an object that could not be decoded."""
    return ConfigurationError(ConfigurationErrorKind.CORRUPT, reason)


def _missing_or_unavailable(error: StoreError) -> ConfigurationError:
    if error.kind is StoreErrorKind.NOT_FOUND:
        return ConfigurationError(ConfigurationErrorKind.SUPERSEDED, error.reason)
    return ConfigurationError.from_store(error)
