"""Tests of the size of messages between processes."""

from __future__ import annotations

import unittest

from bronzerudder.gateway.server_limits import MAX_LIMITS_PER_MESSAGE
from bronzerudder.peers.messages import (
    PermitAnswer,
    ServerLimit,
    ServerLimits,
    decode_message,
    encode_message,
)

MAX_PACKET_BYTES = 1_400
ADDRESS = "255.255.255.255:65535"


class MessageSizeTest(unittest.TestCase):
    def test_limits_fit_in_one_packet(self):
        limit = ServerLimit(
            "i-0123456789ab@1791239638000", 1234.567890123, 0.123456789, 0.123456789
        )
        message = ServerLimits(ADDRESS, [limit] * MAX_LIMITS_PER_MESSAGE)
        data = encode_message(message)
        self.assertLess(len(data), MAX_PACKET_BYTES)
        self.assertEqual(decode_message(data), message)
        answer = PermitAnswer(ADDRESS, 1, limit, "", True, 0.5, 1.0, 4)
        self.assertEqual(decode_message(encode_message(answer)), answer)


class MalformedMessageTest(unittest.TestCase):
    def test_nesting_beside_the_members_of_a_message_does_not_raise(self):
        answer = PermitAnswer(ADDRESS, 1, None, "", True, 0.5, 1.0, 4)
        data = encode_message(answer)
        nested = b"\xa1x" + b"\x91" * 50_000 + b"\xc0"
        self.assertIsNone(decode_message(bytes([data[0] + 1]) + nested + data[1:]))


if __name__ == "__main__":
    unittest.main()
