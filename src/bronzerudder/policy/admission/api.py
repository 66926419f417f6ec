"""Interface of an agent's admission queue."""

from __future__ import annotations

import abc
import enum
from typing import NamedTuple


class AdmissionRequest(NamedTuple):
    """A request offered to the admission queue of a backend server.

    Parameters
    ----------
    request_id : str
        Unique among the requests in the queue; includes the attempt number.
    workspace : str
        Workspace whose share the request counts against.
    tokens : int
        Estimated work, in tokens.
    deadline_s : float
        Monotonic time by which the answer must be complete, in seconds.
    priority : int
        Requests of higher priority start first within their workspace.
    weight : int
        Weight of the workspace relative to other workspaces.
    """

    request_id: str
    workspace: str
    tokens: int
    deadline_s: float
    priority: int = 0
    weight: int = 1


class AdmissionRefusalKind(enum.Enum):
    """Why a request was refused."""

    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"
    SHARE_EXCEEDED = "share-exceeded"


class AdmissionRefusal(NamedTuple):
    """A refused request, which has not run and will not run.

    Parameters
    ----------
    request_id : str
        The refused request.
    kind : AdmissionRefusalKind
        Machine-readable cause.
    reason : str
        Human-readable cause.
    retry_after_s : float
        Delay in seconds after which a retry is likely to be admitted.
    """

    request_id: str
    kind: AdmissionRefusalKind
    reason: str
    retry_after_s: float


class Queued(NamedTuple):
    """The request is queued until `AdmissionQueue.next` returns it.

    Parameters
    ----------
    estimated_wait_s : float
        Expected time until it starts, in seconds.
    evicted : tuple of AdmissionRefusal
        Queued requests that were refused to make room.
    """

    estimated_wait_s: float
    evicted: tuple[AdmissionRefusal, ...] = ()


class AdmissionQueue(abc.ABC):
    """Orders the requests of one backend server and refuses those that can't be served in time.

    The agent calls `offer` for each request. After every offer and every end of a request it calls
    `next` until that returns None. It calls `expire` at least every `EXPIRY_INTERVAL_S`.
    """

    @property
    @abc.abstractmethod
    def queued_requests(self) -> int:
        """Requests queued and not started."""

    @property
    @abc.abstractmethod
    def running_requests(self) -> int:
        """Requests started and not finished."""

    @property
    @abc.abstractmethod
    def outstanding_tokens(self) -> int:
        """Estimated tokens left to process of all queued and running requests."""

    @property
    @abc.abstractmethod
    def token_rate(self) -> float:
        """Recent throughput of the backend server, in tokens per second."""

    @abc.abstractmethod
    def estimated_wait_s(self, now_s: float) -> float:
        """Estimate the wait in seconds of a request offered now."""

    @abc.abstractmethod
    def is_stalled(self, now_s: float) -> bool:
        """Whether responses are in progress but none has advanced for the stall threshold."""

    @abc.abstractmethod
    def offer(self, request: AdmissionRequest, now_s: float) -> Queued | AdmissionRefusal:
        """Enqueue a request or refuse it immediately."""

    @abc.abstractmethod
    def next(self, now_s: float) -> AdmissionRequest | None:
        """Start the next queued request if the backend server has a free slot."""

    @abc.abstractmethod
    def expire(self, now_s: float) -> tuple[AdmissionRefusal, ...]:
        """Refuse queued requests that can no longer meet their deadlines."""

    @abc.abstractmethod
    def progressed(self, request_id: str, tokens: int, now_s: float) -> None:
        """Count `tokens` of a running request as processed."""

    @abc.abstractmethod
    def paused(self, request_id: str) -> None:
        """Record that a running request is blocked by its reader until it next progresses."""

    @abc.abstractmethod
    def finished(self, request_id: str, now_s: float) -> None:
        """Count a running request as ended."""

    @abc.abstractmethod
    def cancel(self, request_id: str, now_s: float) -> bool:
        """Remove a request that has not started; return whether it was queued."""


EXPIRY_INTERVAL_S = 0.1
