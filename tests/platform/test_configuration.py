"""Tests of decoding the configuration and the entries of the list of backend servers."""

from __future__ import annotations

import json
import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from bronzerudder.gateway.tables import Configuration, RequestKind
from bronzerudder.http1 import parse_address
from bronzerudder.platform import StoreError
from bronzerudder.platform.configuration import (
    MAX_SLOTS,
    decode_backend_server,
    decode_configuration,
)
from tests.platform.unreadable import UNREADABLE_VALUES, encoded_values

ENTRY = {"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 6, "state": "ready"}


def encode(document) -> bytes:
    return msgspec.json.encode(document)


class ConfigurationTest(unittest.TestCase):
    def decode(self, **changes) -> Configuration:
        route = {
            "name": "r",
            "host": "H.example",
            "path_prefix": "/a/",
            "kind": "streaming",
            "timeout_ms": 8000,
            "target_latency_ms": 400,
            "target_gap_ms": 120,
            "priority": 1,
            "service": "s",
            "max_attempts": 2,
            "resumable": True,
        }
        document = {"version": 7, "routes": [{**route, **changes}], "tenants": []}
        decoded = decode_configuration(encode(document))
        self.assertIsInstance(decoded, Configuration)
        return decoded

    def test_times_are_seconds_and_hosts_in_lower_case(self):
        route = self.decode().routes[("h.example", "/a/")]
        self.assertEqual((route.timeout_s, route.objective_s, route.gap_s), (8.0, 0.4, 0.12))

    def test_streams_may_be_repeated_only_if_resumable(self):
        for resumable in (True, False):
            route = self.decode(resumable=resumable).find_route("h.example", "/a/b")
            self.assertIs(route.repeatable, resumable)

    def test_kinds_say_what_may_be_repeated(self):
        self.assertTrue(self.decode(kind="idempotent").find_route("h.example", "/a/").repeatable)
        unsafe = self.decode(kind="non_idempotent").find_route("h.example", "/a/")
        self.assertIs(unsafe.kind, RequestKind.NON_IDEMPOTENT)
        self.assertFalse(unsafe.repeatable)

    def test_the_longest_prefix_that_ends_a_segment_wins(self):
        routes = []
        for name, prefix in (("root", "/"), ("a", "/a/"), ("ab", "/a/b/")):
            routes.append(
                {
                    "name": name,
                    "host": "h",
                    "path_prefix": prefix,
                    "kind": "idempotent",
                    "timeout_ms": 1000,
                    "service": "s",
                }
            )
        table = decode_configuration(encode({"version": 1, "routes": routes}))
        cases = {"/a/b/c": "ab", "/a/b/": "ab", "/a/b": "a", "/a/bc/d": "a", "/x": "root"}
        for path, name in cases.items():
            self.assertEqual(table.find_route("h", path).name, name, path)
        self.assertIsNone(table.find_route("other", "/a/"))

    def test_keys_name_workspaces(self):
        tenants = [{"name": "w", "api_keys": ["k1", "k2"], "priority": 3}]
        decoded = decode_configuration(encode({"version": 1, "tenants": tenants}))
        self.assertEqual(decoded.workspaces["k2"].name, "w")
        self.assertEqual(decoded.workspaces["k2"].priority, 3)
        without = decode_configuration(encode({"version": 1}))
        self.assertIsNone(without.workspaces)

    def test_what_is_not_a_configuration_is_an_error(self):
        for value in (b"", b"[]", b'{"version":"x"}', b'{"version":1,"routes":[{}]}'):
            self.assertIsInstance(decode_configuration(value), StoreError, value)


class BackendServerTest(unittest.TestCase):
    def test_an_entry_is_decoded(self):
        server = decode_backend_server("i-1", encode(ENTRY))
        self.assertEqual(server.incarnation, "i-1")
        started_again = decode_backend_server("i-1", encode({**ENTRY, "born": 1700000000123}))
        self.assertEqual(started_again.incarnation, "i-1@1700000000123")
        self.assertEqual((server.instance_id, server.slots, server.leaving), ("i-1", 6, False))

    def test_a_draining_one_is_leaving(self):
        self.assertTrue(
            decode_backend_server("i-1", encode({**ENTRY, "state": "draining"})).leaving
        )

    def test_entries_of_other_writers_name_no_backend_server(self):
        invalid = (
            b"\xff",
            b"null",
            encode({**ENTRY, "state": "unheard-of"}),
            encode({**ENTRY, "address": 7}),
            encode({**ENTRY, "address": "10.0.0.1"}),
            encode({"service": "s"}),
        )
        for value in (*invalid, *UNREADABLE_VALUES):
            self.assertIsInstance(decode_backend_server("i-1", value), StoreError, value)

    def test_entries_with_values_out_of_range_name_no_backend_server(self):
        fields = {
            "slots": (10**400, 10**9, 1e300, "6", None),
            "born": (-1, 10**300, 2**53, 1.5),
            "address": ("10.0.0.1:\u00b2", "10.0.0.1:99999", "a b\r\n:80", ":80", "host:80"),
            "zone": (5, []),
        }
        for field, values in fields.items():
            for value in values:
                with self.subTest(field=field, value=str(value)[:40]):
                    entry = json.dumps({**ENTRY, field: value}).encode()
                    self.assertIsInstance(decode_backend_server("i-1", entry), StoreError)

    def test_an_entry_whose_name_cannot_be_sent_in_a_header_names_no_backend_server(self):
        for name in ("", "a b", "a\r\nb", "\u00e9", "x" * 300):
            with self.subTest(name=name[:10]):
                self.assertIsInstance(decode_backend_server(name, encode(ENTRY)), StoreError)

    @given(st.sampled_from(sorted(ENTRY)), encoded_values())
    def test_any_value_of_a_field_gives_a_usable_entry_or_an_error(self, field, value):
        members = {name: json.dumps(held).encode() for name, held in ENTRY.items()}
        members[field] = value
        text = b",".join(json.dumps(name).encode() + b":" + held for name, held in members.items())
        server = decode_backend_server("i-1", b"{" + text + b"}")
        if isinstance(server, StoreError):
            return
        self.assertTrue(1 <= server.slots <= MAX_SLOTS)
        self.assertIsNotNone(parse_address(server.address))
        self.assertIsInstance(msgspec.json.encode([server, server.incarnation]), bytes)


if __name__ == "__main__":
    unittest.main()
