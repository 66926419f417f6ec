"""Tests of decoding and splitting JSON texts that contain unreadable values."""

from __future__ import annotations

import json
import unittest

import msgspec
from hypothesis import given

from bronzerudder.platform.decoding import Unreadable, decode_json, split_array, split_object
from tests.platform.unreadable import UNREADABLE_VALUES, encode, encoded_values


class SplitTest(unittest.TestCase):
    @given(encoded_values(), encoded_values())
    def test_items_and_members_keep_their_text(self, first, second):
        self.assertEqual(split_array(b"[" + first + b"," + second + b"]"), [first, second])
        text = b' {"a":' + first + b' , "b" : ' + second + b"} "
        self.assertEqual(split_object(text), {"a": first, "b": second})

    def test_unreadable_values_do_not_move_the_borders(self):
        for value in UNREADABLE_VALUES:
            with self.subTest(value=value[:40]):
                self.assertEqual(split_array(b"[1," + value + b",2]"), [b"1", value, b"2"])

    def test_empty_arrays_and_objects_have_no_parts(self):
        self.assertEqual((split_array(b"[ ]"), split_object(b"{}")), ([], {}))

    def test_texts_of_another_form_are_not_split(self):
        for text in (b"", b"1", b"[1", b"[1]]", b"[1] 2", b"{", b'{"a"', b"[}", b'"[]"'):
            with self.subTest(text=text):
                if text != b"[}":
                    self.assertIsNone(split_array(text))
                self.assertIsNone(split_object(text))
        self.assertIsNone(split_object(b"{1:2}"))


class DecodeTest(unittest.TestCase):
    def test_unreadable_values_are_errors(self):
        for value in UNREADABLE_VALUES:
            with self.subTest(value=value[:40]):
                self.assertIsInstance(decode_json(value, object), Unreadable)

    @given(encoded_values())
    def test_a_value_is_decoded_or_an_error(self, value):
        decoded = decode_json(value, object)
        if not isinstance(decoded, Unreadable):
            self.assertEqual(encode(decoded), encode(json.loads(value)))
            self.assertIsInstance(msgspec.json.encode(decoded), bytes)


if __name__ == "__main__":
    unittest.main()
