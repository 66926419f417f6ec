"""An entry's view of one backend server."""

from __future__ import annotations

from typing import NamedTuple

from bronzerudder.policy.routing.breaker import Breaker

UNAVAILABLE_RETRY_AFTER_S = 1.0


class LoadReport(NamedTuple):
    """What an agent has last said about its backend server.

    Parameters
    ----------
    outstanding_requests, outstanding_tokens : int
        Work accepted from all entries and not yet finished.
    estimated_wait_s : float
        Time that a new request would wait, in seconds.
    token_rate : float
        Tokens per second that the backend server has lately processed.
    backend_up : bool
        Whether the backend server answers its agent.
    group_stalled : bool
        Whether the group of ranks has stopped taking steps.
    cached_prefixes : frozenset of str
        Prefixes that the backend server is believed to hold.
    """

    outstanding_requests: int = 0
    outstanding_tokens: int = 0
    estimated_wait_s: float = 0.0
    token_rate: float = 0.0
    backend_up: bool = True
    group_stalled: bool = False
    cached_prefixes: frozenset[str] = frozenset()


class Candidate:
    """A backend server as one entry knows it: own work, last report, and availability.

    Parameters
    ----------
    name : str
        Name of the backend server.
    failure_domain : str
        Where it runs.
    breaker : Breaker
        Shared by all ranks of a group, since none can advance without the others.
    """

    def __init__(self, name: str, failure_domain: str, breaker: Breaker | None = None) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.breaker = breaker or Breaker()
        self.connected = True
        self.leaving = False
        self.report = LoadReport()
        self._own_requests = 0
        self._own_tokens = 0
        self._others_tokens = 0.0
        self._others_requests = 0.0
        self._reported_at_s = 0.0

    @property
    def own_requests(self) -> int:
        """Requests sent by this entry and not yet finished."""
        return self._own_requests

    @property
    def own_tokens(self) -> int:
        """Tokens of the requests sent by this entry and not yet finished."""
        return self._own_tokens

    def is_available(self, now_s: float) -> bool:
        """Whether new work may be sent."""
        if self.leaving or not self.connected or not self.report.backend_up:
            return False
        return self.breaker.allows(now_s)

    def retry_after_s(self, now_s: float) -> float:
        """Seconds after which the backend server might be available again."""
        return max(UNAVAILABLE_RETRY_AFTER_S, self.breaker.retry_after_s(now_s))

    def begin(self, tokens: int) -> None:
        """Count a request of `tokens` as sent."""
        self._own_requests += 1
        self._own_tokens += tokens

    def finish(self, tokens: int) -> None:
        """Count a request as ended; `tokens` is what `begin` was given less any progress."""
        self._own_requests = max(0, self._own_requests - 1)
        self._own_tokens = max(0, self._own_tokens - tokens)

    def progress(self, tokens: int) -> None:
        """Count `tokens` of a running request as done."""
        self._own_tokens = max(0, self._own_tokens - tokens)

    def observe(self, report: LoadReport, now_s: float) -> None:
        """Take in an agent's report."""
        self.report = report
        self._reported_at_s = now_s
        self._others_tokens = float(max(0, report.outstanding_tokens - self._own_tokens))
        self._others_requests = float(max(0, report.outstanding_requests - self._own_requests))
        if report.group_stalled:
            self.breaker.record_stall(now_s)
            return
        self.breaker.record_progress(now_s)
