"""Splits updates into gRPC messages between peers, and applies received ones.

A stale or truncated update changes nothing, so a failed transfer leaves the old revision in force.
"""

from __future__ import annotations

from collections.abc import AsyncIterable, Iterator

from bronzerudder.configuration.peer_pb2 import PeerDecision, UpdatePart
from bronzerudder.configuration.rows import Decision, Edit, RowKey
from bronzerudder.configuration.shared import SharedConfiguration, Update
from bronzerudder.configuration.snapshot import SnapshotBuilder, apply_decisions

UPDATE_PART_BYTES = 256_000


def split_update(update: Update) -> Iterator[UpdatePart]:
    """Split an update into messages of about `UPDATE_PART_BYTES`."""
    part = _empty_part(update)
    size = 0
    for decision in update.decisions:
        part.decisions.append(_encode_decision(decision))
        size += len(decision.edit.value or b"")
        if size < UPDATE_PART_BYTES:
            continue
        yield part
        part = _empty_part(update)
        size = 0
    part.last = True
    yield part


async def receive_update(shared: SharedConfiguration, parts: AsyncIterable[UpdatePart]) -> bool:
    """Decode an update as its messages arrive, and put it in force after the last.

    Returns False, changing nothing, if it is not newer, starts above the revision in force, or is
    truncated.
    """
    builder = SnapshotBuilder()
    decisions: list[Decision] = []
    async for part in parts:
        received = [_decode_decision(item) for item in part.decisions]
        if part.base_revision == 0:
            builder.add(received)
        else:
            decisions += received
        if part.last:
            return _apply_update(shared, part, builder, tuple(decisions))
    return False


def _apply_update(
    shared: SharedConfiguration,
    part: UpdatePart,
    builder: SnapshotBuilder,
    decisions: tuple[Decision, ...],
) -> bool:
    if part.base_revision == 0:
        return shared.advance(builder.finish(part.revision, part.rows_version), None)
    current = shared.snapshot
    if part.base_revision > current.revision or part.revision <= current.revision:
        return False
    later = apply_decisions(current, decisions, part.revision, part.rows_version)
    return shared.advance(later, decisions)


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
