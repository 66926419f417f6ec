"""Holds attempts back until the admission queue starts them."""

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


class _Turn:
    def __init__(self) -> None:
        self.decided = anyio.Event()
        self.started = False
        self.refusal: AdmissionRefusal | None = None


class AdmissionGate:
    """Gives each attempt its turn, or a refusal.

    Parameters
    ----------
    queue : AdmissionQueue
        Decides the order and the refusals.
    """

    def __init__(self, queue: AdmissionQueue) -> None:
        self._queue = queue
        self._turns: dict[str, _Turn] = {}
        self._arrived = anyio.Event()

    @property
    def queue(self) -> AdmissionQueue:
        """What decides."""
        return self._queue

    def offer(self, submit: pb.Submit) -> AdmissionRefusal | None:
        """Queue a request, or return why it is refused at once."""
        now = anyio.current_time()
        request = AdmissionRequest(
            _name(submit),
            submit.workspace,
            max(1, submit.estimated_tokens),
            now + submit.time_left_ms / 1000,
            submit.priority,
            max(1, submit.weight),
        )
        answer = self._queue.offer(request, now)
        if isinstance(answer, AdmissionRefusal):
            return answer
        self._turns[request.request_id] = _Turn()
        self._arrived.set()
        self._settle(answer.evicted)
        self._start_due()
        return None

    async def wait_turn(self, attempt: Attempt) -> AdmissionRefusal | None:
        """Wait until an attempt may run; return why not if it has been refused meanwhile."""
        turn = self._turns.get(_name(attempt.submit))
        if turn is None:
            return None
        await turn.decided.wait()
        return turn.refusal

    def count_part(self, submit: pb.Submit, tokens: int) -> None:
        """Count a part of an answer."""
        self._queue.progressed(_name(submit), tokens, anyio.current_time())

    def pause(self, submit: pb.Submit) -> None:
        """Note that an answer waits for its reader."""
        self._queue.paused(_name(submit))

    def leave(self, submit: pb.Submit) -> None:
        """Give up an attempt's place, whether it runs or waits; further calls do nothing."""
        name = _name(submit)
        turn = self._turns.pop(name, None)
        if turn is None:
            return
        now = anyio.current_time()
        if turn.started:
            self._queue.finished(name, now)
        else:
            self._queue.cancel(name, now)
        turn.decided.set()
        self._start_due()

    async def expire(self) -> None:
        """Refuse attempts that wait in vain, for ever."""
        while True:
            if not self._turns:
                self._arrived = anyio.Event()
                await self._arrived.wait()
            await anyio.sleep(EXPIRY_INTERVAL_S)
            self._settle(self._queue.expire(anyio.current_time()))
            self._start_due()

    def _settle(self, refusals: tuple[AdmissionRefusal, ...]) -> None:
        for refusal in refusals:
            turn = self._turns[refusal.request_id]
            turn.refusal = refusal
            turn.decided.set()

    def _start_due(self) -> None:
        now = anyio.current_time()
        while (request := self._queue.next(now)) is not None:
            turn = self._turns[request.request_id]
            turn.started = True
            turn.decided.set()


def _name(submit: pb.Submit) -> str:
    return f"{submit.request_id}.{submit.attempt}"
