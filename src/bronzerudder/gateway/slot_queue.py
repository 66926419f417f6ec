"""Queues requests until a backend server has a free slot, or refuses them immediately.

It handles load beyond the slots of a service, or beyond the rates that its backend servers accept:
bursts, the loss of some backend servers, servers that limit their rate, and a group of ranks that
re-forms.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

import anyio

from bronzerudder.gateway.errors import Refusal, RefusalKind
from bronzerudder.gateway.permit_source import PermitSource
from bronzerudder.policy.routing import (
    Assignment,
    Candidate,
    NoCandidate,
    NoCandidateKind,
    RoutedRequest,
    RoutingPolicy,
    SendGate,
    has_free_slot,
    slots_in_use,
)

CHECK_INTERVAL_S = 0.02
"""Slots also become free without an event in this process, as other gateways' requests end."""
MAX_TYPICAL_ANSWER_S = 4.0
"""Bounds the estimated wait from above while too few slots were freed to measure the rate."""
MAX_WAITING = 512
"""Bounds memory: each waiting request takes a few KB."""
RATE_TIME_CONSTANT_S = 2.0
"""Time constant for averaging the rate of freed slots; about the time that an answer takes."""
RETRY_JITTER_FRACTION = 0.5
"""Retry-after is lengthened by a random fraction up to this, so that callers that are refused
together do not retry together."""
MIN_RETRY_AFTER_S = 0.1
LOADED_FRACTION = 0.5
"""Part of the slots in use above which backend servers that limit their rate take their share."""
MAX_PERMIT_WAIT_S = 0.02
"""Time that a request waits for a permit while other backend servers have room."""


class SlotRequest(NamedTuple):
    """A request that needs a slot.

    Parameters
    ----------
    request_id : str
        For logs.
    workspace : str
        Workspace whose share it counts against.
    priority : int
        0 is the most urgent.
    latest_on_time_start_s, refuse_at_s : float
        Monotonic times: latest start for an answer that is on time, and the time after which the
        request is refused, as its caller would time out.
    routed : RoutedRequest
        Input of the routing policy.
    find_refusal : callable
        Returns why the request must not run; called while it waits.
    """

    request_id: str
    workspace: str
    priority: int
    latest_on_time_start_s: float
    refuse_at_s: float
    routed: RoutedRequest
    find_refusal: Callable[[], Refusal | None] = lambda: None


class _Waiter:
    def __init__(self, request: SlotRequest, arrived_at_s: float) -> None:
        self.request = request
        self.arrived_at_s = arrived_at_s
        self.done = anyio.Event()
        self.result: Assignment | Refusal | None = None

    def resolve(self, result: Assignment | Refusal) -> None:
        self.result = result
        self.done.set()


class SlotQueue:
    """Requests of one gateway that wait for a slot of one service.

    Requests are ordered by priority, then those whose answer can still be on time first, then by
    the number of requests that their workspace has running, then by arrival. So a burst makes as
    few answers late as the slots allow, and a large workspace does not starve a small one.

    Parameters
    ----------
    routing : RoutingPolicy
        Picks a backend server for each request.
    candidates : callable
        Returns the backend servers of the service that accept requests now.
    all_candidates : callable
        Returns all backend servers of the service.
    on_assigned : callable
        Called with the backend server at which a request was given a slot, and the monotonic time.
    permits : PermitSource or None
        Permits for backend servers that limit their rate; None if none does.
    """

    def __init__(
        self,
        routing: RoutingPolicy,
        candidates: Callable[[], Sequence[Candidate]],
        all_candidates: Callable[[], Sequence[Candidate]],
        on_assigned: Callable[[Candidate, float], None] = lambda candidate, now_s: None,
        permits: PermitSource | None = None,
    ) -> None:
        self._permits = permits
        self._all_candidates = all_candidates
        self._on_assigned = on_assigned
        self._routing = routing
        self._candidates = candidates
        self._waiters: list[_Waiter] = []
        self._running: dict[str, int] = {}
        self._permit_answered = anyio.Event()
        self._free_rate = 0.0
        self._last_freed_at_s = 0.0

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return len(self._waiters)

    @property
    def running(self) -> int:
        """Number of requests that have a slot."""
        return sum(self._running.values())

    def estimated_wait_s(self, ahead: int) -> float:
        """Estimate the time until a slot is free behind ``ahead`` other requests, in seconds.

        While the backend servers accept no requests at all, as when a group re-forms, the estimate
        starts from the time at which they accept them again. Backend servers that limit their rate
        count by their permits, the others by their slots.
        """
        now_s = time.monotonic()
        slots, used = self._count_slots(now_s)
        if not slots:
            pauses_s = self._find_pauses_s(now_s)
            if pauses_s:
                return min(pauses_s)
        wait_s = self._estimate_slot_wait_s(ahead, slots, used)
        gates = self._find_limited_gates(now_s, RoutedRequest())
        if not gates or self._permits is None:
            return wait_s
        permit_wait_s = self._permits.estimate_wait_s(gates, ahead)
        return min(wait_s, permit_wait_s) if slots else permit_wait_s

    def _estimate_slot_wait_s(self, ahead: int, slots: float, used: float) -> float:
        slots_needed = ahead + 1 - max(0.0, slots - used)
        if slots_needed <= 0 or not slots:
            return 0.0
        return slots_needed / max(self._free_rate, slots / MAX_TYPICAL_ANSWER_S)

    async def acquire(self, request: SlotRequest) -> Assignment | Refusal:
        """Wait for a slot, which must then be given back by `release`."""
        if self._permits is not None and self._permits.has_limits:
            await self._obtain_permit(request, self._permits)
        now_s = time.monotonic()
        if not self._waiters:
            assigned = self._assign(request, now_s)
            if not isinstance(assigned, NoCandidate):
                return assigned
            refusal = self._refuse_if_unservable(request, assigned, now_s)
            if refusal is not None:
                return refusal
        elif len(self._waiters) >= MAX_WAITING:
            return self._overload_refusal(now_s, request, "the queue is full")
        elif now_s + self.estimated_wait_s(self._count_ahead(request, now_s)) > (
            self._latest_start_s(request, now_s)
        ):
            reason = "the wait would exceed the caller's timeout"
            if self._is_rate_bound(now_s):
                reason = "no permit is left in time"
            return self._overload_refusal(now_s, request, reason)
        return await self._wait(_Waiter(request, now_s))

    def _count_slots(self, now_s: float) -> tuple[float, float]:
        """Count all slots, and those in use, of the backend servers that are not leaving.

        Those that limit their rate are left out, as a free slot there may not be used. So are those
        that accept no requests at present, as when their group re-forms, if others do.
        """
        slots = used = 0.0
        for candidate in self._candidates() or self._all_candidates():
            if not candidate.wants_requests(now_s) or candidate.gate.is_limited:
                continue
            slots += candidate.usable_slots
            used += min(candidate.usable_slots, slots_in_use(candidate, now_s))
        return slots, used

    def release(self, request: SlotRequest, assignment: Assignment) -> None:
        """Give a slot back."""
        assignment.finish()
        remaining = self._running.get(request.workspace, 1) - 1
        if remaining > 0:
            self._running[request.workspace] = remaining
        else:
            self._running.pop(request.workspace, None)
        self._update_free_rate(time.monotonic())
        self.assign_slots()

    def assign_slots(self) -> None:
        """Give free slots to waiting requests, and refuse those that need no longer wait."""
        now_s = time.monotonic()
        self._expire(now_s)
        has_asked = False
        while self._waiters:
            first = min(self._waiters, key=lambda waiter: self._sort_key(waiter, now_s))
            assigned = self._assign(first.request, now_s)
            if not isinstance(assigned, NoCandidate):
                self._waiters.remove(first)
                first.resolve(assigned)
                continue
            if has_asked or not self._request_permits(first.request, now_s):
                break
            # A permit that this gateway issues itself is valid immediately.
            has_asked = True
        if has_asked:
            self._refuse_beyond_limits(now_s)

    def _find_limited_gates(self, now_s: float, routed: RoutedRequest) -> list[SendGate]:
        """Return the gates of the usable backend servers that limit their rate."""
        if self._permits is None or not self._permits.has_limits:
            return []
        gates = []
        for candidate in self._candidates():
            if not candidate.gate.is_limited or candidate.name in routed.excluded:
                continue
            if candidate.is_available(now_s) and has_free_slot(candidate, now_s):
                gates.append(candidate.gate)
        return gates

    def _request_permits(self, request: SlotRequest, now_s: float) -> bool:
        """Ask for permits for all waiting requests; return whether a backend server needs them."""
        gates = self._find_limited_gates(now_s, request.routed)
        if not gates or self._permits is None:
            return False
        self._permits.request_permits(gates, len(self._waiters))
        return True

    async def _obtain_permit(self, request: SlotRequest, permits: PermitSource) -> None:
        """Obtain a permit for a backend server that limits its rate, though others have room.

        While the others are little used, permits are left to requests that can go nowhere else, but
        for a few that find out whether the limit still holds.
        """
        now_s = time.monotonic()
        slots, used = self._count_slots(now_s)
        if not slots or self._waiters:
            # Waiting requests ask for permits themselves.
            return
        gates = self._find_limited_gates(now_s, request.routed)
        gate = permits.request_available(gates, only_unheard=used < slots * LOADED_FRACTION)
        if gate is None or gate.admits(now_s):
            return
        with anyio.move_on_after(MAX_PERMIT_WAIT_S):
            await self._permit_answered.wait()

    def _latest_start_s(self, request: SlotRequest, now_s: float) -> float:
        """Return the latest start for which a request may join those that wait."""
        if self._is_rate_bound(now_s):
            # Once late, it would be overtaken by later ones until its caller times out.
            return request.latest_on_time_start_s
        return request.refuse_at_s

    def _is_rate_bound(self, now_s: float) -> bool:
        """Whether all usable backend servers limit their rate."""
        if self._permits is None or not self._permits.has_limits:
            return False
        return not self._count_slots(now_s)[0] and bool(
            self._find_limited_gates(now_s, RoutedRequest())
        )

    def _refuse_beyond_limits(self, now_s: float) -> None:
        """Refuse the requests that cannot get a permit in time, if there is no other way."""
        if not self._is_rate_bound(now_s):
            return
        ordered = sorted(self._waiters, key=lambda waiter: self._sort_key(waiter, now_s))
        ahead = 0
        for waiter in ordered:
            if now_s + self.estimated_wait_s(ahead) <= waiter.request.refuse_at_s:
                ahead += 1
                continue
            self._waiters.remove(waiter)
            reason = "no permit is left in time"
            waiter.resolve(self._overload_refusal(now_s, waiter.request, reason))

    def on_permit(self) -> None:
        """Handle the answer to a request for a permit, or the end of a limit."""
        self._permit_answered.set()
        self._permit_answered = anyio.Event()
        self.assign_slots()

    async def run(self) -> None:
        """Check periodically for free slots while requests wait."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if self._waiters:
                self.assign_slots()

    async def _wait(self, waiter: _Waiter) -> Assignment | Refusal:
        self._waiters.append(waiter)
        try:
            if self._permits is not None and self._permits.has_limits:
                self.assign_slots()
            await waiter.done.wait()
        except anyio.get_cancelled_exc_class():
            if isinstance(waiter.result, Assignment):
                self.release(waiter.request, waiter.result)
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        assert waiter.result is not None
        return waiter.result

    def _assign(self, request: SlotRequest, now_s: float) -> Assignment | NoCandidate:
        picked = self._routing.pick(self._candidates(), request.routed, now_s)
        if isinstance(picked, NoCandidate):
            return picked
        self._running[request.workspace] = self._running.get(request.workspace, 0) + 1
        self._on_assigned(picked, now_s)
        picked.gate.record_sent(now_s)
        routed = request.routed
        return picked.begin(routed.estimated_tokens, routed.prompt_tokens)

    def _refuse_if_unservable(
        self, request: SlotRequest, no_candidate: NoCandidate, now_s: float
    ) -> Refusal | None:
        """Return a refusal if no backend server can take the request before it must be given up."""
        if no_candidate.kind in (NoCandidateKind.ALL_BUSY, NoCandidateKind.ALL_LIMITED):
            if now_s + self.estimated_wait_s(0) > request.refuse_at_s:
                return self._overload_refusal(now_s, request, no_candidate.reason)
            return None
        if not self._all_candidates():
            reason = "no backend server of the service is listed"
            return Refusal(RefusalKind.NO_BACKEND_SERVER, reason, no_candidate.retry_after_s)
        if no_candidate.kind is NoCandidateKind.ALL_EXCLUDED:
            return Refusal(
                RefusalKind.NO_BACKEND_SERVER, no_candidate.reason, no_candidate.retry_after_s
            )
        if now_s + no_candidate.retry_after_s > request.refuse_at_s:
            reason = self._describe_unavailable(now_s) or no_candidate.reason
            return Refusal(RefusalKind.NO_BACKEND_SERVER, reason, no_candidate.retry_after_s)
        return None

    def _count_ahead(self, request: SlotRequest, now_s: float) -> int:
        own_key = self._sort_key(_Waiter(request, now_s), now_s)
        return sum(1 for waiter in self._waiters if self._sort_key(waiter, now_s) <= own_key)

    def _sort_key(self, waiter: _Waiter, now_s: float) -> tuple[int, bool, int, float]:
        request = waiter.request
        return (
            request.priority,
            now_s > request.latest_on_time_start_s,
            self._running.get(request.workspace, 0),
            waiter.arrived_at_s,
        )

    def _expire(self, now_s: float) -> None:
        for waiter in list(self._waiters):
            refusal = waiter.request.find_refusal()
            if refusal is not None:
                self._waiters.remove(waiter)
                waiter.resolve(refusal)
        for waiter in [item for item in self._waiters if item.request.refuse_at_s <= now_s]:
            self._waiters.remove(waiter)
            reason = self._describe_unavailable(now_s) or "no slot became free in time"
            waiter.resolve(self._overload_refusal(now_s, waiter.request, reason))

    def _describe_unavailable(self, now_s: float) -> str:
        """Return why no backend server wants requests, or an empty string if some do."""
        candidates = self._all_candidates()
        if not candidates or any(candidate.wants_requests(now_s) for candidate in candidates):
            return ""
        if all(candidate.leaving for candidate in candidates):
            return f"all {len(candidates)} backend servers are leaving"
        pauses = len(self._find_pauses_s(now_s))
        return f"{pauses} of {len(candidates)} backend servers ask for a pause" if pauses else ""

    def _find_pauses_s(self, now_s: float) -> list[float]:
        """Return the remaining pauses of the backend servers that ask for one, in seconds."""
        pauses_s = []
        for candidate in self._all_candidates():
            if candidate.leaving or not candidate.connected or candidate.wants_requests(now_s):
                continue
            pauses_s.append(candidate.paused_until_s - now_s)
        return pauses_s

    def is_paused_too_long(self, request: SlotRequest) -> bool:
        """Whether all backend servers left for a request ask for pauses that it cannot wait for."""
        pauses_until_s = []
        for candidate in self._all_candidates():
            if candidate.leaving or not candidate.connected:
                continue
            if candidate.name not in request.routed.excluded:
                pauses_until_s.append(candidate.paused_until_s)
        return bool(pauses_until_s) and min(pauses_until_s) > request.refuse_at_s

    def _overload_refusal(self, now_s: float, request: SlotRequest, reason: str) -> Refusal:
        wait_s = max(MIN_RETRY_AFTER_S, self.estimated_wait_s(len(self._waiters)))
        jittered_wait_s = wait_s * random.uniform(1.0, 1.0 + RETRY_JITTER_FRACTION)
        reason = f"{reason}; {len(self._waiters)} requests waiting"
        gates = self._find_limited_gates(now_s, request.routed)
        if not gates or self._permits is None:
            return Refusal(RefusalKind.OVERLOADED, reason, jittered_wait_s)
        reason = f"{reason}; {self._permits.describe_limits(gates)}"
        return Refusal(RefusalKind.RATE_LIMITED, reason, jittered_wait_s)

    def _update_free_rate(self, now_s: float) -> None:
        """Update the moving average of the rate at which slots become free."""
        elapsed_s = now_s - self._last_freed_at_s
        self._last_freed_at_s = now_s
        weight = min(1.0, elapsed_s / RATE_TIME_CONSTANT_S)
        if elapsed_s > 0:
            self._free_rate += weight * (1.0 / elapsed_s - self._free_rate)
