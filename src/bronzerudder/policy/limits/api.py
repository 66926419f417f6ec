"""Interface of a route limiter."""

from __future__ import annotations

import abc
import enum
from collections.abc import Sequence
from typing import NamedTuple


class RouteLimits(NamedTuple):
    """A route's limits for all entries together; None means no limit."""

    rate_rps: float | None = None
    concurrency: int | None = None


class RouteUse(NamedTuple):
    """A route's use as counted by one agent and reported to one entry.

    Parameters
    ----------
    total_rate, own_rate : float
        Requests per second accepted from all entries, and from the receiving entry.
    total_running, own_running : int
        Requests queued or running, of all entries and of the receiving entry.
    entries : int
        Entries connected to the agent.
    """

    total_rate: float
    own_rate: float
    total_running: int
    own_running: int
    entries: int


class RouteLimitKind(enum.Enum):
    """Which limit was reached."""

    RATE = "rate"
    CONCURRENCY = "concurrency"


class RouteLimited(NamedTuple):
    """The route is at its limit; nothing was sent.

    Parameters
    ----------
    kind : RouteLimitKind
        Which limit was reached.
    reason : str
        Human-readable cause.
    retry_after_s : float
        Delay in seconds after which to retry.
    """

    kind: RouteLimitKind
    reason: str
    retry_after_s: float


class RoutePermit(NamedTuple):
    """Permits one request; pass it to `RouteLimiter.release` when the request has ended."""

    route: str


class RouteLimiter(abc.ABC):
    """Enforces the limits of all routes at one entry."""

    @abc.abstractmethod
    def configure(self, route: str, limits: RouteLimits) -> None:
        """Set a route's limits; unchanged limits keep their state."""

    @abc.abstractmethod
    def acquire(self, route: str, now_s: float) -> RoutePermit | RouteLimited:
        """Allow one request, or return when to retry."""

    @abc.abstractmethod
    def release(self, permit: RoutePermit, now_s: float) -> None:
        """Return a permit."""

    @abc.abstractmethod
    def observe(self, agent: str, uses: Sequence[tuple[str, RouteUse]], now_s: float) -> None:
        """Record the use of each route that an agent reports."""

    @abc.abstractmethod
    def forget(self, agent: str, now_s: float) -> None:
        """Drop the counts of an agent that has left."""
