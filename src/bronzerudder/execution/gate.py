"""Makes attempts wait until the admission queue starts or refuses them."""

from __future__ import annotations

import anyio

from bronzerudder.execution.attempt import Attempt
from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.policy.admission import (
    EXPIRY_INTERVAL_S,
    AdmissionQueue,
    AdmissionRefusal,
    AdmissionRequest,
)


class _Admission:
    """Decision of the admission queue about one attempt, once `decided` is set."""

    def __init__(self) -> None:
        self.decided = anyio.Event()
        self.started = False
        self.refusal: AdmissionRefusal | None = None


class AdmissionGate:
    """Makes the task of each attempt wait for the decision of the admission queue.

    Parameters
    ----------
    queue : AdmissionQueue
        Decides which attempts start, in which order, and which are refused.
    """

    def __init__(self, queue: AdmissionQueue) -> None:
        self._queue = queue
        self._admissions: dict[str, _Admission] = {}
        self._offered = anyio.Event()

    @property
    def queue(self) -> AdmissionQueue:
        """The admission queue."""
        return self._queue

    def offer(self, submit: pb.Submit) -> AdmissionRefusal | None:
        """Queue a request, or return its refusal."""
        now = anyio.current_time()
        request = AdmissionRequest(
            _build_id(submit),
            submit.workspace,
            max(1, submit.estimated_tokens),
            now + submit.time_left_ms / 1000,
            submit.priority,
            max(1, submit.weight),
        )
        answer = self._queue.offer(request, now)
        if isinstance(answer, AdmissionRefusal):
            return answer
        self._admissions[request.request_id] = _Admission()
        self._offered.set()
        self._apply_refusals(answer.evicted)
        self._start_next()
        return None

    async def wait_for_admission(self, attempt: Attempt) -> AdmissionRefusal | None:
        """Wait until an attempt may run; return its refusal if it is refused while queued."""
        admission = self._admissions.get(_build_id(attempt.submit))
        if admission is None:
            return None
        await admission.decided.wait()
        return admission.refusal

    def count_tokens(self, submit: pb.Submit, tokens: int) -> None:
        """Count tokens of an answer as processed."""
        self._queue.progressed(_build_id(submit), tokens, anyio.current_time())

    def pause(self, submit: pb.Submit) -> None:
        """Record that an answer is held up by its reader, not by the backend server."""
        self._queue.paused(_build_id(submit))

    def release(self, submit: pb.Submit) -> None:
        """Release an attempt's slot or its place in the queue; further calls have no effect."""
        attempt_id = _build_id(submit)
        admission = self._admissions.pop(attempt_id, None)
        if admission is None:
            return
        now = anyio.current_time()
        if admission.started:
            self._queue.finished(attempt_id, now)
        else:
            self._queue.cancel(attempt_id, now)
        admission.decided.set()
        self._start_next()

    async def expire(self) -> None:
        """Refuse queued attempts that can no longer start in time; runs until cancelled."""
        while True:
            if not self._admissions:
                self._offered = anyio.Event()
                await self._offered.wait()
            await anyio.sleep(EXPIRY_INTERVAL_S)
            self._apply_refusals(self._queue.expire(anyio.current_time()))
            self._start_next()

    def _apply_refusals(self, refusals: tuple[AdmissionRefusal, ...]) -> None:
        for refusal in refusals:
            admission = self._admissions[refusal.request_id]
            admission.refusal = refusal
            admission.decided.set()

    def _start_next(self) -> None:
        now = anyio.current_time()
        while (request := self._queue.next(now)) is not None:
            admission = self._admissions[request.request_id]
            admission.started = True
            admission.decided.set()


def _build_id(submit: pb.Submit) -> str:
    return f"{submit.request_id}.{submit.attempt}"
