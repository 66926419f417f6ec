"""Accepts or refuses edits and records the decisions on the platform as the next revision.

The root object is updated only if it is still at the version that was read, so that two processes
cannot both record the same revision and neither can overwrite one that it has not read.
"""

from __future__ import annotations

import random

import anyio
from absl import logging

from bronzerudder.configuration.backoff import Backoff
from bronzerudder.configuration.compaction import (
    ROOT_MAX_BYTES,
    compact,
    decisions_size,
    needs_compaction,
)
from bronzerudder.configuration.compiler import compile_edits
from bronzerudder.configuration.documents import decision_document
from bronzerudder.configuration.edits import UndecidedEdits
from bronzerudder.configuration.errors import ConfigurationError, ConfigurationErrorKind
from bronzerudder.configuration.repository import ConfigurationRepository, Root
from bronzerudder.configuration.rows import Decision
from bronzerudder.configuration.shared import SharedConfiguration

RECORDING_JITTER_S = 0.1
"""Longest random wait in seconds before recording, so that mostly one process tries."""


class Recorder:
    """Records edits that the watch delivered, unless another process does so first.

    Any number of recorders may run: the conditional update of the root succeeds for one, and the
    others decide again on top of what it recorded. Each waits up to `RECORDING_JITTER_S` first,
    so that mostly one tries.

    Parameters
    ----------
    repository : ConfigurationRepository
        The configuration on the platform.
    shared : SharedConfiguration
        The configuration in force.
    random_source : random.Random
        Source of jitter for attempts and retries.
    """

    def __init__(
        self,
        repository: ConfigurationRepository,
        shared: SharedConfiguration,
        random_source: random.Random,
    ) -> None:
        self._repository = repository
        self._shared = shared
        self._random = random_source
        self._backoff = Backoff(random_source)
        self._root: Root | None = None
        self._adopt_lock = anyio.Lock()
        self.edits = UndecidedEdits()

    async def adopt(self, root: Root) -> ConfigurationError | None:
        """Put the configuration of a root in force, unless it is no newer than the adopted one.

        Logs a warning if the root is below the revision in force.
        """
        async with self._adopt_lock:
            if self._root is not None and root.version <= self._root.version:
                return None
            failure = await self._repository.load(root, self._shared)
            if failure is not None:
                return failure
            if root.document["revision"] < self._shared.revision:
                logging.warning(
                    "the platform's root is at revision %d, below revision %d in force",
                    root.document["revision"],
                    self._shared.revision,
                )
            self._root = root
            self.edits.drop_decided(root.document["rows_version"])
            return None

    async def refresh(self) -> ConfigurationError | None:
        """Read the root and adopt it."""
        root = await self._repository.read_root()
        if isinstance(root, ConfigurationError):
            return root
        return await self.adopt(root)

    async def run(self) -> None:
        """Record edits until cancelled."""
        while True:
            await self.edits.wait_any()
            await anyio.sleep(self._random.random() * RECORDING_JITTER_S)
            failure = await self._record_next()
            if failure is None:
                self._backoff.reset()
                continue
            logging.info("configuration not recorded: %s", failure.reason)
            if failure.kind is ConfigurationErrorKind.SUPERSEDED:
                failure = await self.refresh()
            if failure is not None:
                await self._backoff.wait()

    async def _record_next(self) -> ConfigurationError | None:
        root = self._root
        batch = self.edits.next_batch()
        if not batch:
            return None
        if root is None or root.document["revision"] != self._shared.revision:
            return ConfigurationError(
                ConfigurationErrorKind.SUPERSEDED,
                "the revision in force is not that of the last root read",
            )
        decisions = compile_edits(self._shared.snapshot, batch)
        if self._decisions_size_with(root, decisions) > ROOT_MAX_BYTES:
            return await self._compact(root)
        recorded = await self._repository.record(root, decisions, batch[-1].version)
        if isinstance(recorded, ConfigurationError):
            return recorded
        failure = await self.adopt(recorded)
        if failure is not None or not needs_compaction(recorded.document):
            return failure
        return await self._compact(recorded)

    async def _compact(self, root: Root) -> ConfigurationError | None:
        snapshot = self._shared.snapshot
        if snapshot.revision != root.document["revision"]:
            return None
        compacted = await compact(self._repository, root, snapshot)
        if isinstance(compacted, ConfigurationError):
            return compacted
        return await self.adopt(compacted)

    def _decisions_size_with(self, root: Root, decisions: tuple[Decision, ...]) -> int:
        added = [decision_document(decision) for decision in decisions]
        return decisions_size(root.document["decisions"]) + decisions_size(added)
