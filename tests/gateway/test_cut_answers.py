"""Tests of answers that a backend server breaks off after any byte, in the head or in the body."""

from __future__ import annotations

import asyncio
from typing import NamedTuple
from unittest import mock

from bronzerudder.gateway.services import RetryBudgetLimits
from tests.gateway.test_answer_integrity import (
    CHUNKED,
    HEAD,
    LAST_CHUNK,
    UNDELIMITED,
    AnswerIntegrityCase,
    RawReply,
    first_event,
    make_chunk,
    make_event,
    make_events,
    make_plain,
)

PLAIN_BODY = b"a whole answer"
EVENTS = 2
SERVERS = 3
PLAYS_AT_ONCE = 15
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n"
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Answer(NamedTuple):
    """A sound answer to a request, and the least part of it that a caller may take for whole."""

    data: bytes
    whole_from: int


def with_length(body, request_id):
    data = make_plain(request_id, body)
    return Answer(data, len(data))


def in_chunks(body, request_id):
    data = CHUNKED % request_id + make_chunk(body) + LAST_CHUNK
    return Answer(data, len(data))


def until_close(body, request_id):
    """Nothing tells the end of such an answer from a break after its head."""
    head = UNDELIMITED % request_id
    return Answer(head + body, len(head))


def of_http_1_0(body, request_id):
    data = make_plain(request_id, body).replace(b"HTTP/1.1", b"HTTP/1.0", 1)
    return Answer(data, len(data))


def with_length_first(body, request_id):
    """Name the length in the first line of the head, so that it is whole in most parts of it."""
    status, _, rest = (HEAD % request_id).partition(b"\r\n")
    length = b"\r\nContent-Length: %d\r\n" % len(body)
    data = status + length + rest + b"X-Last: value\r\n\r\n" + body
    return Answer(data, len(data))


def after_continue(body, request_id):
    answer = with_length(body, request_id)
    return Answer(CONTINUE + answer.data, len(CONTINUE) + answer.whole_from)


def after_early_hints(body, request_id):
    answer = in_chunks(body, request_id)
    return Answer(EARLY_HINTS + answer.data, len(EARLY_HINTS) + answer.whole_from)


FORMS = (
    with_length,
    in_chunks,
    until_close,
    of_http_1_0,
    with_length_first,
    after_continue,
    after_early_hints,
)


class CutAnswerTest(AnswerIntegrityCase):
    """Each request names, by its id, after how many bytes its first answer is broken off."""

    async def asyncSetUp(self):
        await self.start(*[self.reply] * SERVERS)
        self.gateway.services.set_retry_limits(RetryBudgetLimits(1.0, 100_000.0, 10.0))
        # Breaks of all answers would have every server left out, and the requests for crashing.
        self.gateway.services.report_failure = mock.Mock()
        self.gateway.crashes.on_connection_broken = mock.AsyncMock()
        self.attempts: dict[bytes, int] = {}
        self.form = with_length
        self.warm_up = False

    def reply(self, number, request_id, head):
        if self.warm_up:
            return RawReply(make_plain(request_id, PLAIN_BODY))
        self.attempts[request_id] = self.attempts.get(request_id, 0) + 1
        is_stream = b" /stream/" in head or b" /once/" in head
        body = make_events(first_event(head), EVENTS) if is_stream else PLAIN_BODY
        data = self.form(body, request_id).data
        if self.attempts[request_id] > 1:
            return RawReply(data, "close" if self.form in (until_close, of_http_1_0) else "keep")
        return RawReply(data[: int(request_id.split(b"-")[1])], "close")

    async def play(self, path, form, is_kept=False):
        """Break off answers after each number of bytes; return what callers got by that number."""
        self.form = form
        name = f"{path[1]}{FORMS.index(form)}"
        body = make_events(1, EVENTS) if path in ("/stream/", "/once/") else PLAIN_BODY
        # The id is part of the answer, so it has the same length for each number of bytes.
        answer = form(body, f"{name}-0000".encode())
        received = {}

        async def play_one(size):
            received[size] = await self.send(path, f"{name}-{size:04}")

        for first in range(0, len(answer.data), PLAYS_AT_ONCE):
            if is_kept:
                await self.keep_connections()
            sizes = range(first, min(first + PLAYS_AT_ONCE, len(answer.data)))
            await asyncio.gather(*(play_one(size) for size in sizes))
        return answer, received

    async def keep_connections(self):
        """Let the gateway have idle connections to all servers."""
        self.warm_up = True
        await asyncio.gather(*(self.send("/read/", f"warm{number}") for number in range(6)))
        self.warm_up = False

    async def check_bookings(self, is_kept):
        for form in FORMS:
            answer, received = await self.play("/book/x", form, is_kept)
            for size, (status, _, body) in received.items():
                with self.subTest(form=form.__name__, size=size):
                    if size >= answer.whole_from:
                        continue
                    self.assertNotEqual(status, 200)
                    self.assertNotIn(status, NOT_RUN_STATUSES)
                    self.assertIsNotNone(body)
        self.assertEqual(set(self.attempts.values()), {1})

    async def test_a_booking_whose_answer_is_cut_is_no_success_and_runs_once(self):
        await self.check_bookings(is_kept=False)

    async def test_a_booking_whose_answer_is_cut_on_a_kept_connection_is_no_success(self):
        await self.check_bookings(is_kept=True)

    async def test_a_plain_request_whose_answer_is_cut_is_repeated_and_answered_whole(self):
        for form in FORMS:
            answer, received = await self.play("/read/x", form)
            for size, (status, _, body) in received.items():
                with self.subTest(form=form.__name__, size=size):
                    if size >= answer.whole_from:
                        continue
                    self.assertEqual((status, body), (200, PLAIN_BODY))

    async def test_a_stream_whose_answer_is_cut_is_resumed_and_complete(self):
        for form in FORMS:
            answer, received = await self.play("/stream/", form)
            for size, (status, _, body) in received.items():
                with self.subTest(form=form.__name__, size=size):
                    if size >= answer.whole_from and ends_with_event(answer.data[:size]):
                        continue
                    self.assertEqual((status, body), (200, make_events(1, EVENTS)))

    async def test_a_stream_that_may_not_be_resumed_never_looks_whole_when_cut(self):
        for form in FORMS:
            answer, received = await self.play("/once/", form)
            for size, (status, _, body) in received.items():
                with self.subTest(form=form.__name__, size=size):
                    if size >= answer.whole_from and ends_with_event(answer.data[:size]):
                        continue
                    if make_event(1) in answer.data[:size]:
                        self.assertEqual((status, body), (200, None))
                    else:
                        self.assertEqual(status, 502)
        self.assertEqual(set(self.attempts.values()), {1})


def ends_with_event(data: bytes) -> bool:
    """Whether an answer that ends with its connection ends at the end of an event."""
    return any(data.endswith(make_event(number)) for number in range(1, EVENTS + 1))
