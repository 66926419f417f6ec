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
    entry_tokens : int or None
        The part of `outstanding_tokens` that the entry itself has sent; None if not told.
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
    entry_tokens: int | None = None
    estimated_wait_s: float = 0.0
    token_rate: float = 0.0
    backend_up: bool = True
    group_stalled: bool = False
    cached_prefixes: frozenset[str] = frozenset()


class Placement:
    """One request's work on the backend server that it was sent to.

    Parameters
    ----------
    candidate : Candidate
        Where it was sent.
    tokens : int
        Estimated work.
    prompt_tokens : int
        The part of it that is done before the answer begins.
    """

    def __init__(self, candidate: Candidate, tokens: int, prompt_tokens: int) -> None:
        self.candidate = candidate
        self._left = tokens
        candidate._own_prompt_tokens += prompt_tokens
        self._prompt_left = prompt_tokens
        self._ended = False

    def count_answer_part(self) -> None:
        """Count a token of the answer as done, and with the first one the prompt."""
        self.progress(self._prompt_left + 1)
        self._end_prompt()

    def progress(self, tokens: int) -> None:
        """Count `tokens` as done; more than was estimated counts as nothing."""
        done = min(tokens, self._left)
        self._left -= done
        self.candidate._settle(0, done)

    def _end_prompt(self) -> None:
        self.candidate._own_prompt_tokens -= self._prompt_left
        self._prompt_left = 0

    def finish(self) -> None:
        """Count the request as ended; further calls do nothing."""
        if self._ended:
            return
        self._ended = True
        self._end_prompt()
        self.candidate._settle(1, self._left)
        self._left = 0


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
    slots : int
        Requests that the backend server runs at once; 0 when not known.

    Attributes
    ----------
    told_at_s : float or None
        Monotonic time at which the agent beside it last told its load; None without an agent.
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
        self.pace = 1.0
        self.told_at_s: float | None = None
        self.report = LoadReport()
        self._own_requests = 0
        self._own_tokens = 0
        self._own_prompt_tokens = 0
        self._others_tokens = 0
        self._others_requests = 0
        self._reported_at_s = 0.0

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

    def is_available(self, now_s: float) -> bool:
        """Whether new work may be sent."""
        if self.leaving or not self.connected or not self.report.backend_up:
            return False
        return self.breaker.allows(now_s)

    def retry_after_s(self, now_s: float) -> float:
        """Seconds after which the backend server might be available again."""
        return max(UNAVAILABLE_RETRY_AFTER_S, self.breaker.retry_after_s(now_s))

    def begin(self, tokens: int, prompt_tokens: int = 0) -> Placement:
        """Count a request as sent.

        Parameters
        ----------
        tokens : int
            Estimated work.
        prompt_tokens : int
            The part of it that is done before the answer begins.
        """
        self._own_requests += 1
        self._own_tokens += tokens
        return Placement(self, tokens, prompt_tokens)

    def _settle(self, requests: int, tokens: int) -> None:
        self._own_requests -= requests
        self._own_tokens -= tokens

    def observe_requests(self, outstanding: int, now_s: float) -> None:
        """Take in how many requests of all entries the backend server has."""
        self._reported_at_s = now_s
        self._others_requests = max(0, outstanding - self._own_requests)

    def observe(self, report: LoadReport, now_s: float) -> None:
        """Take in an agent's report."""
        self.report = report
        self._reported_at_s = now_s
        own_tokens = self._own_tokens if report.entry_tokens is None else report.entry_tokens
        self._others_tokens = max(0, report.outstanding_tokens - own_tokens)
        self._others_requests = max(0, report.outstanding_requests - self._own_requests)
        if report.group_stalled:
            self.breaker.record_stall(now_s)
            return
        self.breaker.record_progress(now_s)
