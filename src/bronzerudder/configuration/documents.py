"""JSON documents in which the configuration is kept on the platform."""

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
    """One decision; see `Decision`."""

    revision: int
    kind: str
    name: str
    version: int
    value: bytes | None
    reason: str


class PieceDocument(TypedDict):
    """Names a manifest, part or log, none of which ever changes; ``version`` serves to delete it.

    The name of a part is its content address and the two revisions between which it was written,
    so that no later writer takes up a piece that an earlier one is about to delete.
    """

    name: str
    version: int


class RootDocument(TypedDict):
    """The one object whose conditional update accepts a revision.

    ``decisions`` holds every decision after ``base_revision``; ``manifest`` names the parts that
    hold the state at ``base_revision`` and is None while that is 0. ``recorded_at_s`` is the
    recorder's clock in seconds since 1970, for people only.
    """

    revision: int
    rows_version: int
    base_revision: int
    manifest: PieceDocument | None
    decisions: list[DecisionDocument]
    recorded_by: str
    recorded_at_s: float


class ManifestDocument(TypedDict):
    """Names the parts of the state at one revision, by bucket, and logs of earlier decisions."""

    revision: int
    rows_version: int
    parts: list[PieceDocument]
    logs: list[PieceDocument]


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


def read_decision(document: DecisionDocument) -> Decision:
    """Return the decision of a JSON form."""
    key = RowKey(document["kind"], document["name"])
    edit = Edit(key, document["version"], document["value"])
    return Decision(document["revision"], edit, document["reason"])


def encode_decisions(decisions: list[Decision]) -> bytes:
    """Encode decisions as a part or a log."""
    return msgspec.json.encode([decision_document(decision) for decision in decisions])


def decode_decisions(data: bytes) -> list[Decision]:
    """Decode a part or a log; raise `msgspec.DecodeError` where it is none."""
    return [read_decision(item) for item in msgspec.json.decode(data, type=list[DecisionDocument])]
