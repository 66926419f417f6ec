"""Calls the backend server for an attempt, and copies the answer into the attempt's buffer."""

from __future__ import annotations

import anyio

from bronzerudder.backend_server import (
    BackendAnswer,
    BackendCall,
    BackendError,
    BackendErrorKind,
    BackendServer,
)
from bronzerudder.execution.attempt import AnswerHead, Attempt
from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.observability import Tracing
from bronzerudder.observability.traces import TRACEPARENT
from bronzerudder.web.event_stream import LAST_EVENT_ID, EventSplitter, is_event_stream

MAX_REOPENS = 8
MAX_PROBES = 5
MAX_PLAIN_ANSWER_BYTES = 16_000_000
"""Length of an answer that is no stream; the entry holds it until it is complete."""
MAX_EVENT_BYTES = 1_000_000
"""Length of an incomplete event, which must fit a message to the entry once it is complete."""
# `EventSplitter` doesn't split here, so such a stream is all tail.
CRLF_EVENT_END = b"\r\n\r\n"


class Relay:
    """Relays attempts to the backend server and emits the frames of their answers.

    Parameters
    ----------
    backend_server : BackendServer
        Runs the requests.
    resumable : bool
        Whether an answer may be resumed on a new connection after the old one became idle.
    tracing : Tracing
        Records a span for each call of the backend server.
    """

    def __init__(self, backend_server: BackendServer, resumable: bool, tracing: Tracing) -> None:
        self._backend_server = backend_server
        self._resumable = resumable
        self._tracing = tracing

    async def run(self, attempt: Attempt) -> BackendError | None:
        """Relay an attempt until its answer ends; return an error if it is incomplete."""
        splitter = EventSplitter()
        error = await self._relay_once(attempt, splitter)
        for _ in range(MAX_REOPENS):
            if error is None or not _can_continue(attempt, splitter):
                return error
            if not await self._may_reopen(error):
                return error
            splitter.drop_partial_event()
            error = await self._relay_once(attempt, splitter)
            if error is not None and error.kind is BackendErrorKind.UNREACHABLE:
                # An earlier connection may have delivered the call, so this does not prove that
                # the attempt has not run.
                error = error._replace(kind=BackendErrorKind.BROKEN)
        return error

    async def _may_reopen(self, error: BackendError) -> bool:
        if not self._resumable or error.kind is not BackendErrorKind.UNRESPONSIVE:
            return False
        for _ in range(MAX_PROBES):
            failure = await self._backend_server.probe()
            if failure is None or failure.kind is BackendErrorKind.UNREACHABLE:
                return failure is None
        return False

    async def _relay_once(self, attempt: Attempt, splitter: EventSplitter) -> BackendError | None:
        span = self._tracing.start("backend server call", attempt.submit.traceparent)
        traceparent = self._tracing.format_traceparent(span)
        try:
            call = _build_call(attempt, splitter.last_event_id, traceparent)
            answer = await self._backend_server.open(call)
            if isinstance(answer, BackendError):
                return answer
            return await _copy(answer, attempt, splitter)
        finally:
            span.end()


async def _copy(
    answer: BackendAnswer, attempt: Attempt, splitter: EventSplitter
) -> BackendError | None:
    try:
        if attempt.head is None:
            attempt.emit_head(answer.status, answer.headers)
        elif not _matches(answer, attempt.head):
            reason = f"the answer with status {answer.status} is not the rest of the one begun"
            return BackendError(BackendErrorKind.BROKEN, reason)
        return await _copy_body(answer, attempt, splitter)
    finally:
        with anyio.CancelScope(shield=True):
            await answer.close()


async def _copy_body(
    answer: BackendAnswer, attempt: Attempt, splitter: EventSplitter
) -> BackendError | None:
    streaming = is_event_stream(answer.headers)
    plain_bytes = 0
    while True:
        await attempt.wait_for_space()
        chunk = await answer.read()
        if isinstance(chunk, BackendError):
            return chunk
        if chunk is None:
            break
        plain_bytes += 0 if streaming else len(chunk)
        complete = splitter.split(chunk) if streaming else chunk
        if complete:
            attempt.emit_chunk(complete)
        excess = _find_excess(plain_bytes, splitter.partial_size)
        if excess is not None:
            return excess
    tail = splitter.partial_event
    if _is_inside_event(tail):
        return BackendError(BackendErrorKind.BROKEN, "the stream ended inside an event")
    if tail:
        attempt.emit_chunk(tail)
    return None


def _can_continue(attempt: Attempt, splitter: EventSplitter) -> bool:
    """Return whether a new answer to the request can continue what has been emitted."""
    return attempt.chunk_count == 0 or bool(splitter.last_event_id)


def _matches(answer: BackendAnswer, head: AnswerHead) -> bool:
    """Return whether the body of an answer may follow the head of an earlier one."""
    if answer.status != head.status:
        return False
    if is_event_stream(head.headers):
        return is_event_stream(answer.headers)
    return answer.headers == head.headers


def _find_excess(plain_bytes: int, event_bytes: int) -> BackendError | None:
    """Return an error if an answer has become too long to hold in memory."""
    if plain_bytes > MAX_PLAIN_ANSWER_BYTES:
        reason = f"plain answer exceeds {MAX_PLAIN_ANSWER_BYTES} bytes"
        return BackendError(BackendErrorKind.BROKEN, reason)
    if event_bytes > MAX_EVENT_BYTES:
        return BackendError(BackendErrorKind.BROKEN, f"event exceeds {MAX_EVENT_BYTES} bytes")
    return None


def _is_inside_event(tail: bytes) -> bool:
    """Return whether the end of a stream after its last complete event is a part of another one."""
    return bool(tail.strip(b"\r\n")) and not tail.endswith(CRLF_EVENT_END)


def _build_call(attempt: Attempt, last_event_id: str, traceparent: str) -> BackendCall:
    submit: pb.Submit = attempt.submit
    fields = {header.name: header.value for header in submit.headers}
    if last_event_id:
        fields[LAST_EVENT_ID] = last_event_id
    if traceparent:
        fields[TRACEPARENT] = traceparent
    return BackendCall(
        f"{submit.request_id}.{submit.attempt}",
        submit.method,
        submit.path,
        tuple(fields.items()),
        submit.payload,
    )
