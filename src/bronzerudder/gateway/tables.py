"""What a gateway knows of routes, services, workspaces and backend servers."""

from __future__ import annotations

import enum
from typing import NamedTuple

from bronzerudder.http1 import ServerLimits


class RequestKind(enum.Enum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


class ServiceShare(NamedTuple):
    """A service that a route sends to, and its share of the route's requests."""

    service: str
    weight: int


class Route(NamedTuple):
    """Which requests go where, and on what terms.

    Parameters
    ----------
    name : str
        For logs and metrics.
    host, prefix : str
        A request belongs to the route of its host with the longest prefix of its path.
    kind : RequestKind
        What may be repeated.
    timeout_s : float
        Longest time from the arrival of a request to the end of its answer.
    objective_s : float
        Time to the answer, for streams to the first event, within which it is worth most.
    gap_s : float
        Longest pause between the events of a stream that is on time.
    priority : int
        0 is the most urgent.
    shares : tuple of ServiceShare
        Services that serve it.
    max_attempts : int
        Backend servers that one request may be sent to.
    public : bool
        Whether no key is needed.
    resumable : bool
        Whether a stream may go on at another backend server after the last event received.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    objective_s: float
    gap_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    public: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run can be sent again."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


class EngineTerms(NamedTuple):
    """How fast the engines of a service work, and the shape of their expert maps.

    Parameters
    ----------
    step_s, step_per_request_s : float
        Time of a step, and what each running request adds to it.
    prompt_tokens_per_s : float
        Rate at which prompts are read.
    usual_prompt_tokens, usual_answer_tokens : float
        Means of the traffic.
    sets, experts, slots_per_rank, loads_per_change : int
        Sets of layers, experts in each, experts that a rank holds of each set, and how many of a
        set it may load for one change of map.
    """

    step_s: float
    step_per_request_s: float
    prompt_tokens_per_s: float
    usual_prompt_tokens: float
    usual_answer_tokens: float
    sets: int
    experts: int
    slots_per_rank: int
    loads_per_change: int
    expert_megabytes: float


class Service(NamedTuple):
    """A pool of backend servers; ``engine`` is None for plain services."""

    name: str
    max_connections: int
    engine: EngineTerms | None


class Workspace(NamedTuple):
    """A customer; ``priority`` goes before that of the route."""

    name: str
    priority: int | None


class Configuration(NamedTuple):
    """One version of the operator's configuration.

    Parameters
    ----------
    version : int
        Rises with every change.
    routes : dict
        Routes by host and prefix.
    services : dict
        Services by name.
    workspaces : dict or None
        Workspaces by key; None when requests need no key.
    limits : ServerLimits
        What callers may send.
    """

    version: int
    routes: dict[tuple[str, str], Route]
    services: dict[str, Service]
    workspaces: dict[str, Workspace] | None
    limits: ServerLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path; prefixes end with a slash."""
        end = len(path)
        while end > 0:
            slash = path.rfind("/", 0, end)
            if slash < 0:
                return None
            route = self.routes.get((host, path[: slash + 1]))
            if route is not None:
                return route
            end = slash
        return None


class BackendServer(NamedTuple):
    """A backend server as the platform lists it.

    Parameters
    ----------
    instance_id : str
        Names one start of it.
    service : str
        What it serves.
    address : str
        ``host:port``; used again by others after it has gone.
    failure_domain : str
        Where it runs.
    slots : int
        Requests that it runs at once.
    leaving : bool
        Whether it takes no new work.
    """

    instance_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
