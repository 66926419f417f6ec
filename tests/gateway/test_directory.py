"""Tests of the directory of backend servers."""

from __future__ import annotations

import unittest
from unittest import mock

import msgspec

from bronzerudder.gateway import directory
from bronzerudder.gateway.directory import BackendDirectory
from bronzerudder.observability.ignored_entries import MAX_LOGGED_CHARS
from bronzerudder.platform import Change, Listing, StoredObject
from bronzerudder.platform.configuration import decode_backend_server
from tests.gateway.harness import quiet_log
from tests.platform.unreadable import UNREADABLE_VALUES


def entry(address="10.0.0.1:80", state="ready") -> bytes:
    return msgspec.json.encode({"service": "s", "address": address, "state": state, "slots": 6})


def listing(**entries) -> Listing:
    stored = []
    for version, (name, value) in enumerate(entries.items(), start=1):
        stored.append(StoredObject("servers", name, version, value))
    return Listing(tuple(stored), 100)


class BackendDirectoryTest(unittest.TestCase):
    def setUp(self):
        self.received = []
        self.removed = []
        self.directory = BackendDirectory(
            decode_backend_server, self.received.append, self.removed.append, quiet_log()
        )
        patcher = mock.patch.object(directory.time, "monotonic", lambda: self.now_s)
        self.now_s = 100.0
        patcher.start()
        self.addCleanup(patcher.stop)

    def change(self, name, value, version=50, after_outage=False):
        self.directory.apply_change(Change("servers", name, version, value), after_outage)

    def test_a_removed_entry_is_gone_at_once_while_the_store_is_sound(self):
        self.directory.apply_listing(listing(a=entry()), False)
        self.change("a", None)
        self.assertEqual(self.removed, ["a"])

    def test_an_entry_that_lapsed_during_an_outage_has_two_seconds_to_return(self):
        self.directory.apply_listing(listing(a=entry(), b=entry("10.0.0.2:80")), False)
        self.directory.apply_listing(listing(b=entry("10.0.0.2:80")), True)
        self.directory.drop_missing()
        self.assertEqual(self.removed, [])
        self.now_s += 2.1
        self.directory.drop_missing()
        self.assertEqual(self.removed, ["a"])

    def test_an_entry_that_returned_stays(self):
        self.directory.apply_listing(listing(a=entry()), False)
        self.directory.apply_listing(listing(), True)
        self.now_s += 1.0
        self.change("a", entry())
        self.now_s += 5.0
        self.directory.drop_missing()
        self.assertEqual(self.removed, [])

    def test_a_leaving_one_has_no_grace(self):
        self.directory.apply_listing(listing(a=entry(state="draining")), False)
        self.directory.apply_listing(listing(), True)
        self.assertEqual(self.removed, ["a"])

    def test_a_leaving_one_is_told_at_once(self):
        self.directory.apply_listing(listing(a=entry()), False)
        self.change("a", entry(state="draining"))
        self.assertTrue(self.received[-1].leaving)

    def test_the_newest_entry_of_an_address_is_the_one_in_use(self):
        self.directory.apply_listing(listing(old=entry(), new=entry()), False)
        self.assertEqual(list(self.directory.servers), ["new"])
        self.change("old", entry(), version=1)
        self.assertEqual(list(self.directory.servers), ["new"])

    def test_the_order_of_a_listing_does_not_decide_which_is_newest(self):
        stored = (
            StoredObject("servers", "a-new", 9, entry()),
            StoredObject("servers", "b-old", 3, entry()),
        )
        self.directory.apply_listing(Listing(stored, 100), False)
        self.assertEqual(list(self.directory.servers), ["a-new"])

    def test_an_entry_that_is_not_understood_names_none_and_the_others_hold(self):
        self.directory.apply_listing(listing(a=b"\xff", b=entry()), False)
        self.assertEqual(list(self.directory.servers), ["b"])

    def test_an_entry_of_a_known_server_that_becomes_unreadable_names_it_no_longer(self):
        for value in UNREADABLE_VALUES:
            self.directory.apply_listing(listing(a=entry()), False)
            self.change("a", value)
            self.assertEqual(self.directory.servers, {}, value[:40])
        self.assertEqual(self.removed, ["a"] * len(UNREADABLE_VALUES))

    def test_an_ignored_entry_is_logged_once_until_its_reason_changes(self):
        log = mock.Mock()
        self.directory = BackendDirectory(
            decode_backend_server, self.received.append, self.removed.append, log
        )
        for version in range(5):
            self.directory.apply_listing(listing(a=b"{", b=entry()), version == 3)
            self.change("a", b"{", 10 + version)
        self.change("a", b"null")
        self.change("a", b"{" + b'"x' * 1000)
        lines = [call for call in log.state.mock_calls if "ignored" in call.args[0]]
        self.assertEqual([call.kwargs["entry"] for call in lines], ["a"] * 3)
        self.assertLessEqual(max(len(call.kwargs["reason"]) for call in lines), MAX_LOGGED_CHARS)
        self.change("a", None)
        self.change("a", b"{")
        self.assertEqual(log.state.mock_calls[-1].kwargs["entry"], "a")


if __name__ == "__main__":
    unittest.main()
