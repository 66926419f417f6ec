"""Tests of the rows' JSON form."""

from __future__ import annotations

import unittest

from bronzerudder.settings import SettingsError, decode_document
from bronzerudder.tables import RouteRow

ROUTE = b'{"workspaces": ["*"], "paths": ["/v1/"], "pool": "p", "deadline_s": 5, "repeatable": true'


class RouteRowTest(unittest.TestCase):
    def test_accepts_a_minimal_route(self):
        self.assertEqual(decode_document(ROUTE + b"}", RouteRow)["pool"], "p")

    def test_a_deadline_in_another_unit_is_refused_by_its_path(self):
        error = decode_document(ROUTE + b', "deadline_ms": 5000}', RouteRow)
        self.assertIsInstance(error, SettingsError)
        self.assertEqual(error.path, "$.deadline_ms")

    def test_a_weight_of_zero_is_refused(self):
        error = decode_document(ROUTE + b', "weight": 0}', RouteRow)
        self.assertEqual(error.path, "$.weight")


if __name__ == "__main__":
    unittest.main()
