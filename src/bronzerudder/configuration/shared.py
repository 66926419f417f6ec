"""Holds the configuration in force in a process, shared by all of its tasks.

The latest decisions are kept so that peers a few revisions behind are sent these alone.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import NamedTuple

import anyio

from bronzerudder.configuration.rows import Decision
from bronzerudder.configuration.snapshot import EMPTY_SNAPSHOT, Snapshot

MAX_RECENT_DECISIONS = 512
MAX_RECENT_BYTES = 256_000


class Update(NamedTuple):
    """The decisions that turn one revision into a later one.

    Parameters
    ----------
    base_revision : int
        The revision that ``decisions`` start from; 0 for the whole configuration.
    revision, rows_version : int
        Those of the result.
    decisions : iterable of Decision
        In order; may be an iterator, which can be read only once.
    """

    base_revision: int
    revision: int
    rows_version: int
    decisions: Iterable[Decision]


class SharedConfiguration:
    """Holds the snapshot in force; its revision never decreases."""

    def __init__(self) -> None:
        self._snapshot = EMPTY_SNAPSHOT
        self._changed = anyio.Event()
        self._recent: collections.deque[Decision] = collections.deque()
        self._recent_bytes = 0
        self._recent_base = 0

    @property
    def snapshot(self) -> Snapshot:
        """The snapshot in force."""
        return self._snapshot

    @property
    def revision(self) -> int:
        """Revision in force; 0 before the first."""
        return self._snapshot.revision

    async def wait_newer(self, revision: int) -> Snapshot:
        """Wait until the revision in force is above ``revision``."""
        while self._snapshot.revision <= revision:
            await self._changed.wait()
        return self._snapshot

    def advance(self, snapshot: Snapshot, decisions: tuple[Decision, ...] | None) -> bool:
        """Put a later snapshot in force; return False for one that is not later.

        Parameters
        ----------
        snapshot : Snapshot
            The later configuration.
        decisions : tuple of Decision or None
            Every decision between the two revisions, or None if they are unknown.
        """
        if snapshot.revision <= self._snapshot.revision:
            return False
        if decisions is None:
            self._clear_recent(snapshot.revision)
        else:
            self._add_recent(decisions)
        self._snapshot = snapshot
        self._changed.set()
        self._changed = anyio.Event()
        return True

    def update_since(self, revision: int) -> Update | None:
        """Return the update from ``revision`` to the one in force; None if nothing is newer.

        It holds the decisions between the two if all are still kept, else the whole configuration.
        """
        snapshot = self._snapshot
        if revision >= snapshot.revision:
            return None
        if revision < self._recent_base:
            return Update(0, snapshot.revision, snapshot.rows_version, snapshot.decisions())
        decisions = tuple(decision for decision in self._recent if decision.revision > revision)
        return Update(revision, snapshot.revision, snapshot.rows_version, decisions)

    def _add_recent(self, decisions: tuple[Decision, ...]) -> None:
        for decision in decisions:
            if decision.revision <= self._snapshot.revision:
                continue
            self._recent.append(decision)
            self._recent_bytes += _size(decision)
        while self._recent_bytes > MAX_RECENT_BYTES or len(self._recent) > MAX_RECENT_DECISIONS:
            oldest = self._recent.popleft()
            self._recent_bytes -= _size(oldest)
            self._recent_base = max(self._recent_base, oldest.revision)

    def _clear_recent(self, revision: int) -> None:
        self._recent.clear()
        self._recent_bytes = 0
        self._recent_base = revision


def _size(decision: Decision) -> int:
    return len(decision.edit.value or b"") + len(decision.reason)
