"""Accepts, cancels, resumes and drains the attempts of one agent."""

from __future__ import annotations

import functools
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from bronzerudder.backend_server import BackendServer
from bronzerudder.claims import ClaimRegister
from bronzerudder.execution.attempt import Attempt, AttemptKey, AttemptState, SendFrame
from bronzerudder.execution.crash_guard import CrashGuard
from bronzerudder.execution.gate import AdmissionGate
from bronzerudder.execution.refusals import build_refusal, describe_admission_refusal, to_ms
from bronzerudder.execution.relay import Relay
from bronzerudder.execution.route_uses import describe_uses
from bronzerudder.execution.runner import QUARANTINED_DETAIL, AttemptRunner, SharedState
from bronzerudder.execution.table import AttemptTable
from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.observability import Tracing
from bronzerudder.policy.admission import AdmissionQueue
from bronzerudder.policy.limits import RouteUseCounter
from bronzerudder.policy.quarantine import QuarantineState

ORPHAN_TIMEOUT_S = 10.0
SWEEP_INTERVAL_S = 1.0
LEAVING_RETRY_AFTER_MS = 100


class Executor:
    """Handles the frames that entries send about attempts, and runs accepted attempts.

    The only sender of requests to the backend server.

    Parameters
    ----------
    backend_server : BackendServer
        Runs the requests.
    resumable : bool
        Whether the backend server can resume an event stream on a new connection.
    admission : AdmissionQueue
        Decides which attempts run, wait or are refused.
    tasks : TaskGroup
        Runs the attempts.
    incarnation : int
        Of this process; attempts for another incarnation are refused.
    tracing : Tracing
        Records a span for each attempt and for each call of the backend server.
    register : ClaimRegister
        Grants claims on the idempotency keys of requests that may not be repeated.
    guard : CrashGuard
        Detects crashes and quarantined requests, and runs suspects one at a time.
    """

    def __init__(
        self,
        backend_server: BackendServer,
        resumable: bool,
        admission: AdmissionQueue,
        tasks: TaskGroup,
        incarnation: int,
        tracing: Tracing,
        register: ClaimRegister,
        guard: CrashGuard,
    ) -> None:
        self._guard = guard
        self._gate = AdmissionGate(admission)
        self._tasks = tasks
        self._incarnation = incarnation
        self._table = AttemptTable()
        self._route_uses = RouteUseCounter()
        self._leaving = False
        self._is_group_stalled: Callable[[], bool] = _is_never_stalled
        self._runner = AttemptRunner(
            backend_server,
            Relay(backend_server, resumable, tracing),
            SharedState(self._table, self._gate, self._route_uses),
            guard,
            register,
            tracing,
        )

    @property
    def leaving(self) -> bool:
        """Whether new work is refused because this agent is about to stop."""
        return self._leaving

    @property
    def unfinished(self) -> int:
        """Attempts that run, wait, or whose answer has not been acknowledged."""
        return len(self._table)

    @property
    def route_uses(self) -> RouteUseCounter:
        """Rates and running requests of limited routes, by entry."""
        return self._route_uses

    def watch_group(self, is_stalled: Callable[[], bool]) -> None:
        """Set the check for a stall of the lock-step group; the load report includes its result."""
        self._is_group_stalled = is_stalled

    def leave(self) -> None:
        """Refuse new work from now on."""
        self._leaving = True

    async def wait_drained(self) -> None:
        """Wait until no attempt is unfinished."""
        await self._table.wait_empty()

    def build_load(self, entry_id: str = "") -> pb.Load:
        """Build the load report for an entry, with that entry's share of the use of routes."""
        queue = self._gate.queue
        now = anyio.current_time()
        return pb.Load(
            outstanding_requests=len(self._table),
            outstanding_tokens=queue.outstanding_tokens,
            queued_requests=queue.queued_requests,
            estimated_wait_ms=int(queue.estimated_wait_s(now) * 1000),
            token_rate=round(queue.token_rate),
            backend_up=self._runner.backend_up,
            group_stalled=queue.is_stalled(now) or self._is_group_stalled(),
            route_uses=describe_uses(self._route_uses, entry_id, now),
        )

    def submit(self, submit: pb.Submit, send: SendFrame, entry_id: str = "") -> None:
        """Accept or refuse an attempt of an entry; a repeat is ignored, or refused again."""
        key = AttemptKey(submit.request_id, submit.attempt)
        if self._table.get(key) is not None or self._table.has_run(key):
            return
        refused = self._table.get_refusal(key) or self._find_refusal(submit) or self._admit(submit)
        if refused is not None:
            self._table.refuse(refused, anyio.current_time())
            send(pb.AgentFrame(refused=refused))
            return
        attempt = Attempt(key, submit, send, anyio.current_time())
        self._table.add(attempt)
        attempt.on_tokens = functools.partial(self._gate.count_tokens, submit)
        attempt.on_buffer_full = functools.partial(self._gate.pause, submit)
        send(pb.AgentFrame(accepted=pb.Accepted(**key._asdict())))
        self._tasks.start_soon(self._runner.run, attempt, entry_id)

    def cancel(self, cancel: pb.Cancel, send: SendFrame) -> None:
        """Cancel an attempt; one that has not started is refused, now and if it arrives later."""
        key = AttemptKey(cancel.request_id, cancel.attempt)
        attempt = self._table.get(key)
        if attempt is None or attempt.state is AttemptState.QUEUED:
            self._refuse_unstarted(key, send)
            return
        if not cancel.only_if_not_started:
            attempt.request_cancel()

    def resume(self, resume: pb.Resume, send: SendFrame) -> None:
        """Continue an answer on another connection, or refuse an attempt that never arrived."""
        key = AttemptKey(resume.request_id, resume.attempt)
        if resume.incarnation != self._incarnation:
            send(pb.AgentFrame(resume_failed=pb.ResumeFailed(**key._asdict())))
            return
        attempt = self._table.get(key)
        if attempt is not None:
            attempt.attach(send, resume.next_sequence)
            return
        self._refuse_unstarted(key, send)

    def acknowledge(self, ack: pb.Ack) -> None:
        """Drop the frames that the entry has received."""
        key = AttemptKey(ack.request_id, ack.attempt)
        attempt = self._table.get(key)
        if attempt is None:
            return
        attempt.acknowledge(ack.next_sequence)
        if attempt.acknowledged:
            self._table.conclude(key, anyio.current_time())

    def detach(self, send: SendFrame) -> None:
        """Only buffer the answers of a connection that has ended."""
        for attempt in self._table:
            attempt.detach(send, anyio.current_time())

    async def expire_queue(self) -> None:
        """Refuse queued attempts that can no longer start in time; runs until cancelled."""
        await self._gate.expire()

    async def watch_backend_server(self) -> None:
        """Probe a backend server that was down until it answers; runs until cancelled."""
        await self._runner.watch_backend_server()

    async def sweep(self) -> None:
        """Periodically end orphaned attempts and drop old tombstones; runs until cancelled.

        An attempt is an orphan after `ORPHAN_TIMEOUT_S` without a connection to its entry. One that
        may not be repeated runs to its end.
        """
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            now = anyio.current_time()
            self._table.expire(now)
            for attempt in self._table:
                if attempt.attached or now - attempt.detached_at < ORPHAN_TIMEOUT_S:
                    continue
                self._drop_orphan(attempt)

    def _drop_orphan(self, attempt: Attempt) -> None:
        if attempt.state is AttemptState.FINISHED:
            self._table.conclude(attempt.key, anyio.current_time())
            return
        if attempt.submit.repeatable:
            attempt.request_cancel()

    def _find_refusal(self, submit: pb.Submit) -> pb.Refused | None:
        if submit.incarnation != self._incarnation:
            return build_refusal(submit, pb.REFUSAL_REASON_WRONG_INCARNATION, 0)
        if self._leaving:
            return build_refusal(submit, pb.REFUSAL_REASON_LEAVING, LEAVING_RETRY_AFTER_MS)
        verdict = self._guard.judge(submit.fingerprint)
        if verdict.quarantine_state is QuarantineState.QUARANTINED:
            retry_after_ms = to_ms(verdict.retry_after_s)
            reason = pb.REFUSAL_REASON_QUARANTINED
            return build_refusal(submit, reason, retry_after_ms, QUARANTINED_DETAIL)
        return None

    def _admit(self, submit: pb.Submit) -> pb.Refused | None:
        refusal = self._gate.offer(submit)
        return None if refusal is None else describe_admission_refusal(submit, refusal)

    def _refuse_unstarted(self, key: AttemptKey, send: SendFrame) -> None:
        if self._table.has_run(key):
            send(pb.AgentFrame(resume_failed=pb.ResumeFailed(**key._asdict())))
            return
        refused = self._table.get_refusal(key) or pb.Refused(
            reason=pb.REFUSAL_REASON_CANCELLED, detail="withdrawn before it ran", **key._asdict()
        )
        queued = self._table.get(key)
        self._table.refuse(refused, anyio.current_time())
        send(pb.AgentFrame(refused=refused))
        if queued is not None:
            self._gate.release(queued.submit)


def _is_never_stalled() -> bool:
    """Return False, for a backend server that belongs to no lock-step group."""
    return False
