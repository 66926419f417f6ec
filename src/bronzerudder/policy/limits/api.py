"""What a limiter of a route is asked, and what it answers."""

from __future__ import annotations

import abc
import enum
from collections.abc import Sequence
from typing import NamedTuple


class RouteLimits(NamedTuple):
    """A route's limits over all entries together; None means no limit."""

    rate_rps: float | None = None
    concurrency: int | None = None


class RouteUse(NamedTuple):
    """A route's use as one agent has counted it.

    Parameters
    ----------
    total_rate, own_rate : float
        Requests per second accepted from all entries, and from the entry that is told.
    total_running, own_running : int
        Requests held or running, of all entries and of the entry that is told.
    entries : int
        Entries connected to the agent.
    """

    total_rate: float
    own_rate: float
    total_running: int
    own_running: int
    entries: int


class RouteLimitKind(enum.Enum):
    """Which limit was met."""

    RATE = "rate"
    CONCURRENCY = "concurrency"


class RouteLimited(NamedTuple):
    """The route is at its limit; nothing was sent.

    Parameters
    ----------
    kind : RouteLimitKind
        Which limit was met.
    reason : str
        What a person should know.
    retry_after_s : float
        When to come back, in seconds.
    """

    kind: RouteLimitKind
    reason: str
    retry_after_s: float


class RoutePermit(NamedTuple):
    """Allows one request; give it back with `RouteLimiter.release` when the request has ended."""

    route: str


class RouteLimiter(abc.ABC):
    """Holds the limits of all routes at one entry."""

    @abc.abstractmethod
    def configure(self, route: str, limits: RouteLimits) -> None:
        """Set a route's limits; unchanged limits keep their state."""

    @abc.abstractmethod
    def acquire(self, route: str, now_s: float) -> RoutePermit | RouteLimited:
        """Allow one request, or say when to come back."""

    @abc.abstractmethod
    def release(self, permit: RoutePermit, now_s: float) -> None:
        """Give a permit back."""

    @abc.abstractmethod
    def observe(self, agent: str, uses: Sequence[tuple[str, RouteUse]], now_s: float) -> None:
        """Take in what an agent has counted, for each route."""

    @abc.abstractmethod
    def forget(self, agent: str, now_s: float) -> None:
        """Drop the counts of an agent that is gone."""
