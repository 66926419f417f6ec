"""How a head follows the segments that stand for its records."""

from __future__ import annotations

from typing import NamedTuple

from bronzerudder.claims.records import Head, Record, SegmentReference


class SegmentChange(NamedTuple):
    """A stored segment that the next append puts in place of what it stands for.

    Parameters
    ----------
    base : int
        Base of the head whose records the segment replaces.
    count : int
        How many leading records of that head it replaces; 0 for a merge of segments.
    replaced : tuple of str
        Older, adjacent segments that it replaces.
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
    """Put a stored segment in place; a change that no longer fits leaves the head as it is."""
    if change is None or (change.count and change.base != head.base):
        return head
    names = [part.name for part in head.segments]
    if any(name not in names for name in change.replaced):
        return head
    place = names.index(change.replaced[0]) if change.replaced else len(names)
    segments = list(head.segments)
    segments.insert(place, change.added)
    kept = tuple(part for part in segments if part.name not in change.replaced)
    garbage = head.garbage + change.replaced
    return Head(head.base + change.count, kept, garbage, head.records[change.count :])


def expire_segments(head: Head, oldest_s: float) -> Head:
    """Leave out segments whose newest record is older than a time, in seconds of the epoch."""
    kept = tuple(part for part in head.segments if part.newest_s >= oldest_s)
    expired = tuple(part.name for part in head.segments if part.newest_s < oldest_s)
    return head._replace(segments=kept, garbage=head.garbage + expired)
