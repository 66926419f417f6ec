"""What an agent's admission queue is asked, and what it answers."""

from __future__ import annotations

import abc
import enum
from typing import NamedTuple


class AdmissionRequest(NamedTuple):
    """A request that asks to run on the agent's backend server.

    Parameters
    ----------
    request_id : str
        Unique among the requests held by the queue; the attempt is part of it.
    workspace : str
        Whose share it counts against.
    tokens : int
        Estimated work.
    deadline_s : float
        Monotonic time by which the answer must be complete, in seconds.
    priority : int
        Higher ones go first within their workspace.
    weight : int
        The workspace's share against other workspaces.
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
    """The request has not run and will not run.

    Parameters
    ----------
    request_id : str
        The refused request.
    kind : AdmissionRefusalKind
        What the caller of the queue should act on.
    reason : str
        What a person should know.
    retry_after_s : float
        When it would stand a chance, in seconds.
    """

    request_id: str
    kind: AdmissionRefusalKind
    reason: str
    retry_after_s: float


class Queued(NamedTuple):
    """The request is held until `AdmissionQueue.next` returns it.

    Parameters
    ----------
    estimated_wait_s : float
        Expected time until it starts, in seconds.
    evicted : tuple of AdmissionRefusal
        Requests that were waiting and have been refused to make room.
    """

    estimated_wait_s: float
    evicted: tuple[AdmissionRefusal, ...] = ()


class AdmissionQueue(abc.ABC):
    """Orders the requests that wait for one backend server, and refuses hopeless ones.

    The agent calls `offer` for each request, then `next` until it returns None, after every
    offer and every end of a request; and `expire` at least every `EXPIRY_INTERVAL_S`.
    """

    @property
    @abc.abstractmethod
    def queued_requests(self) -> int:
        """Requests held and not started."""

    @property
    @abc.abstractmethod
    def running_requests(self) -> int:
        """Requests started and not finished."""

    @property
    @abc.abstractmethod
    def outstanding_tokens(self) -> int:
        """Work of all requests held or running."""

    @property
    @abc.abstractmethod
    def token_rate(self) -> float:
        """Tokens per second that the backend server has lately processed."""

    @abc.abstractmethod
    def estimated_wait_s(self, now_s: float) -> float:
        """Estimate the wait in seconds of a request offered now."""

    @abc.abstractmethod
    def is_stalled(self, now_s: float) -> bool:
        """Whether answers have begun and none has advanced for a while."""

    @abc.abstractmethod
    def offer(self, request: AdmissionRequest, now_s: float) -> Queued | AdmissionRefusal:
        """Take a request in, or refuse it at once."""

    @abc.abstractmethod
    def next(self, now_s: float) -> AdmissionRequest | None:
        """Start the next request, if the backend server has room and one waits."""

    @abc.abstractmethod
    def expire(self, now_s: float) -> tuple[AdmissionRefusal, ...]:
        """Refuse the requests that waited in vain."""

    @abc.abstractmethod
    def progressed(self, request_id: str, tokens: int, now_s: float) -> None:
        """Count `tokens` of a running request as processed."""

    @abc.abstractmethod
    def paused(self, request_id: str) -> None:
        """Note that a running request waits for its reader until it next progresses."""

    @abc.abstractmethod
    def finished(self, request_id: str, now_s: float) -> None:
        """Count a running request as ended."""

    @abc.abstractmethod
    def cancel(self, request_id: str, now_s: float) -> bool:
        """Remove a request that has not started; return whether it was held."""


EXPIRY_INTERVAL_S = 0.1
