"""Edits of rows that no recorded revision has decided yet."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import anyio

from bronzerudder.configuration.rows import Edit, RowKey
from bronzerudder.configuration.snapshot import Snapshot
from bronzerudder.platform import Listing
from bronzerudder.tables import POOL_KIND, ROUTE_KIND

BATCH_BYTES = 400_000


class UndecidedEdits:
    """The latest edit of each row above the version up to which edits have been decided."""

    def __init__(self) -> None:
        self._edits: dict[RowKey, Edit] = {}
        self._decided_version = 0
        self._added = anyio.Event()

    def add(self, edits: Iterable[Edit]) -> None:
        """Take in edits seen on the platform."""
        for edit in edits:
            if edit.version <= self._decided_version:
                continue
            known = self._edits.get(edit.key)
            if known is None or edit.version > known.version:
                self._edits[edit.key] = edit
        if self._edits:
            self._added.set()

    def drop_decided(self, rows_version: int) -> None:
        """Forget the edits that a recorded revision has decided."""
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
        """Return the oldest edits, about `BATCH_BYTES` of them, in order of version.

        Nothing below the last one's version is left out, so that its version is the one up to
        which edits are then decided.
        """
        batch: list[Edit] = []
        size = 0
        for edit in sorted(self._edits.values(), key=lambda edit: edit.version):
            size += len(edit.value or b"")
            if batch and size > BATCH_BYTES:
                break
            batch.append(edit)
        return tuple(batch)


def edits_from_listings(snapshot: Snapshot, routes: Listing, pools: Listing) -> Iterator[Edit]:
    """Find what was edited since a snapshot, where the watch can't tell any more.

    Objects above the older listing's version are left to a watch that starts there; a row that
    is gone counts as deleted at that version.
    """
    version = min(routes.version, pools.version)
    present: set[RowKey] = set()
    for stored in (*routes.objects, *pools.objects):
        key = RowKey(stored.kind, stored.name)
        present.add(key)
        if snapshot.rows_version < stored.version <= version:
            yield Edit(key, stored.version, stored.value)
    for key in {*snapshot.rows.keys(), *snapshot.refused}:
        if key in present:
            continue
        refusal = snapshot.refused.get(key)
        if refusal is None or refusal.edit.value is not None:
            yield Edit(key, version, None)


ROW_KINDS = (POOL_KIND, ROUTE_KIND)
