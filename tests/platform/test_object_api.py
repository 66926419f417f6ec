"""Tests of the client of the platform's metadata store against a stand-in for the store."""

from __future__ import annotations

import asyncio
import unittest

import anyio
import msgspec

from bronzerudder.http1 import listen
from bronzerudder.platform import ABSENT_VERSION, ChangeBatch, StoreError, StoreErrorKind
from bronzerudder.platform.object_api import (
    MAX_PAGES,
    NO_VALUE,
    UNREADABLE_NAME_PREFIX,
    RemoteObjectStore,
)
from bronzerudder.standin.fleet import StandinStore
from tests.http1.test_client import EndlessPeer, Peer
from tests.platform.unreadable import UNREADABLE_VALUES

TIMEOUT_S = 5.0


class StandinStoreCase(unittest.IsolatedAsyncioTestCase):
    """Serves a stand-in store, and opens a client of it."""

    async def asyncSetUp(self):
        self.standin = StandinStore()
        listener = listen("127.0.0.1:0")
        self.store = RemoteObjectStore(f"127.0.0.1:{listener.getsockname()[1]}")
        task = asyncio.create_task(self.standin.server.serve(listener))
        self.addCleanup(listener.close)
        self.addCleanup(task.cancel)


class RemoteObjectStoreTest(StandinStoreCase):
    async def test_writes_are_conditional(self):
        first = await self.store.put("kind", "a b/c", b'{"n":1}', ABSENT_VERSION)
        self.assertIsInstance(first, int)
        again = await self.store.put("kind", "a b/c", b'{"n":2}', ABSENT_VERSION)
        self.assertIs(again.kind, StoreErrorKind.CONFLICT)
        second = await self.store.put("kind", "a b/c", b'{"n":2}', first)
        self.assertGreater(second, first)
        stale = await self.store.put("kind", "a b/c", b'{"n":3}', first)
        self.assertIs(stale.kind, StoreErrorKind.CONFLICT)
        stored = await self.store.get("kind", "a b/c")
        self.assertEqual((stored.value, stored.version), (b'{"n":2}', second))

    async def test_deletes_are_conditional(self):
        version = await self.store.put("kind", "a", b"1", ABSENT_VERSION)
        refused = await self.store.delete("kind", "a", version - 1)
        self.assertIs(refused.kind, StoreErrorKind.CONFLICT)
        self.assertNotIsInstance(await self.store.delete("kind", "a", version), StoreError)
        missing = await self.store.get("kind", "a")
        self.assertIs(missing.kind, StoreErrorKind.NOT_FOUND)

    async def test_a_list_is_read_page_by_page(self):
        self.standin.page = 2
        for name in "abcde":
            self.standin.put("kind", name, name)
        listing = await self.store.list("kind")
        self.assertEqual([stored.name for stored in listing.objects], list("abcde"))

    async def test_a_stale_list_says_so(self):
        await self.store.list("kind", stale=True)
        self.assertIn("stale_ok=1", self.standin.calls[-1])

    async def test_a_watch_tells_of_writes_and_deletions(self):
        start = self.standin.put("kind", "a", 1)
        self.standin.put("other", "x", 1)
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as tasks:

                async def change():
                    await anyio.sleep(0.05)
                    self.standin.put("kind", "a", 2)
                    self.standin.remove("kind", "a")

                tasks.start_soon(change)
                batch = await self.store.watch("kind", start, 3.0)
                if len(batch.changes) == 1:
                    rest = await self.store.watch("kind", batch.version, 3.0)
                    batch = ChangeBatch(batch.changes + rest.changes, rest.version)
        self.assertEqual([change.value for change in batch.changes], [b"2", None])

    async def test_a_watch_without_changes_is_empty(self):
        start = self.standin.put("kind", "a", 1)
        batch = await self.store.watch("kind", start, 0.05)
        self.assertEqual((batch.changes, batch.truncated), ((), False))

    async def test_lost_history_is_told_from_other_failures(self):
        start = self.standin.put("kind", "a", 1)
        self.standin.put("kind", "a", 2)
        self.standin.compact_history()
        batch = await self.store.watch("kind", start, 1.0)
        self.assertTrue(batch.truncated)

    async def test_refusals_had_no_effect(self):
        for status in (429, 503):
            self.standin.refuse_with = status
            written = await self.store.put("kind", "a", b"1", ABSENT_VERSION)
            self.assertIs(written.kind, StoreErrorKind.UNAVAILABLE)

    async def test_a_lost_answer_leaves_a_write_unknown(self):
        self.standin.lose_answers = True
        written = await self.store.put("kind", "a", b"1", ABSENT_VERSION)
        self.assertIs(written.kind, StoreErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(self.standin.names("kind"), ["a"])

    async def test_a_store_that_does_not_answer_is_given_up(self):
        self.standin.is_unresponsive = True
        with anyio.fail_after(TIMEOUT_S):
            read = await self.store.get("kind", "a")
            written = await self.store.put("kind", "a", b"1", ABSENT_VERSION)
        self.assertIs(read.kind, StoreErrorKind.UNAVAILABLE)
        self.assertIs(written.kind, StoreErrorKind.OUTCOME_UNKNOWN)


class UnreadableValueTest(StandinStoreCase):
    async def test_pages_with_an_unreadable_value_are_read_one_by_one(self):
        for name in "abcde":
            self.standin.put("kind", name, name)
        self.standin.put("kind", "b", msgspec.Raw(UNREADABLE_VALUES[0]))
        for page in (1, 2, 500):
            self.standin.page = page
            listing = await self.store.list("kind")
            self.assertEqual([stored.name for stored in listing.objects], list("abcde"))

    async def test_a_watch_returns_changes_beside_an_unreadable_value(self):
        for value in UNREADABLE_VALUES:
            with self.subTest(value=value[:40]):
                start = self.standin.put("kind", "a", 1)
                self.standin.put("kind", "b", msgspec.Raw(value))
                self.standin.put("kind", "c", 3)
                self.standin.remove("kind", "a")
                self.standin.remove("kind", "b")
                batch = await self.store.watch("kind", start, 1.0)
                changes = [(change.name, change.value) for change in batch.changes]
                expected = [("b", value), ("c", b"3"), ("a", None), ("b", None)]
                self.assertEqual(changes, expected)
                self.assertEqual(batch.version, start + 4)

    async def test_a_listing_returns_objects_beside_an_unreadable_value(self):
        for value in UNREADABLE_VALUES:
            with self.subTest(value=value[:40]):
                for name, stored in (("a", b"1"), ("b", value), ("c", b"3")):
                    self.standin.put("kind", name, msgspec.Raw(stored))
                listing = await self.store.list("kind")
                values = {stored.name: stored.value for stored in listing.objects}
                self.assertEqual(values, {"a": b"1", "b": value, "c": b"3"})
                self.assertEqual((await self.store.get("kind", "b")).value, value)


def make_answer(status: int, body: bytes) -> bytes:
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class ScriptedAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def assert_outcome(self, answer: bytes, read_kind, write_kind):
        async with Peer(answer) as peer:
            read = await RemoteObjectStore(peer.address).get("kind", "a")
            self.assertIs(read.kind, read_kind)
        for version in (ABSENT_VERSION, 3):
            async with Peer(answer) as peer:
                written = await RemoteObjectStore(peer.address).put("kind", "a", b"1", version)
                self.assertIs(written.kind, write_kind)
        async with Peer(answer) as peer:
            deleted = await RemoteObjectStore(peer.address).delete("kind", "a", 3)
            self.assertIs(deleted.kind, write_kind)

    async def test_a_success_that_cannot_be_decoded_leaves_a_write_unknown(self):
        for body in (b"{", b"\xff\xfe", b"[]", b'{"metadata":{"revision":"x"}}'):
            with self.subTest(body=body):
                await self.assert_outcome(
                    make_answer(200, body),
                    StoreErrorKind.UNAVAILABLE,
                    StoreErrorKind.OUTCOME_UNKNOWN,
                )

    async def test_a_server_error_leaves_a_write_unknown(self):
        for status in (500, 502, 504, 599, 302):
            with self.subTest(status=status):
                await self.assert_outcome(
                    make_answer(status, b"failed"),
                    StoreErrorKind.UNAVAILABLE,
                    StoreErrorKind.OUTCOME_UNKNOWN,
                )

    async def test_a_client_error_had_no_effect(self):
        for status in (400, 405, 413):
            with self.subTest(status=status):
                await self.assert_outcome(
                    make_answer(status, b""), StoreErrorKind.INVALID, StoreErrorKind.INVALID
                )

    async def test_an_answer_on_another_object_is_not_taken(self):
        other = make_answer(200, b'{"metadata":{"name":"b","revision":4},"spec":1}')
        await self.assert_outcome(other, StoreErrorKind.UNAVAILABLE, StoreErrorKind.OUTCOME_UNKNOWN)

    async def test_a_write_whose_answer_names_no_version_is_unknown(self):
        for body in (b"", b'{"metadata":{"name":"a"}}'):
            async with Peer(make_answer(200, body)) as peer:
                store = RemoteObjectStore(peer.address)
                written = await store.put("kind", "a", b"1", ABSENT_VERSION)
                self.assertIs(written.kind, StoreErrorKind.OUTCOME_UNKNOWN)

    async def test_an_answer_without_end_leaves_a_write_unknown(self):
        head = b"HTTP/1.1 200 OK\r\n\r\n"
        async with EndlessPeer(head, b" " * 65_536) as peer:
            written = await RemoteObjectStore(peer.address).put("kind", "a", b"1", 3)
            self.assertIs(written.kind, StoreErrorKind.OUTCOME_UNKNOWN)
        async with EndlessPeer(head, b" " * 65_536) as peer:
            read = await RemoteObjectStore(peer.address).get("kind", "a")
            self.assertIs(read.kind, StoreErrorKind.UNAVAILABLE)

    async def test_an_answer_that_trickles_without_end_is_given_up(self):
        for head in (b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 200 OK\r\n\r\n"):
            async with EndlessPeer(head, b"x", pause_s=0.01) as peer:
                store = RemoteObjectStore(peer.address)
                with anyio.fail_after(TIMEOUT_S):
                    read = await store.get("kind", "a")
                    written = await store.put("kind", "a", b"1", ABSENT_VERSION)
                    batch = await store.watch("kind", 1, 0.1)
                self.assertIs(read.kind, StoreErrorKind.UNAVAILABLE)
                self.assertIs(written.kind, StoreErrorKind.OUTCOME_UNKNOWN)
                self.assertIs(batch.kind, StoreErrorKind.UNAVAILABLE)

    async def test_an_object_whose_name_cannot_be_decoded_has_no_value(self):
        page = (
            b'{"items":[{"metadata":{"name":"a","revision":1},"spec":1},'
            b'{"metadata":{"name":"x\\ud83d","revision":2},"spec":2},'
            b'{"metadata":{"name":"z","revision":3},"spec":3}],"at":9,"has_more":false}'
        )
        async with Peer(make_answer(200, page)) as peer:
            listing = await RemoteObjectStore(peer.address).list("kind")
        named = [(stored.name, stored.version, stored.value) for stored in listing.objects]
        hidden = (UNREADABLE_NAME_PREFIX + "x\\ud83d", 2, NO_VALUE)
        self.assertEqual((named, listing.version), ([("a", 1, b"1"), hidden, ("z", 3, b"3")], 9))

    async def test_a_page_that_ends_with_a_name_that_cannot_be_decoded_is_continued(self):
        first = (
            b'{"items":[{"metadata":{"name":"a","revision":1}},'
            b'{"metadata":{"name":"b\\ud83d","revision":2}}],"at":9,"has_more":true}'
        )
        second = b'{"items":[{"metadata":{"name":"c","revision":3}}],"at":9,"has_more":false}'
        async with Peer(make_answer(200, first), make_answer(200, second)) as peer:
            listing = await RemoteObjectStore(peer.address).list("kind")
        self.assertEqual([stored.name for stored in listing.objects][::2], ["a", "c"])

    async def test_a_listing_without_end_is_given_up(self):
        page = b'{"items":[{"metadata":{"name":"a","revision":1}}],"at":1,"has_more":true}'
        async with Peer(*[make_answer(200, page)] * (2 * MAX_PAGES)) as peer:
            with anyio.fail_after(TIMEOUT_S):
                listing = await RemoteObjectStore(peer.address).list("kind")
            self.assertIs(listing.kind, StoreErrorKind.UNAVAILABLE)


if __name__ == "__main__":
    unittest.main()
