"""Runs accepted attempts: claim, quarantine check, admission, call of the backend server."""

from __future__ import annotations

from typing import NamedTuple

import anyio
from absl import logging

from bronzerudder.backend_server import BackendError, BackendErrorKind, BackendServer
from bronzerudder.claims import ClaimRegister
from bronzerudder.execution.attempt import Attempt, AttemptState
from bronzerudder.execution.crash_guard import CrashGuard
from bronzerudder.execution.gate import AdmissionGate
from bronzerudder.execution.keyed import KeyedRunner, needs_claim
from bronzerudder.execution.refusals import build_refusal, describe_admission_refusal, to_ms
from bronzerudder.execution.relay import Relay
from bronzerudder.execution.table import AttemptTable
from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.observability import Tracing
from bronzerudder.policy.limits import RouteUseCounter
from bronzerudder.policy.quarantine import QuarantineState, Verdict

PROBE_INTERVAL_S = 0.5
BACKEND_DOWN_RETRY_AFTER_MS = 1_000
QUARANTINED_DETAIL = "backend servers crashed while this request ran"


class SharedState(NamedTuple):
    """State of all attempts, shared by the executor and the runner."""

    table: AttemptTable
    gate: AdmissionGate
    route_uses: RouteUseCounter


class AttemptRunner:
    """Runs each accepted attempt until it is finished or refused.

    Parameters
    ----------
    backend_server : BackendServer
        Receives cancellations, and is probed while it is down.
    relay : Relay
        Calls the backend server.
    shared : SharedState
        State shared with the executor.
    guard : CrashGuard
        Detects crashes and quarantined requests, and runs suspects one at a time.
    register : ClaimRegister
        Grants claims on the idempotency keys of requests that may not be repeated.
    tracing : Tracing
        Records a span for each attempt.
    """

    def __init__(
        self,
        backend_server: BackendServer,
        relay: Relay,
        shared: SharedState,
        guard: CrashGuard,
        register: ClaimRegister,
        tracing: Tracing,
    ) -> None:
        self._backend_server = backend_server
        self._relay = relay
        self._table = shared.table
        self._gate = shared.gate
        self._route_uses = shared.route_uses
        self._guard = guard
        self._tracing = tracing
        self._backend_up = True
        self._keyed = KeyedRunner(register, self._run_in_slot, self._leave_queue, self._refuse)

    @property
    def backend_up(self) -> bool:
        """Whether the backend server was reachable at the last call or probe."""
        return self._backend_up

    async def watch_backend_server(self) -> None:
        """Probe a backend server that was down until it answers; runs until cancelled.

        Entries send it no requests while it is down, so only a probe can detect its recovery.
        """
        while True:
            await anyio.sleep(PROBE_INTERVAL_S)
            if not self._backend_up:
                self._backend_up = await self._backend_server.probe() is None

    async def run(self, attempt: Attempt, entry_id: str) -> None:
        """Run one attempt of an entry until it is finished or refused."""
        if attempt.submit.limited:
            self._route_uses.begin(attempt.submit.route, entry_id, anyio.current_time())
        span = self._tracing.start("agent attempt", attempt.submit.traceparent)
        attempt.submit.traceparent = self._tracing.format_traceparent(span)
        try:
            await self._run_within_deadline(attempt)
        except Exception:
            # Not caught here, it would cancel the task group and with it all other attempts.
            logging.exception("attempt of %s failed unexpectedly", attempt.key.request_id)
            attempt.emit_finished(_incomplete_state(attempt), "internal error")
        finally:
            if attempt.submit.limited:
                self._route_uses.end(attempt.submit.route, entry_id)
            span.end()

    async def _run_within_deadline(self, attempt: Attempt) -> None:
        try:
            with anyio.move_on_after(attempt.submit.time_left_ms / 1000) as deadline:
                await self._run_claimed(attempt)
        finally:
            self._gate.release(attempt.submit)
        if not deadline.cancelled_caught:
            return
        if attempt.state is AttemptState.QUEUED:
            self._refuse(attempt, pb.REFUSAL_REASON_DEADLINE, "waited until the deadline", 0)
            return
        await self._backend_server.cancel(f"{attempt.key.request_id}.{attempt.key.attempt}")
        attempt.emit_finished(_incomplete_state(attempt), "deadline passed while it ran")

    async def _run_claimed(self, attempt: Attempt) -> None:
        if needs_claim(attempt.submit):
            await self._keyed.run(attempt)
            return
        await self._run_in_slot(attempt)

    def _leave_queue(self, attempt: Attempt) -> None:
        if attempt.state is AttemptState.QUEUED:
            attempt.start()
        self._gate.release(attempt.submit)

    async def _run_in_slot(self, attempt: Attempt) -> None:
        async with self._guard.track_run(attempt.key, attempt.submit.fingerprint) as verdict:
            if verdict.quarantine_state is QuarantineState.QUARANTINED:
                self._refuse_quarantined(attempt, verdict)
                return
            await self._run_when_admitted(attempt)

    async def _run_when_admitted(self, attempt: Attempt) -> None:
        refusal = await self._gate.wait_for_admission(attempt)
        if self._table.get(attempt.key) is not attempt:
            return
        if refusal is not None:
            self._conclude_refused(attempt, describe_admission_refusal(attempt.submit, refusal))
            return
        if attempt.state is AttemptState.QUEUED:
            attempt.start()
        await self._run_until_cancelled(attempt)

    async def _run_until_cancelled(self, attempt: Attempt) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_cancellation, attempt, tasks.cancel_scope)
            self._guard.mark_started(attempt.key)
            error = await self._relay.run(attempt)
            await self._guard.record_result(attempt.key, error)
            tasks.cancel_scope.cancel()
            self._conclude(attempt, error)

    async def _watch_cancellation(self, attempt: Attempt, scope: anyio.CancelScope) -> None:
        await attempt.cancel_requested.wait()
        await self._backend_server.cancel(f"{attempt.key.request_id}.{attempt.key.attempt}")
        attempt.emit_finished(pb.FINISH_STATE_CANCELLED, "withdrawn while it ran")
        scope.cancel()

    def _conclude(self, attempt: Attempt, error: BackendError | None) -> None:
        if error is None:
            self._backend_up = True
            attempt.emit_finished(pb.FINISH_STATE_COMPLETE)
            return
        if error.kind is BackendErrorKind.UNREACHABLE and attempt.head is None:
            self._backend_up = False
            self._refuse(
                attempt, pb.REFUSAL_REASON_BACKEND_DOWN, error.reason, BACKEND_DOWN_RETRY_AFTER_MS
            )
            return
        attempt.emit_finished(_incomplete_state(attempt), error.reason)

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


def _incomplete_state(attempt: Attempt) -> pb.FinishState:
    return pb.FINISH_STATE_BROKEN if attempt.head is not None else pb.FINISH_STATE_UNKNOWN
