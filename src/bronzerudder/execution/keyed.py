"""Runs attempts that have an idempotency key and may not be repeated, each under a claim."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from bronzerudder.claims import (
    AlreadyFinished,
    ClaimError,
    ClaimErrorKind,
    ClaimKey,
    ClaimRegister,
    Granted,
    Released,
    Running,
    StoredAnswer,
    Unknown,
    make_claim_key,
)
from bronzerudder.execution.attempt import Attempt, AttemptState
from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.web.event_stream import (
    EVENT_END,
    LAST_EVENT_ID,
    find_last_event_id,
    is_event_stream,
)

CLAIM_TIMEOUT_S = 3.0
STATUS_ANSWER_NOT_KEPT = 409
RELEASED_DETAIL = "the request that held this idempotency key was not run; retry"
ANSWER_NOT_KEPT = b"the request has run; its answer was too large to keep"

Refuse = Callable[[Attempt, pb.RefusalReason, str, int], None]


def needs_claim(submit: pb.Submit) -> bool:
    """Whether the request must be claimed before it starts."""
    return bool(submit.idempotency_key) and not submit.repeatable


class KeyedRunner:
    """Claims the idempotency key of each attempt before it runs, and records its result.

    Parameters
    ----------
    register : ClaimRegister
        Grants claims on keys and stores results.
    run_in_slot : callable
        Waits for admission and runs an attempt on the backend server.
    leave_queue : callable
        Releases an attempt's place in the admission queue, and marks it as started.
    refuse : callable
        Refuses an attempt that has not run.
    """

    def __init__(
        self,
        register: ClaimRegister,
        run_in_slot: Callable[[Attempt], Awaitable[None]],
        leave_queue: Callable[[Attempt], None],
        refuse: Refuse,
    ) -> None:
        self._register = register
        self._run_in_slot = run_in_slot
        self._leave_queue = leave_queue
        self._refuse = refuse

    async def run(self, attempt: Attempt) -> None:
        """Run an attempt, wait for the running one with the same key, or refuse it."""
        key = _make_key(attempt.submit)
        outcome = await self._register.claim(key, CLAIM_TIMEOUT_S)
        if isinstance(outcome, Granted):
            await self._run_granted(attempt, key)
            return
        # Frees the slot, which the attempt that holds the claim may need. This one must not run
        # after that without being admitted again.
        self._leave_queue(attempt)
        if isinstance(outcome, Running):
            outcome = await self._register.wait(key)
        if isinstance(outcome, ClaimError):
            self._refuse_claim(attempt, outcome)
            return
        if isinstance(outcome, Released):
            self._refuse(attempt, pb.REFUSAL_REASON_CANCELLED, RELEASED_DETAIL, 0)
            return
        _emit_recorded_result(attempt, outcome)

    async def _run_granted(self, attempt: Attempt, key: ClaimKey) -> None:
        attempt.keep_answer()
        try:
            await self._run_in_slot(attempt)
        finally:
            self._record_result(attempt, key)

    def _record_result(self, attempt: Attempt, key: ClaimKey) -> None:
        if attempt.state is AttemptState.QUEUED or attempt.refused:
            self._register.release(key)
            return
        answer = attempt.kept_answer
        if attempt.finish_state == pb.FINISH_STATE_COMPLETE and answer is not None:
            self._register.finish(key, StoredAnswer(answer.status, answer.headers, answer.body))
            return
        self._register.abandon(key)

    def _refuse_claim(self, attempt: Attempt, error: ClaimError) -> None:
        reason = pb.REFUSAL_REASON_CLAIM_UNAVAILABLE
        if error.kind is ClaimErrorKind.MISMATCH:
            reason = pb.REFUSAL_REASON_KEY_REUSED
        self._refuse(attempt, reason, error.reason, int(error.retry_after_s * 1000))


def _emit_recorded_result(attempt: Attempt, outcome: AlreadyFinished | Unknown) -> None:
    if isinstance(outcome, Unknown):
        retry_after_ms = int(outcome.retry_after_s * 1000)
        attempt.emit_finished(
            pb.FINISH_STATE_UNKNOWN, outcome.reason, retry_after_ms=retry_after_ms
        )
        return
    answer = outcome.answer
    if answer is None:
        headers = (("content-type", "text/plain"),)
        answer = StoredAnswer(STATUS_ANSWER_NOT_KEPT, headers, ANSWER_NOT_KEPT)
    body = _find_undelivered(answer, _find_last_event_id(attempt.submit))
    if body is None:
        attempt.emit_finished(
            pb.FINISH_STATE_UNKNOWN, "the stored stream lacks the last event delivered"
        )
        return
    attempt.emit_head(answer.status, answer.headers)
    if body:
        attempt.emit_chunk(body)
    attempt.emit_finished(pb.FINISH_STATE_COMPLETE, replayed=True)


def _find_last_event_id(submit: pb.Submit) -> str:
    for header in submit.headers:
        if header.name == LAST_EVENT_ID:
            return header.value
    return ""


def _find_undelivered(answer: StoredAnswer, last_event_id: str) -> bytes | None:
    """Return a stored body from the event after the given one on; None if it has no such event."""
    if not last_event_id or not is_event_stream(answer.headers):
        return answer.body
    start = 0
    while (end := answer.body.find(EVENT_END, start)) >= 0:
        end += len(EVENT_END)
        if find_last_event_id(answer.body[start:end]) == last_event_id:
            return answer.body[end:]
        start = end
    return None


def _make_key(submit: pb.Submit) -> ClaimKey:
    return make_claim_key(
        submit.workspace, submit.idempotency_key, submit.method, submit.path, submit.payload
    )
