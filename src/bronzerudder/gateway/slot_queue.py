"""Holds requests until a backend server has a free slot, or refuses them at once.

This answers the load beyond the slots of a service: bursts, a part of its backend servers gone, and
a group of ranks that forms again.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

import anyio

from bronzerudder.gateway.errors import Refusal, RefusalKind
from bronzerudder.policy.routing import (
    Candidate,
    NoCandidate,
    NoCandidateKind,
    Placement,
    RoutedRequest,
    RoutingPolicy,
    slots_in_use,
)

CHECK_INTERVAL_S = 0.02
"""Slots also become free without an event here, as other gateways' requests end."""
LONGEST_USUAL_ANSWER_S = 4.0
"""Bounds the wait for a slot from above while too few have become free to tell."""
MAX_WAITING = 512
"""Bounds memory: about a request of a few KB each."""
RATE_TIME_CONSTANT_S = 2.0
"""Over which the rate of freed slots is averaged; about the time that an answer takes."""
RETRY_SPREAD = 0.5
"""Callers that are refused together are told times that differ by up to this share."""
MIN_RETRY_AFTER_S = 0.1


class Ticket(NamedTuple):
    """A request that asks for a slot.

    Parameters
    ----------
    request_id : str
        For logs.
    workspace : str
        Whose share it counts against.
    priority : int
        0 is the most urgent.
    on_time_until_s, give_up_at_s : float
        Monotonic times: until when a start lets the answer be on time, and from when the caller no
        longer waits for it.
    routed : RoutedRequest
        What the placing depends on.
    """

    request_id: str
    workspace: str
    priority: int
    on_time_until_s: float
    give_up_at_s: float
    routed: RoutedRequest


class _Waiter:
    def __init__(self, ticket: Ticket, arrived_at_s: float) -> None:
        self.ticket = ticket
        self.arrived_at_s = arrived_at_s
        self.done = anyio.Event()
        self.result: Placement | Refusal | None = None

    def settle(self, result: Placement | Refusal) -> None:
        self.result = result
        self.done.set()


class WaitingRoom:
    """Requests that wait for one service at one gateway.

    The order is: the more urgent first; of these, first those whose answer can still be on time;
    then those of the workspace that has the fewest requests running; then the oldest. So a burst
    makes as few answers late as the slots allow, and a large workspace does not starve a small one.

    Parameters
    ----------
    routing : RoutingPolicy
        Places requests.
    candidates : callable
        Returns the backend servers of the service that take requests now.
    all_candidates : callable
        Returns all backend servers of the service.
    on_placed : callable
        Takes the monotonic time at which a request was given a slot.
    """

    def __init__(
        self,
        routing: RoutingPolicy,
        candidates: Callable[[], Sequence[Candidate]],
        all_candidates: Callable[[], Sequence[Candidate]],
        on_placed: Callable[[float], None] = lambda now_s: None,
    ) -> None:
        self._all_candidates = all_candidates
        self._on_placed = on_placed
        self._routing = routing
        self._candidates = candidates
        self._waiters: list[_Waiter] = []
        self._running: dict[str, int] = {}
        self._free_rate = 0.0
        self._freed_at_s = 0.0

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._waiters)

    @property
    def running(self) -> int:
        """Requests that have a slot."""
        return sum(self._running.values())

    def estimated_wait_s(self, ahead: int) -> float:
        """Estimate the time until a slot is free behind ``ahead`` other requests, in seconds.

        While the backend servers take no requests at all, as a group that forms again, this counts
        only the wait after they do.
        """
        now_s = time.monotonic()
        slots, used = self._count_slots(now_s)
        behind = ahead + 1 - max(0.0, slots - used)
        if behind <= 0 or not slots:
            return 0.0
        return behind / max(self._free_rate, slots / LONGEST_USUAL_ANSWER_S)

    async def acquire(self, ticket: Ticket) -> Placement | Refusal:
        """Wait for a slot; the caller then calls `release`."""
        now_s = time.monotonic()
        if not self._waiters:
            placed = self._place(ticket, now_s)
            if not isinstance(placed, NoCandidate):
                return placed
            refusal = self._refuse_hopeless(ticket, placed, now_s)
            if refusal is not None:
                return refusal
        elif len(self._waiters) >= MAX_WAITING:
            return self._overloaded(now_s, ticket, "the queue is full")
        elif now_s + self.estimated_wait_s(self._ahead_of(ticket, now_s)) > ticket.give_up_at_s:
            return self._overloaded(now_s, ticket, "the wait would exceed the caller's patience")
        return await self._wait(_Waiter(ticket, now_s))

    def _count_slots(self, now_s: float) -> tuple[float, float]:
        """Count all slots, and those in use, of the backend servers that are not leaving."""
        slots = used = 0.0
        for candidate in self._all_candidates():
            if candidate.leaving or not candidate.connected:
                continue
            slots += candidate.slots
            used += min(float(candidate.slots), slots_in_use(candidate, now_s))
        return slots, used

    def release(self, ticket: Ticket, placement: Placement) -> None:
        """Give a slot back."""
        placement.finish()
        left = self._running.get(ticket.workspace, 1) - 1
        if left > 0:
            self._running[ticket.workspace] = left
        else:
            self._running.pop(ticket.workspace, None)
        self._note_freed(time.monotonic())
        self.pump()

    def pump(self) -> None:
        """Give free slots to those who wait, and refuse those who waited in vain."""
        now_s = time.monotonic()
        self._expire(now_s)
        while self._waiters:
            first = min(self._waiters, key=lambda waiter: self._order(waiter, now_s))
            placed = self._place(first.ticket, now_s)
            if isinstance(placed, NoCandidate):
                return
            self._waiters.remove(first)
            first.settle(placed)

    async def run(self) -> None:
        """Look for free slots from time to time while requests wait."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if self._waiters:
                self.pump()

    async def _wait(self, waiter: _Waiter) -> Placement | Refusal:
        self._waiters.append(waiter)
        try:
            await waiter.done.wait()
        except anyio.get_cancelled_exc_class():
            if isinstance(waiter.result, Placement):
                self.release(waiter.ticket, waiter.result)
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        assert waiter.result is not None
        return waiter.result

    def _place(self, ticket: Ticket, now_s: float) -> Placement | NoCandidate:
        picked = self._routing.pick(self._candidates(), ticket.routed, now_s)
        if isinstance(picked, NoCandidate):
            return picked
        self._running[ticket.workspace] = self._running.get(ticket.workspace, 0) + 1
        self._on_placed(now_s)
        routed = ticket.routed
        return picked.begin(routed.estimated_tokens, routed.prompt_tokens)

    def _refuse_hopeless(
        self, ticket: Ticket, missing: NoCandidate, now_s: float
    ) -> Refusal | None:
        """Refuse a request that no backend server can take while its caller waits."""
        if missing.kind is NoCandidateKind.ALL_BUSY:
            if now_s + self.estimated_wait_s(0) > ticket.give_up_at_s:
                return self._overloaded(now_s, ticket, missing.reason)
            return None
        if not self._all_candidates():
            reason = "no backend server of the service is listed"
            return Refusal(RefusalKind.NO_BACKEND_SERVER, reason, missing.retry_after_s)
        if missing.kind is NoCandidateKind.ALL_EXCLUDED:
            return Refusal(RefusalKind.NO_BACKEND_SERVER, missing.reason, missing.retry_after_s)
        if now_s + missing.retry_after_s > ticket.give_up_at_s:
            return Refusal(RefusalKind.NO_BACKEND_SERVER, missing.reason, missing.retry_after_s)
        return None

    def _ahead_of(self, ticket: Ticket, now_s: float) -> int:
        new = self._order(_Waiter(ticket, now_s), now_s)
        return sum(1 for waiter in self._waiters if self._order(waiter, now_s) <= new)

    def _order(self, waiter: _Waiter, now_s: float) -> tuple[int, bool, int, float]:
        ticket = waiter.ticket
        return (
            ticket.priority,
            now_s > ticket.on_time_until_s,
            self._running.get(ticket.workspace, 0),
            waiter.arrived_at_s,
        )

    def _expire(self, now_s: float) -> None:
        for waiter in [item for item in self._waiters if item.ticket.give_up_at_s <= now_s]:
            self._waiters.remove(waiter)
            waiter.settle(self._overloaded(now_s, waiter.ticket, "no slot became free in time"))

    def _overloaded(self, now_s: float, ticket: Ticket, reason: str) -> Refusal:
        wait_s = max(MIN_RETRY_AFTER_S, self.estimated_wait_s(len(self._waiters)))
        spread_s = wait_s * random.uniform(1.0, 1.0 + RETRY_SPREAD)
        return Refusal(RefusalKind.OVERLOADED, f"{reason}; {len(self._waiters)} wait", spread_s)

    def _note_freed(self, now_s: float) -> None:
        """Average the rate at which slots become free."""
        elapsed_s = now_s - self._freed_at_s
        self._freed_at_s = now_s
        weight = min(1.0, elapsed_s / RATE_TIME_CONSTANT_S)
        if elapsed_s > 0:
            self._free_rate += weight * (1.0 / elapsed_s - self._free_rate)
