"""State of one backend server as known to one entry or gateway."""

from __future__ import annotations

from typing import NamedTuple

from bronzerudder.policy.routing.breaker import Breaker
from bronzerudder.policy.routing.send_gate import OPEN_GATE, SendGate

UNAVAILABLE_RETRY_AFTER_S = 1.0


class LoadReport(NamedTuple):
    """An agent's last report on its backend server.

    Parameters
    ----------
    outstanding_requests, outstanding_tokens : int
        Work accepted from all entries and not yet finished.
    entry_tokens : int or None
        Part of `outstanding_tokens` that the entry itself has sent; None if not reported.
    estimated_wait_s : float
        Time that a new request would wait, in seconds.
    token_rate : float
        Tokens per second that the backend server has processed recently.
    backend_up : bool
        Whether the backend server responds to its agent.
    group_stalled : bool
        Whether the group of ranks has stopped taking steps.
    cached_prefixes : frozenset of str
        Prefixes that the backend server's cache probably holds.
    """

    outstanding_requests: int = 0
    outstanding_tokens: int = 0
    entry_tokens: int | None = None
    estimated_wait_s: float = 0.0
    token_rate: float = 0.0
    backend_up: bool = True
    group_stalled: bool = False
    cached_prefixes: frozenset[str] = frozenset()


class Assignment:
    """The outstanding work of one request at the backend server that it was sent to.

    Parameters
    ----------
    candidate : Candidate
        Backend server that it was sent to.
    tokens : int
        Estimated work.
    prompt_tokens : int
        Part of the work that is done before the answer begins.
    """

    def __init__(self, candidate: Candidate, tokens: int, prompt_tokens: int) -> None:
        self.candidate = candidate
        self._remaining = tokens
        candidate._own_prompt_tokens += prompt_tokens
        self._remaining_prompt = prompt_tokens
        self._finished = False

    def count_answer_token(self) -> None:
        """Count a token of the answer as done; the first one also completes the prompt."""
        self.progress(self._remaining_prompt + 1)
        self._complete_prompt()

    def progress(self, tokens: int) -> None:
        """Count `tokens` as done; tokens beyond the estimate are ignored."""
        done = min(tokens, self._remaining)
        self._remaining -= done
        self.candidate._subtract(0, done)

    def _complete_prompt(self) -> None:
        self.candidate._own_prompt_tokens -= self._remaining_prompt
        self._remaining_prompt = 0

    def finish(self) -> None:
        """Count the request as ended; further calls have no effect."""
        if self._finished:
            return
        self._finished = True
        self._complete_prompt()
        self.candidate._subtract(1, self._remaining)
        self._remaining = 0


class Candidate:
    """A backend server as known to one entry: own requests, last report, and availability.

    Gateways use it in the same way; below, entry stands for either.

    Parameters
    ----------
    name : str
        Name of the backend server.
    failure_domain : str
        Failure domain that it runs in.
    breaker : Breaker
        Entries share one among all ranks of a group, since none can advance without the others;
        gateways use one for each backend server.
    slots : int
        Requests that the backend server runs concurrently; 0 when not known.

    Attributes
    ----------
    slowdown : float
        Ratio of the time that its work takes to the usual time; above 1 is slower.
    agent_seen_at_s : float or None
        Monotonic time of the last load report from its agent; None without an agent.
    gate : SendGate
        Limits the rate of requests.
    slot_share : float
        Share of the slots that may be used, in (0, 1].
    paused_until_s : float
        Monotonic time until which the backend server wants no requests.
    """

    def __init__(
        self, name: str, failure_domain: str, breaker: Breaker | None = None, slots: int = 0
    ) -> None:
        self.name = name
        self.slots = slots
        self.failure_domain = failure_domain
        self.breaker = breaker or Breaker()
        self.connected = True
        self.leaving = False
        self.slowdown = 1.0
        self.agent_seen_at_s: float | None = None
        self.gate: SendGate = OPEN_GATE
        self.paused_until_s = 0.0
        self.slot_share = 1.0
        self.report = LoadReport()
        self._own_requests = 0
        self._own_tokens = 0
        self._own_prompt_tokens = 0
        self._others_tokens = 0
        self._others_requests = 0
        self._reported_at_s = 0.0

    @property
    def usable_slots(self) -> float:
        """Slots that may be used at present; 0 when their number is not known."""
        return max(min(1.0, self.slots), self.slots * self.slot_share)

    @property
    def own_requests(self) -> int:
        """Requests sent by this entry and not yet finished."""
        return self._own_requests

    @property
    def own_tokens(self) -> int:
        """Tokens of the requests sent by this entry and not yet finished."""
        return self._own_tokens

    @property
    def own_prompt_tokens(self) -> int:
        """Prompt tokens of the requests sent by this entry whose answer has not begun."""
        return self._own_prompt_tokens

    @property
    def others_tokens(self) -> int:
        """Tokens of the requests of other entries, when last reported."""
        return self._others_tokens

    @property
    def others_requests(self) -> int:
        """Requests of other entries, when last reported."""
        return self._others_requests

    @property
    def reported_at_s(self) -> float:
        """Monotonic time of the last report, in seconds."""
        return self._reported_at_s

    def wants_requests(self, now_s: float) -> bool:
        """Whether the backend server is listed, stays, and has not asked for a pause."""
        return self.connected and not self.leaving and now_s >= self.paused_until_s

    def is_available(self, now_s: float) -> bool:
        """Whether new work may be sent."""
        if not self.wants_requests(now_s) or not self.report.backend_up:
            return False
        return self.breaker.allows(now_s)

    def retry_after_s(self, now_s: float) -> float:
        """Seconds after which the backend server might be available again."""
        pause_s = self.paused_until_s - now_s
        if pause_s > 0.0 and not self.leaving and self.connected:
            return max(pause_s, self.breaker.retry_after_s(now_s))
        return max(UNAVAILABLE_RETRY_AFTER_S, self.breaker.retry_after_s(now_s))

    def begin(self, tokens: int, prompt_tokens: int = 0) -> Assignment:
        """Count a request as sent.

        Parameters
        ----------
        tokens : int
            Estimated work.
        prompt_tokens : int
            Part of the work that is done before the answer begins.
        """
        self._own_requests += 1
        self._own_tokens += tokens
        return Assignment(self, tokens, prompt_tokens)

    def _subtract(self, requests: int, tokens: int) -> None:
        self._own_requests -= requests
        self._own_tokens -= tokens

    def observe_requests(self, outstanding: int, now_s: float) -> None:
        """Record how many requests of all entries the backend server has."""
        self._reported_at_s = now_s
        self._others_requests = max(0, outstanding - self._own_requests)

    def observe(self, report: LoadReport, now_s: float) -> None:
        """Record an agent's report."""
        self.report = report
        self._reported_at_s = now_s
        own_tokens = self._own_tokens if report.entry_tokens is None else report.entry_tokens
        self._others_tokens = max(0, report.outstanding_tokens - own_tokens)
        self._others_requests = max(0, report.outstanding_requests - self._own_requests)
        if report.group_stalled:
            self.breaker.record_stall(now_s)
            return
        self.breaker.record_progress(now_s)
