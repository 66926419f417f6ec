"""Tests of the committed map's record in the platform's store."""

from __future__ import annotations

import unittest

from bronzerudder.platform import ObjectStore, StoredObject, StoreError, StoreErrorKind
from bronzerudder.rank_group.record import CommittedMap, MapRecord


class LosingStore(ObjectStore):
    """Stores one object; the response of the first update is lost after it took effect."""

    def __init__(self) -> None:
        self._stored: StoredObject | None = None
        self.puts = 0

    async def get(self, kind, name):
        return self._stored or StoreError(StoreErrorKind.NOT_FOUND, name)

    async def put(self, kind, name, value, if_version):
        self.puts += 1
        if if_version != (self._stored.version if self._stored else 0):
            return StoreError(StoreErrorKind.CONFLICT, name)
        self._stored = StoredObject(kind, name, self.puts, value)
        if self.puts == 1:
            return StoreError(StoreErrorKind.OUTCOME_UNKNOWN, "the answer was lost")
        return self.puts

    async def delete(self, kind, name, if_version):
        raise NotImplementedError

    async def list(self, kind):
        raise NotImplementedError

    async def watch(self, kind, after_version, timeout_s):
        raise NotImplementedError


class MapRecordTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_lost_answer_is_settled_and_a_lower_version_never_replaces_a_higher(self):
        store = LosingStore()
        record = MapRecord(store, "chat")
        missing = await record.load()
        self.assertIs(missing.kind, StoreErrorKind.NOT_FOUND)
        lost = await record.save(CommittedMap(5, b"five"))
        self.assertIs(lost.kind, StoreErrorKind.OUTCOME_UNKNOWN)
        self.assertIsNone(await record.save(CommittedMap(5, b"five")))
        self.assertIsNone(await record.save(CommittedMap(4, b"four")))
        self.assertEqual(store.puts, 1)
        self.assertIsNone(await record.save(CommittedMap(7, b"\x00seven")))
        self.assertEqual(await record.load(), CommittedMap(7, b"\x00seven"))
