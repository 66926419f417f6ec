"""Tests of decoding and checking JSON documents."""

from __future__ import annotations

import unittest
from typing import Annotated, NotRequired, TypedDict

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from bronzerudder.settings import SettingsError, decode_document


class Listener(TypedDict):
    port: Annotated[int, msgspec.Meta(ge=0, le=65535)]


class Example(TypedDict):
    name: str
    listeners: list[Listener]
    drain_timeout_s: NotRequired[float]


class DecodeDocumentTest(unittest.TestCase):
    def test_accepts_a_valid_document(self):
        document = decode_document(b'{"name": "a", "listeners": [{"port": 1}]}', Example)
        self.assertEqual(document, {"name": "a", "listeners": [{"port": 1}]})

    def test_names_the_path_of_a_wrong_value(self):
        error = decode_document(b'{"name": "a", "listeners": [{"port": 70000}]}', Example)
        self.assertIsInstance(error, SettingsError)
        self.assertEqual(error.path, "$.listeners[0].port")

    def test_names_the_path_of_an_unknown_field(self):
        error = decode_document(b'{"name": "a", "listeners": [{"prot": 7}]}', Example)
        self.assertEqual(error.path, "$.listeners[0].prot")
        self.assertIn("did you mean `port`", error.reason)

    def test_a_wrong_unit_is_an_unknown_field(self):
        data = b'{"name": "a", "listeners": [], "drain_timeout_ms": 5}'
        error = decode_document(data, Example)
        self.assertEqual(error.path, "$.drain_timeout_ms")
        self.assertIn("drain_timeout_s", error.reason)

    @given(st.binary(max_size=200))
    def test_never_raises_on_arbitrary_bytes(self, data):
        self.assertIsInstance(decode_document(data, Example), dict | SettingsError)


if __name__ == "__main__":
    unittest.main()
