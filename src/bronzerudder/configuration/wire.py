"""Updates as messages between peers."""

from __future__ import annotations

from collections.abc import AsyncIterable, Iterator

from bronzerudder.configuration.peer_pb2 import PeerDecision, UpdatePart
from bronzerudder.configuration.rows import Decision, Edit, RowKey
from bronzerudder.configuration.shared import SharedConfiguration, Update
from bronzerudder.configuration.snapshot import EMPTY_SNAPSHOT, apply_decisions

PART_BYTES = 256_000


def split_update(update: Update) -> Iterator[UpdatePart]:
    """Split an update into messages of about `PART_BYTES`."""
    part = _empty_part(update)
    size = 0
    for decision in update.decisions:
        part.decisions.append(_encode_decision(decision))
        size += len(decision.edit.value or b"")
        if size < PART_BYTES:
            continue
        yield part
        part = _empty_part(update)
        size = 0
    part.last = True
    yield part


async def join_update(parts: AsyncIterable[UpdatePart]) -> Update | None:
    """Join messages to an update; None where the last one is missing."""
    decisions: list[Decision] = []
    async for part in parts:
        decisions.extend(_decode_decision(item) for item in part.decisions)
        if part.last:
            return Update(part.base_revision, part.revision, part.rows_version, tuple(decisions))
    return None


def apply_update(shared: SharedConfiguration, update: Update) -> bool:
    """Put an update in force.

    Returns False, changing nothing, where it is not newer or starts above the revision in force.
    """
    known = shared.snapshot
    if update.revision <= known.revision:
        return False
    if update.base_revision > known.revision:
        return False
    whole = update.base_revision == 0 and known.revision > 0
    snapshot = apply_decisions(
        EMPTY_SNAPSHOT if whole else known, update.decisions, update.revision, update.rows_version
    )
    return shared.advance(snapshot, None if update.base_revision == 0 else update.decisions)


def _empty_part(update: Update) -> UpdatePart:
    return UpdatePart(
        base_revision=update.base_revision,
        revision=update.revision,
        rows_version=update.rows_version,
    )


def _encode_decision(decision: Decision) -> PeerDecision:
    edit = decision.edit
    return PeerDecision(
        revision=decision.revision,
        kind=edit.key.kind,
        name=edit.key.name,
        version=edit.version,
        value=edit.value or b"",
        deleted=edit.value is None,
        reason=decision.reason,
    )


def _decode_decision(item: PeerDecision) -> Decision:
    value = None if item.deleted else item.value
    edit = Edit(RowKey(item.kind, item.name), item.version, value)
    return Decision(item.revision, edit, item.reason)
