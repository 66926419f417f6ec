"""Admits, runs, cancels and drains the attempts of one agent."""

from __future__ import annotations

import functools
from collections.abc import Callable

import anyio
from absl import logging
from anyio.abc import TaskGroup

from bronzerudder.backend_server import BackendError, BackendErrorKind, BackendServer
from bronzerudder.claims import ClaimRegister
from bronzerudder.execution.attempt import Attempt, AttemptKey, AttemptState, Outlet
from bronzerudder.execution.crash_guard import CrashGuard
from bronzerudder.execution.gate import AdmissionGate
from bronzerudder.execution.keyed import KeyedRunner, needs_claim
from bronzerudder.execution.refusals import build_refusal, describe_admission_refusal, to_ms
from bronzerudder.execution.relay import Relay
from bronzerudder.execution.route_uses import describe_uses
from bronzerudder.execution.table import AttemptTable
from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.observability import Tracing
from bronzerudder.policy.admission import AdmissionQueue
from bronzerudder.policy.limits import RouteUseCounter
from bronzerudder.policy.quarantine import Standing, Verdict

ORPHAN_TIMEOUT_S = 10.0
SWEEP_INTERVAL_S = 1.0
PROBE_INTERVAL_S = 0.5
LEAVING_RETRY_AFTER_MS = 100
BACKEND_DOWN_RETRY_AFTER_MS = 1_000
QUARANTINED_DETAIL = "backend servers crashed while this request ran"


class Executor:
    """The only sender of work to one backend server.

    Parameters
    ----------
    backend_server : BackendServer
        Where the work runs.
    resumable : bool
        Whether the backend server resumes streams.
    admission : AdmissionQueue
        Decides what runs, waits and is refused.
    tasks : TaskGroup
        Runs the attempts.
    incarnation : int
        Of this process.
    tracing : Tracing
        Records a span for each attempt and for each call of the backend server.
    register : ClaimRegister
        Grants the keys of requests that may not be repeated.
    guard : CrashGuard
        Keeps requests that crash the backend server away from it.
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
        self._backend_server = backend_server
        self._relay = Relay(backend_server, resumable, tracing)
        self._tracing = tracing
        self._guard = guard
        self._gate = AdmissionGate(admission)
        self._tasks = tasks
        self._incarnation = incarnation
        self._table = AttemptTable()
        self._route_uses = RouteUseCounter()
        self._leaving = False
        self._backend_up = True
        self._is_group_stalled: Callable[[], bool] = _is_never_stalled
        self._keyed = KeyedRunner(register, self._run_in_slot, self._leave_queue, self._refuse)

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
        """Use of routes by entry."""
        return self._route_uses

    def watch_group(self, is_stalled: Callable[[], bool]) -> None:
        """Report a stall of the lock-step group that the backend server belongs to."""
        self._is_group_stalled = is_stalled

    def leave(self) -> None:
        """Refuse new work from now on."""
        self._leaving = True

    async def wait_drained(self) -> None:
        """Wait until nothing is unfinished."""
        await self._table.wait_empty()

    def build_load(self, entry_id: str = "") -> pb.Load:
        """Describe to an entry how busy the backend server is."""
        queue = self._gate.queue
        now = anyio.current_time()
        return pb.Load(
            outstanding_requests=len(self._table),
            outstanding_tokens=queue.outstanding_tokens,
            queued_requests=queue.queued_requests,
            estimated_wait_ms=int(queue.estimated_wait_s(now) * 1000),
            token_rate=round(queue.token_rate),
            backend_up=self._backend_up,
            group_stalled=queue.is_stalled(now) or self._is_group_stalled(),
            route_uses=describe_uses(self._route_uses, entry_id, now),
        )

    def submit(self, submit: pb.Submit, outlet: Outlet, entry_id: str = "") -> None:
        """Start or queue an attempt of an entry, or refuse it."""
        key = AttemptKey(submit.request_id, submit.attempt)
        if self._table.get(key) is not None or self._table.has_run(key):
            return
        refused = self._table.get_refusal(key) or self._find_refusal(submit) or self._admit(submit)
        if refused is not None:
            self._table.refuse(refused, anyio.current_time())
            outlet(pb.AgentFrame(refused=refused))
            return
        attempt = Attempt(key, submit, outlet, anyio.current_time())
        self._table.add(attempt)
        attempt.on_part = functools.partial(self._gate.count_part, submit)
        attempt.on_full = functools.partial(self._gate.pause, submit)
        outlet(pb.AgentFrame(accepted=pb.Accepted(**key._asdict())))
        self._tasks.start_soon(self._run, attempt, entry_id)

    def cancel(self, cancel: pb.Cancel, outlet: Outlet) -> None:
        """Withdraw an attempt; one that has not started is refused for good."""
        key = AttemptKey(cancel.request_id, cancel.attempt)
        attempt = self._table.get(key)
        if attempt is None or attempt.state is AttemptState.QUEUED:
            self._refuse_unstarted(key, outlet)
            return
        if not cancel.only_if_not_started:
            attempt.withdraw()

    def resume(self, resume: pb.Resume, outlet: Outlet) -> None:
        """Continue an answer on another connection, or prove that the attempt never arrived."""
        key = AttemptKey(resume.request_id, resume.attempt)
        if resume.incarnation != self._incarnation:
            outlet(pb.AgentFrame(resume_failed=pb.ResumeFailed(**key._asdict())))
            return
        attempt = self._table.get(key)
        if attempt is not None:
            attempt.attach(outlet, resume.next_sequence)
            return
        self._refuse_unstarted(key, outlet)

    def acknowledge(self, ack: pb.Ack) -> None:
        """Release what the entry has received."""
        key = AttemptKey(ack.request_id, ack.attempt)
        attempt = self._table.get(key)
        if attempt is None:
            return
        attempt.acknowledge(ack.next_sequence)
        if attempt.acknowledged:
            self._table.conclude(key, anyio.current_time())

    def detach(self, outlet: Outlet) -> None:
        """Keep the answers of a connection that ended."""
        for attempt in self._table:
            attempt.detach(outlet, anyio.current_time())

    async def expire_queue(self) -> None:
        """Refuse attempts that wait in vain, for ever."""
        await self._gate.expire()

    async def sweep(self) -> None:
        """Withdraw attempts whose entry is gone, and forget old tombstones."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            now = anyio.current_time()
            self._table.expire(now)
            for attempt in self._table:
                if attempt.attached or now - attempt.detached_at < ORPHAN_TIMEOUT_S:
                    continue
                self._drop_orphan(attempt)

    async def watch_backend_server(self) -> None:
        """Find out when a backend server that was down answers again, for ever.

        No entry sends it work meanwhile, so no request would show it.
        """
        while True:
            await anyio.sleep(PROBE_INTERVAL_S)
            if not self._backend_up:
                self._backend_up = await self._backend_server.probe() is None

    def _drop_orphan(self, attempt: Attempt) -> None:
        if attempt.state is AttemptState.FINISHED:
            self._table.conclude(attempt.key, anyio.current_time())
            return
        if attempt.submit.repeatable:
            attempt.withdraw()

    def _find_refusal(self, submit: pb.Submit) -> pb.Refused | None:
        if submit.incarnation != self._incarnation:
            return build_refusal(submit, pb.REFUSAL_REASON_WRONG_INCARNATION, 0)
        if self._leaving:
            return build_refusal(submit, pb.REFUSAL_REASON_LEAVING, LEAVING_RETRY_AFTER_MS)
        verdict = self._guard.judge(submit.fingerprint)
        if verdict.standing is Standing.QUARANTINED:
            retry_after_ms = to_ms(verdict.retry_after_s)
            reason = pb.REFUSAL_REASON_QUARANTINED
            return build_refusal(submit, reason, retry_after_ms, QUARANTINED_DETAIL)
        return None

    def _admit(self, submit: pb.Submit) -> pb.Refused | None:
        refusal = self._gate.offer(submit)
        return None if refusal is None else describe_admission_refusal(submit, refusal)

    def _refuse_unstarted(self, key: AttemptKey, outlet: Outlet) -> None:
        if self._table.has_run(key):
            outlet(pb.AgentFrame(resume_failed=pb.ResumeFailed(**key._asdict())))
            return
        refused = self._table.get_refusal(key) or pb.Refused(
            reason=pb.REFUSAL_REASON_CANCELLED, detail="withdrawn before it ran", **key._asdict()
        )
        waiting = self._table.get(key)
        self._table.refuse(refused, anyio.current_time())
        outlet(pb.AgentFrame(refused=refused))
        if waiting is not None:
            self._gate.leave(waiting.submit)

    async def _run(self, attempt: Attempt, entry_id: str) -> None:
        if attempt.submit.limited:
            self._route_uses.begin(attempt.submit.route, entry_id, anyio.current_time())
        span = self._tracing.start("agent attempt", attempt.submit.traceparent)
        attempt.submit.traceparent = self._tracing.format_traceparent(span)
        try:
            await self._run_within_deadline(attempt)
        except Exception:
            # Not caught here it would end every other attempt with this one.
            logging.exception("attempt of %s failed unexpectedly", attempt.key.request_id)
            attempt.emit_finished(_cut_state(attempt), "internal error")
        finally:
            if attempt.submit.limited:
                self._route_uses.end(attempt.submit.route, entry_id)
            span.end()

    async def _run_within_deadline(self, attempt: Attempt) -> None:
        try:
            with anyio.move_on_after(attempt.submit.time_left_ms / 1000) as deadline:
                await self._run_claimed(attempt)
        finally:
            self._gate.leave(attempt.submit)
        if not deadline.cancelled_caught:
            return
        if attempt.state is AttemptState.QUEUED:
            self._refuse(attempt, pb.REFUSAL_REASON_DEADLINE, "waited until the deadline", 0)
            return
        await self._backend_server.cancel(f"{attempt.key.request_id}.{attempt.key.attempt}")
        attempt.emit_finished(_cut_state(attempt), "deadline passed while it ran")

    async def _run_claimed(self, attempt: Attempt) -> None:
        if needs_claim(attempt.submit):
            await self._keyed.run(attempt)
            return
        await self._run_in_slot(attempt)

    def _leave_queue(self, attempt: Attempt) -> None:
        if attempt.state is AttemptState.QUEUED:
            attempt.start()
        self._gate.leave(attempt.submit)

    async def _run_in_slot(self, attempt: Attempt) -> None:
        async with self._guard.take_turn(attempt.key, attempt.submit.fingerprint) as verdict:
            if verdict.standing is Standing.QUARANTINED:
                self._refuse_quarantined(attempt, verdict)
                return
            await self._run_in_turn(attempt)

    async def _run_in_turn(self, attempt: Attempt) -> None:
        refusal = await self._gate.wait_turn(attempt)
        if self._table.get(attempt.key) is not attempt:
            return
        if refusal is not None:
            self._conclude_refused(attempt, describe_admission_refusal(attempt.submit, refusal))
            return
        if attempt.state is AttemptState.QUEUED:
            attempt.start()
        await self._run_until_withdrawn(attempt)

    async def _run_until_withdrawn(self, attempt: Attempt) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_when_withdrawn, attempt, tasks.cancel_scope)
            self._guard.begin(attempt.key)
            error = await self._relay.run(attempt)
            await self._guard.settle(attempt.key, error)
            tasks.cancel_scope.cancel()
            self._conclude(attempt, error)

    async def _cancel_when_withdrawn(self, attempt: Attempt, scope: anyio.CancelScope) -> None:
        await attempt.withdrawn.wait()
        await self._backend_server.cancel(f"{attempt.key.request_id}.{attempt.key.attempt}")
        attempt.emit_finished(pb.FINISH_STATE_CANCELLED, "withdrawn while it ran")
        scope.cancel()

    def _conclude(self, attempt: Attempt, error: BackendError | None) -> None:
        if error is None:
            self._backend_up = True
            attempt.emit_finished(pb.FINISH_STATE_COMPLETE)
            return
        if error.kind is BackendErrorKind.UNREACHABLE and not attempt.has_head:
            self._backend_up = False
            self._refuse(
                attempt, pb.REFUSAL_REASON_BACKEND_DOWN, error.reason, BACKEND_DOWN_RETRY_AFTER_MS
            )
            return
        attempt.emit_finished(_cut_state(attempt), error.reason)

    def _refuse_quarantined(self, attempt: Attempt, verdict: Verdict) -> None:
        if self._table.get(attempt.key) is not attempt:
            return
        self._leave_queue(attempt)
        retry_after_ms = to_ms(verdict.retry_after_s)
        reason = pb.REFUSAL_REASON_QUARANTINED
        self._refuse(attempt, reason, QUARANTINED_DETAIL, retry_after_ms)

    def _refuse(
        self, attempt: Attempt, reason: pb.RefusalReason, detail: str, retry_after_ms: int
    ) -> None:
        refused = build_refusal(attempt.submit, reason, retry_after_ms, detail)
        self._conclude_refused(attempt, refused)

    def _conclude_refused(self, attempt: Attempt, refused: pb.Refused) -> None:
        self._table.refuse(refused, anyio.current_time())
        attempt.emit_refused(refused)


def _cut_state(attempt: Attempt) -> pb.FinishState:
    return pb.FINISH_STATE_BROKEN if attempt.has_head else pb.FINISH_STATE_UNKNOWN


def _is_never_stalled() -> bool:
    """Answer for a backend server that belongs to no lock-step group."""
    return False
