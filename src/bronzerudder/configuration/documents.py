"""Defines the JSON documents that hold the configuration on the platform."""

from __future__ import annotations

from typing import TypedDict

import msgspec

from bronzerudder.configuration.rows import Decision, Edit, RowKey

ROOT_KIND = "configuration"
ROOT_NAME = "root"
MANIFEST_KIND = "configuration-manifest"
PART_KIND = "configuration-part"
LOG_KIND = "configuration-log"


class DecisionDocument(TypedDict):
    """JSON form of a `Decision`."""

    revision: int
    kind: str
    name: str
    version: int
    value: bytes | None
    reason: str


class ObjectReference(TypedDict):
    """Names an immutable object: a manifest, part or log; ``version`` is needed to delete it.

    A part's name has its content address, the base revision and the snapshot's revision of the
    compaction that wrote it, so that no later compaction reuses an object that an earlier one is
    about to delete.
    """

    name: str
    version: int


class RootDocument(TypedDict):
    """The single object whose conditional update records a revision.

    ``decisions`` holds every decision after ``base_revision``; ``manifest`` names the parts that
    hold the state at ``base_revision`` and is None while that is 0. ``recorded_at_s`` is the
    recorder's clock in Unix seconds, for information only.
    """

    revision: int
    rows_version: int
    base_revision: int
    manifest: ObjectReference | None
    decisions: list[DecisionDocument]
    recorded_by: str
    recorded_at_s: float


class ManifestDocument(TypedDict):
    """Names the parts of the state at one revision, and logs of earlier decisions, oldest first."""

    revision: int
    rows_version: int
    parts: list[ObjectReference]
    logs: list[ObjectReference]


def decision_document(decision: Decision) -> DecisionDocument:
    """Return the JSON form of a decision."""
    edit = decision.edit
    return DecisionDocument(
        revision=decision.revision,
        kind=edit.key.kind,
        name=edit.key.name,
        version=edit.version,
        value=edit.value,
        reason=decision.reason,
    )


def parse_decision(document: DecisionDocument) -> Decision:
    """Return the decision that a JSON form describes."""
    key = RowKey(document["kind"], document["name"])
    edit = Edit(key, document["version"], document["value"])
    return Decision(document["revision"], edit, document["reason"])


def encode_decisions(decisions: list[Decision]) -> bytes:
    """Encode decisions as a part or a log."""
    return msgspec.json.encode([decision_document(decision) for decision in decisions])


def decode_decisions(data: bytes) -> list[Decision]:
    """Decode a part or a log; raise `msgspec.DecodeError` if it is malformed."""
    return [parse_decision(item) for item in msgspec.json.decode(data, type=list[DecisionDocument])]
