"""Data types for routes, services, workspaces and backend servers."""

from __future__ import annotations

import enum
from typing import NamedTuple

from bronzerudder.http1 import ServerLimits


class RequestKind(enum.Enum):
    """Whether and how requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


class ServiceShare(NamedTuple):
    """A service that a route sends to, and its share of the route's requests."""

    service: str
    weight: int


class Route(NamedTuple):
    """A route: which requests it matches, where they go, and their limits.

    Parameters
    ----------
    name : str
        For logs and metrics.
    host, prefix : str
        A request matches the route of its host with the longest prefix of its path.
    kind : RequestKind
        Whether and how its requests may be repeated.
    timeout_s : float
        Limit of the time from the arrival of a request to the end of its answer.
    objective_s : float
        Target for the time to the answer, for streams to the first event.
    gap_s : float
        Target for the longest pause between events of a stream.
    priority : int
        0 is the most urgent.
    shares : tuple of ServiceShare
        Services that serve it, with their weights.
    max_attempts : int
        Limit of the attempts that may have run a request; rejected attempts do not count.
    public : bool
        Whether no key is needed.
    resumable : bool
        Whether a stream may be resumed at another backend server after its last event.
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


class EngineParameters(NamedTuple):
    """Cost model of a service's engines, and dimensions of their expert maps.

    Parameters
    ----------
    step_s, step_per_request_s : float
        Duration of a step, and the time that each running request adds to it.
    prompt_tokens_per_s : float
        Rate at which prompts are processed.
    typical_prompt_tokens, typical_answer_tokens : float
        Mean lengths of prompts and answers.
    sets, experts, slots_per_rank, loads_per_change : int
        Sets of layers, experts per set, experts of a set that a rank holds, and experts of a set
        that a rank may load for one change of the map.
    expert_load_s : float
        Time to load the weights of one expert; 0 if not known.
    """

    step_s: float
    step_per_request_s: float
    prompt_tokens_per_s: float
    typical_prompt_tokens: float
    typical_answer_tokens: float
    sets: int
    experts: int
    slots_per_rank: int
    loads_per_change: int
    expert_load_s: float


class Service(NamedTuple):
    """A pool of backend servers; ``engine`` is None for plain services."""

    name: str
    max_connections: int
    engine: EngineParameters | None


class Workspace(NamedTuple):
    """Owner of API keys; ``priority`` overrides that of the route unless None."""

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
        Limits of callers' requests.
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
        Identifies one start of the backend server.
    service : str
        Name of its service.
    address : str
        ``host:port``; may be reused by another backend server later.
    failure_domain : str
        Failure domain that it runs in.
    slots : int
        Requests that it runs concurrently.
    leaving : bool
        Whether it accepts no new requests.
    started_at_ms : int
        Unix time of its start by its own clock; 0 if unknown. Differs when a backend server starts
        again under the same id.
    """

    instance_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    started_at_ms: int = 0

    @property
    def incarnation(self) -> str:
        """Identifies one start even if the instance id is used again."""
        if not self.started_at_ms:
            return self.instance_id
        return f"{self.instance_id}@{self.started_at_ms}"
