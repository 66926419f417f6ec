"""Tests of decoding the configuration and the entries of the list of backend servers."""

from __future__ import annotations

import unittest

import msgspec

from bronzerudder.gateway.tables import Configuration, RequestKind
from bronzerudder.platform import StoreError
from bronzerudder.platform.configuration import decode_backend_server, decode_configuration

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
        for value in invalid:
            self.assertIsInstance(decode_backend_server("i-1", value), StoreError, value)


if __name__ == "__main__":
    unittest.main()
