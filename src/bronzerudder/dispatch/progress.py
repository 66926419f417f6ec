"""Progress of one request over all of its attempts."""

from __future__ import annotations

from typing import NamedTuple

from bronzerudder.agent import Body, Head
from bronzerudder.dispatch.api import AnswerSink
from bronzerudder.web.event_stream import TERMINATOR, find_last_event_id, is_event_stream


class HeadMismatch(NamedTuple):
    """The answer of a later attempt is not the rest of the one begun."""

    reason: str


class Progress:
    """Delivers the parts of an answer and tracks from where a later attempt can continue it."""

    def __init__(self, sink: AnswerSink) -> None:
        self._sink = sink
        self._head: Head | None = None
        self._streaming = False
        self._last_event_id = ""
        self._terminated = False
        self._body_begun = False
        self.may_have_run = False
        self.failovers = 0

    @property
    def begun(self) -> bool:
        """Whether any part of the answer has been delivered."""
        return self._head is not None

    @property
    def last_event_id(self) -> str:
        """Id of the last server-sent event delivered; empty if none had an id."""
        return self._last_event_id

    @property
    def terminated(self) -> bool:
        """Whether the event that terminates a stream has been delivered."""
        return self._terminated

    @property
    def can_fail_over(self) -> bool:
        """Whether another backend server can start or continue the answer."""
        if not self.begun:
            return True
        if not self._streaming:
            return False
        return not self._body_begun or bool(self._last_event_id)

    async def deliver(self, event: Head | Body) -> HeadMismatch | None:
        """Deliver a part; the head of a continued answer is checked and dropped."""
        self.may_have_run = True
        if isinstance(event, Body):
            await self._deliver_body(event.payload)
            return None
        if self._head is not None:
            return _compare_heads(self._head, event)
        self._head = event
        self._streaming = is_event_stream(event.headers)
        await self._sink.begin(event.status, event.headers)
        return None

    async def _deliver_body(self, payload: bytes) -> None:
        self._body_begun = True
        if self._streaming:
            self._last_event_id = find_last_event_id(payload) or self._last_event_id
            self._terminated = payload.endswith(TERMINATOR)
        await self._sink.write(payload)


def _compare_heads(first: Head, continued: Head) -> HeadMismatch | None:
    """Check that the body of a continued stream may follow what has been delivered."""
    if continued.status == first.status and is_event_stream(continued.headers):
        return None
    return HeadMismatch(f"the stream was continued with an answer of status {continued.status}")
