"""Tests of the messages between agents."""

from __future__ import annotations

import unittest

from bronzerudder.expert_maps.api import ArmedMap, RankExperts, RankState
from bronzerudder.expert_maps.messages import (
    RankOrder,
    RankReport,
    decode_body,
    encode_body,
    pack_layout,
    unpack_layout,
)
from bronzerudder.expert_maps.scenarios import Scenario

STATE = RankState("10.0.0.1:80", "g", 1, 0, 2, True, 5, 7, 0, 3, ArmedMap(3, 9), None, 4, 1.5)
LAYOUT = [[[0, 2], [1, 143, 300]], [[], [0, 1, 2]]]


class MessagesTest(unittest.TestCase):
    def test_reports_and_orders_survive_encoding(self):
        report = RankReport(STATE, Scenario(5, b"ab"), RankExperts(0, [[1], [2]]))
        self.assertEqual(decode_body(encode_body(report), RankReport), report)
        order = RankOrder(STATE, "prepare", 7, 0, pack_layout(LAYOUT))
        self.assertEqual(decode_body(encode_body(order), RankOrder), order)

    def test_layouts_survive_packing(self):
        self.assertEqual(unpack_layout(pack_layout(LAYOUT)), LAYOUT)

    def test_other_bytes_are_nothing(self):
        nested = b"\x81\xa1x" + b"\x91" * 100_000 + b"\xc0"
        for data in (b"", b"\xff" * 20, b"\x80", nested):
            self.assertIsNone(decode_body(data, RankReport))
            self.assertIsNone(decode_body(data, RankOrder))


if __name__ == "__main__":
    unittest.main()
