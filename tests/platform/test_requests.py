"""Tests of decoding and encoding the platform's headers of requests and answers."""

from __future__ import annotations

import unittest

from bronzerudder.http1 import Request, ResponseHead
from bronzerudder.platform.requests import decode_answer, decode_request, encode_request

HEADERS = (
    (b"host", b"Shop.example:8080"),
    (b"attempt-id", b"r1"),
    (b"deadline-ms", b"2500"),
    (b"token-usage", b"1460,80"),
    (b"x-api-key", b"secret"),
    (b"tenant", b"forged"),
    (b"connection", b"x-hop"),
    (b"x-hop", b"1"),
    (b"prompt-prefix", b"5c:800"),
    (b"content-length", b"0"),
)
REQUEST = Request(b"POST", b"/a/b?q=1", HEADERS, b"")


class RequestTest(unittest.TestCase):
    def test_headers_are_decoded(self):
        caller = decode_request(REQUEST)
        self.assertEqual((caller.host, caller.path, caller.key), ("shop.example", "/a/b", "secret"))
        self.assertEqual((caller.deadline_s, caller.request_id), (2.5, "r1"))
        self.assertEqual((caller.prompt_tokens, caller.answer_tokens), (1460, 80))

    def test_nonsense_is_passed_over(self):
        headers = ((b"deadline-ms", b"soon"), (b"token-usage", b"x"), (b"length-hint", b"-3"))
        caller = decode_request(Request(b"GET", b"/", headers, b""))
        self.assertEqual(
            (caller.deadline_s, caller.prompt_tokens, caller.answer_tokens), (None, 0, 0)
        )

    def test_a_number_that_is_too_long_or_no_ascii_is_passed_over(self):
        for value in (b"9" * 400, b"9" * 5000, b"\xb2", b"1" + b"0" * 15):
            with self.subTest(value=value[:8], length=len(value)):
                headers = ((b"deadline-ms", value), (b"token-usage", value + b",7"))
                caller = decode_request(Request(b"GET", b"/", headers, b""))
                self.assertEqual(
                    (caller.deadline_s, caller.prompt_tokens, caller.answer_tokens), (None, 0, 7)
                )
                hinted = decode_request(Request(b"GET", b"/", ((b"length-hint", value),), b""))
                self.assertEqual(hinted.answer_tokens, 0)
                answer = ResponseHead(200, ((b"server-load", value + b",0,6"),))
                self.assertIsNone(decode_answer(answer).load)

    def test_shared_parts_are_all_but_the_last(self):
        for value, expected in (
            (b"5c1e:800,91BD:410, e440:250", ("5c1e", "91bd")),
            (b"5c1e:800", ()),
            (b"", ()),
            (b",:,5c:1,,last:2", ("5c",)),
            (b"x" * 65 + b":1,last:2", ()),
        ):
            with self.subTest(value=value):
                caller = decode_request(Request(b"GET", b"/", ((b"prompt-prefix", value),), b""))
                self.assertEqual(caller.shared_parts, expected)

    def test_shared_parts_are_bounded(self):
        for parts in (16, 17, 18, 500):
            value = b",".join(b"%x:1" % number for number in range(parts))
            caller = decode_request(Request(b"GET", b"/", ((b"prompt-prefix", value),), b""))
            expected = tuple(f"{number:x}" for number in range(min(16, parts - 1)))
            self.assertEqual(caller.shared_parts, expected)

    def test_the_key_and_what_concerns_one_connection_stay_behind(self):
        sent = encode_request(REQUEST, "i-1", 1.5, "w", 2, "")
        names = [name for name, _ in sent]
        for name in (b"x-api-key", b"connection", b"x-hop", b"content-length"):
            self.assertNotIn(name, names)
        self.assertIn((b"prompt-prefix", b"5c:800"), sent)

    def test_the_system_sets_its_own_headers(self):
        sent = encode_request(REQUEST, "i-1", 1.5, "w", 12, "7")
        self.assertEqual([value for name, value in sent if name == b"tenant"], [b"w"])
        self.assertEqual([value for name, value in sent if name == b"deadline-ms"], [b"1500"])
        self.assertIn((b"expect-instance", b"i-1"), sent)
        self.assertIn((b"request-priority", b"9"), sent)
        self.assertIn((b"last-event-id", b"7"), sent)

    def test_a_forged_workspace_is_dropped_where_none_is_known(self):
        sent = encode_request(REQUEST, "i-1", 1.5, "", None, "")
        self.assertNotIn(b"tenant", [name for name, _ in sent])


class AnswerTest(unittest.TestCase):
    def test_an_answer_is_decoded(self):
        headers = (
            (b"attempt-id", b"r1"),
            (b"response-signature", b"s"),
            (b"server-load", b"3,1,6"),
        )
        answer = decode_answer(ResponseHead(200, headers))
        self.assertTrue(answer.signed)
        self.assertFalse(answer.not_executed)
        self.assertEqual(tuple(answer.load), (3, 1, 6))

    def test_only_two_things_prove_that_a_request_has_not_run(self):
        self.assertTrue(decode_answer(ResponseHead(503, ((b"not-executed", b"1"),))).not_executed)
        self.assertTrue(decode_answer(ResponseHead(421, ())).not_executed)
        for status in (408, 429, 503, 500):
            self.assertFalse(decode_answer(ResponseHead(status, ())).not_executed)

    def test_framing_is_not_passed_on(self):
        headers = ((b"transfer-encoding", b"chunked"), (b"keep-alive", b"timeout=5"), (b"x", b"y"))
        self.assertEqual(decode_answer(ResponseHead(200, headers)).headers, [(b"x", b"y")])

    def test_a_limit_is_a_decimal_number(self):
        for value, expected in ((b"4", 4.0), (b" 1.25 ", 1.25), (b"0", 0.0), (b"0.3", 0.3)):
            with self.subTest(value=value):
                answer = decode_answer(ResponseHead(200, ((b"server-limit", value),)))
                self.assertEqual(answer.limit, (expected, ""))

    def test_a_malformed_limit_is_no_limit_and_not_the_end_of_one(self):
        for value in (b"-1", b"nan", b"inf", b"1e9", b"", b"x", b"1" * 40, b"1.5 r/s", b"0x4"):
            with self.subTest(value=value):
                limit = decode_answer(ResponseHead(200, ((b"server-limit", value),))).limit
                self.assertIsNone(limit.rate_rps)
                self.assertEqual(limit.malformed, value.decode() or "empty")
        self.assertEqual(decode_answer(ResponseHead(200, ())).limit, (None, ""))

    def test_repeated_limits_must_agree(self):
        same = ((b"server-limit", b"2"), (b"server-limit", b"2"))
        self.assertEqual(decode_answer(ResponseHead(200, same)).limit.rate_rps, 2.0)
        differing = ((b"server-limit", b"2"), (b"server-limit", b"9"))
        limit = decode_answer(ResponseHead(200, differing)).limit
        self.assertEqual(limit, (None, "2, 9"))


if __name__ == "__main__":
    unittest.main()
