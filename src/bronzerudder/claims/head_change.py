"""Replaces records of a head, or segments, by a newly stored segment."""

from __future__ import annotations

from typing import NamedTuple

from bronzerudder.claims.records import Head, Record, SegmentReference


class SegmentChange(NamedTuple):
    """A stored segment, and what it replaces in the head with the next append.

    Parameters
    ----------
    base : int
        Base of the head whose records the segment replaces.
    count : int
        Number of leading records of that head it replaces; 0 for a merge of segments.
    replaced : tuple of str
        Names of the older, adjacent segments that it replaces.
    added : SegmentReference
        The segment.
    records : tuple of Record
        Its content.
    """

    base: int
    count: int
    replaced: tuple[str, ...]
    added: SegmentReference
    records: tuple[Record, ...]


def apply_change(head: Head, change: SegmentChange | None) -> Head:
    """Return the head with the change applied; a change of an outdated head is ignored."""
    if change is None or (change.count and change.base != head.base):
        return head
    names = [reference.name for reference in head.segments]
    if any(name not in names for name in change.replaced):
        return head
    position = names.index(change.replaced[0]) if change.replaced else len(names)
    segments = list(head.segments)
    segments.insert(position, change.added)
    retained = tuple(reference for reference in segments if reference.name not in change.replaced)
    garbage = head.garbage + change.replaced
    return Head(head.base + change.count, retained, garbage, head.records[change.count :])


def expire_segments(head: Head, oldest_s: float) -> Head:
    """Move segments whose newest record is before ``oldest_s`` (Unix time) to the garbage."""
    retained = tuple(reference for reference in head.segments if reference.newest_s >= oldest_s)
    expired = tuple(reference.name for reference in head.segments if reference.newest_s < oldest_s)
    return head._replace(segments=retained, garbage=head.garbage + expired)
