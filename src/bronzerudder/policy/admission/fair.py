"""Bounded fair queue over workspaces that refuses requests which can't meet their deadlines."""

from __future__ import annotations

from typing import NamedTuple

from bronzerudder.policy.admission.api import (
    AdmissionRefusal,
    AdmissionRequest,
    Queued,
)
from bronzerudder.policy.admission.backlog import Backlog
from bronzerudder.policy.admission.base_queue import BaseQueue
from bronzerudder.policy.admission.refusals import refuse_full, refuse_late, refuse_long_wait
from bronzerudder.policy.admission.running import STALL_THRESHOLD_S, RunningSet

DEFAULT_QUEUE_LENGTH = 256
DEFAULT_MAX_WAIT_S = 0.3


class FairQueueLimits(NamedTuple):
    """Limits of the queue; each can be disabled to measure its effect.

    Parameters
    ----------
    max_queued : int
        Maximum number of queued requests.
    max_wait_s : float
        Estimated wait in seconds above which a request is refused. A longer queue does not raise
        throughput; it only lengthens each wait and the recovery after an overload.
    checks_deadlines : bool
        Whether requests that can't meet their deadlines are refused.
    shares_fairly : bool
        Whether capacity is shared among workspaces; otherwise all count as one workspace.
    stall_threshold_s : float
        Time without progress of any response, in seconds, that counts as a stall; infinite for
        backend servers that may pause.
    """

    max_queued: int = DEFAULT_QUEUE_LENGTH
    max_wait_s: float = DEFAULT_MAX_WAIT_S
    checks_deadlines: bool = True
    shares_fairly: bool = True
    stall_threshold_s: float = STALL_THRESHOLD_S


DEFAULT_LIMITS = FairQueueLimits()


class FairQueue(BaseQueue):
    """Starts requests by start-time fair queueing over workspaces, in tokens divided by weight.

    Each workspace's next request has a start tag in virtual time; the lowest tag starts first. A
    workspace that was idle resumes at the current virtual time, or at the end of its previous work
    if that is later, so idle time earns no credit and clears no excess use. Estimated tokens that a
    request did not use are refunded when it ends.

    Parameters
    ----------
    concurrency : int
        Requests that may run on the backend server at a time.
    limits : FairQueueLimits
        Limits of the queue.
    """

    def __init__(self, concurrency: int, limits: FairQueueLimits = DEFAULT_LIMITS) -> None:
        super().__init__(RunningSet(concurrency, stall_threshold_s=limits.stall_threshold_s))
        self._limits = limits
        self._backlogs: dict[str, Backlog] = {}
        self._offered_at_s: dict[str, float] = {}
        self._started: dict[str, AdmissionRequest] = {}
        self._virtual_time = 0.0
        self._finish_tags: dict[str, float] = {}
        self._late_refusals: list[AdmissionRefusal] = []

    def estimated_wait_s(self, now_s: float) -> float:
        """Estimate the wait in seconds of a request of a workspace with no queued requests."""
        return self._estimate_wait_s(AdmissionRequest("", "", 0, 0.0), now_s)

    def offer(self, request: AdmissionRequest, now_s: float) -> Queued | AdmissionRefusal:
        """Enqueue a request or refuse it immediately."""
        wait_s = self._estimate_wait_s(request, now_s)
        late_s = self._estimate_lateness_s(request, wait_s, wait_s > 0, now_s)
        if self._limits.checks_deadlines and late_s > 0:
            return refuse_late(request, late_s)
        if wait_s > self._limits.max_wait_s:
            return refuse_long_wait(request, wait_s, self._limits.max_wait_s)
        evicted: tuple[AdmissionRefusal, ...] = ()
        if len(self._queued) >= self._limits.max_queued and not self._can_start_immediately():
            victim = self._find_victim(request)
            refusal = refuse_full(victim, self._estimate_wait_s(victim, now_s))
            if victim is request:
                return refusal
            self._remove(victim)
            evicted = (refusal,)
        self._enqueue(request, now_s)
        return Queued(wait_s, evicted)

    def next(self, now_s: float) -> AdmissionRequest | None:
        """Start the next queued request if a slot is free."""
        while self._queued and self._running.has_room:
            name = min(self._backlogs, key=self._start_tag)
            backlog = self._backlogs[name]
            request = backlog.pop_first()
            offered_at_s = self._untrack(request)
            late_s = self._estimate_lateness_s(request, 0.0, now_s > offered_at_s, now_s)
            if self._limits.checks_deadlines and late_s > 0:
                self._late_refusals.append(refuse_late(request, late_s))
                self._drop_if_empty(name)
                continue
            self._virtual_time = max(self._virtual_time, backlog.start_tag)
            backlog.start_tag += request.tokens / backlog.weight
            self._drop_if_empty(name)
            self._running.start(request, now_s)
            self._started[request.request_id] = request
            return request
        return None

    def expire(self, now_s: float) -> tuple[AdmissionRefusal, ...]:
        """Refuse queued requests that can no longer meet their deadlines."""
        refused, self._late_refusals = self._late_refusals, []
        if not self._limits.checks_deadlines:
            return tuple(refused)
        for request in list(self._queued.values()):
            has_waited = now_s > self._offered_at_s[request.request_id]
            late_s = self._estimate_lateness_s(request, 0.0, has_waited, now_s)
            if late_s <= 0:
                continue
            self._remove(request)
            refused.append(refuse_late(request, late_s))
        return tuple(refused)

    def finished(self, request_id: str, now_s: float) -> None:
        """Count a running request as ended and refund the tokens that it did not use."""
        unused = self._running.finish(request_id, now_s)
        request = self._started.pop(request_id, None)
        if request is None or unused == 0:
            return
        name = self._queue_name(request)
        refund = unused / max(1, request.weight)
        backlog = self._backlogs.get(name)
        if backlog is not None:
            backlog.start_tag -= refund
        elif name in self._finish_tags:
            self._finish_tags[name] -= refund

    def cancel(self, request_id: str, now_s: float) -> bool:
        """Remove a request that has not started; return whether it was queued."""
        request = self._queued.get(request_id)
        if request is None:
            return False
        self._remove(request)
        return True

    def _queue_name(self, request: AdmissionRequest) -> str:
        return request.workspace if self._limits.shares_fairly else ""

    def _start_tag(self, name: str) -> float:
        return self._backlogs[name].start_tag

    def _can_start_immediately(self) -> bool:
        return not self._queued and self._running.has_room

    def _estimate_lateness_s(
        self, request: AdmissionRequest, wait_s: float, is_queued: bool, now_s: float
    ) -> float:
        # The service time is a rough estimate: it must not make an idle backend server refuse work.
        service_time_s = self._running.service_time_s(request.tokens) if is_queued else 0.0
        return now_s + wait_s + service_time_s - request.deadline_s

    def _estimate_wait_s(self, request: AdmissionRequest, now_s: float) -> float:
        name = self._queue_name(request)
        own = self._backlogs.get(name)
        own_ahead = own.tokens_ahead(request.priority) if own is not None else 0
        start_tag = own.start_tag if own is not None else self._find_start_tag(name)
        start_tag += own_ahead / max(1, request.weight)
        ahead = float(own_ahead)
        for other_name, other in self._backlogs.items():
            if other_name == name:
                continue
            due = max(0.0, start_tag - other.start_tag) * other.weight
            ahead += due
        return self._running.wait_s(ahead, bool(self._queued), now_s)

    def _find_start_tag(self, name: str) -> float:
        return max(self._virtual_time, self._finish_tags.get(name, 0.0))

    def _enqueue(self, request: AdmissionRequest, now_s: float) -> None:
        name = self._queue_name(request)
        backlog = self._backlogs.get(name)
        if backlog is None:
            backlog = self._backlogs[name] = Backlog(self._find_start_tag(name))
        backlog.push(request)
        self._queued[request.request_id] = request
        self._offered_at_s[request.request_id] = now_s
        self._queued_tokens += request.tokens

    def _remove(self, request: AdmissionRequest) -> None:
        name = self._queue_name(request)
        self._backlogs[name].remove(request)
        self._untrack(request)
        self._drop_if_empty(name)

    def _untrack(self, request: AdmissionRequest) -> float:
        del self._queued[request.request_id]
        self._queued_tokens -= request.tokens
        return self._offered_at_s.pop(request.request_id)

    def _drop_if_empty(self, name: str) -> None:
        if not self._backlogs[name].is_empty:
            return
        self._finish_tags[name] = self._backlogs.pop(name).start_tag
        if len(self._finish_tags) <= 2 * self._limits.max_queued:
            return
        self._finish_tags = {
            known: tag for known, tag in self._finish_tags.items() if tag > self._virtual_time
        }

    def _find_victim(self, request: AdmissionRequest) -> AdmissionRequest:
        name = self._queue_name(request)
        own = self._backlogs.get(name)
        own_tokens = own.tokens if own is not None else 0
        most_weighted = (own_tokens + request.tokens) / max(1, request.weight)
        heaviest = own
        for other_name, other in self._backlogs.items():
            if other_name != name and other.weighted_tokens > most_weighted:
                heaviest, most_weighted = other, other.weighted_tokens
        if heaviest is None:
            return request
        eviction_candidate = heaviest.eviction_candidate()
        if heaviest is own and eviction_candidate.priority >= request.priority:
            return request
        return eviction_candidate
