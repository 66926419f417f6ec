"""Collects edits of rows on which no recorded revision holds a decision yet."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import anyio

from bronzerudder.configuration.rows import Edit, RowKey
from bronzerudder.configuration.snapshot import Snapshot
from bronzerudder.platform import Listing
from bronzerudder.tables import POOL_KIND, ROUTE_KIND

MAX_BATCH_BYTES = 400_000
"""Size of the values in one batch; a single larger edit is a batch of its own."""


class UndecidedEdits:
    """Holds the latest edit of each row above the version up to which edits have been decided."""

    def __init__(self) -> None:
        self._edits: dict[RowKey, Edit] = {}
        self._decided_version = 0
        self._added = anyio.Event()

    def add(self, edits: Iterable[Edit]) -> None:
        """Add edits read from the platform, except those already decided."""
        for edit in edits:
            if edit.version <= self._decided_version:
                continue
            earlier = self._edits.get(edit.key)
            if earlier is None or edit.version > earlier.version:
                self._edits[edit.key] = edit
        if self._edits:
            self._added.set()

    def drop_decided(self, rows_version: int) -> None:
        """Remove the edits up to ``rows_version``, which a recorded revision has decided."""
        self._decided_version = max(self._decided_version, rows_version)
        for key, edit in tuple(self._edits.items()):
            if edit.version <= rows_version:
                del self._edits[key]
        if not self._edits:
            self._added = anyio.Event()

    async def wait_any(self) -> None:
        """Wait until there is an undecided edit."""
        await self._added.wait()

    def next_batch(self) -> tuple[Edit, ...]:
        """Return the oldest edits, up to about `MAX_BATCH_BYTES`, in order of version.

        No edit below the last one's version is left out, so that all edits up to that version are
        decided once the batch is.
        """
        batch: list[Edit] = []
        size = 0
        for edit in sorted(self._edits.values(), key=lambda edit: edit.version):
            size += len(edit.value or b"")
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(edit)
        return tuple(batch)


def edits_from_listings(snapshot: Snapshot, routes: Listing, pools: Listing) -> Iterator[Edit]:
    """Find the edits since a snapshot when the watch no longer has all changes.

    Objects above the older listing's version are left to a watch that starts there; a row that is
    missing from the listings counts as deleted at that version.
    """
    version = min(routes.version, pools.version)
    listed: set[RowKey] = set()
    for stored in (*routes.objects, *pools.objects):
        key = RowKey(stored.kind, stored.name)
        listed.add(key)
        if snapshot.rows_version < stored.version <= version:
            yield Edit(key, stored.version, stored.value)
    for key in {*snapshot.rows.keys(), *snapshot.refused}:
        if key in listed:
            continue
        refusal = snapshot.refused.get(key)
        if refusal is None or refusal.edit.value is not None:
            yield Edit(key, version, None)


ROW_KINDS = (POOL_KIND, ROUTE_KIND)
