"""Decodes the operator's configuration and the entries of the list of backend servers.

The structs below have the platform's field names; a comment explains a field whose name misleads.
Times come in milliseconds and are converted to seconds.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from bronzerudder.gateway.tables import (
    BackendServer,
    Configuration,
    EngineParameters,
    RequestKind,
    Route,
    Service,
    ServiceShare,
    Workspace,
)
from bronzerudder.http1 import ServerLimits, parse_address
from bronzerudder.platform.decoding import Unreadable, decode_json
from bronzerudder.platform.errors import StoreError, StoreErrorKind

MS_PER_S = 1000.0
BITS_PER_BYTE = 8
MAX_SLOTS = 1_000_000
"""Far above any engine's; slots enter sums and products that must stay finite."""
MAX_TIME_MS = 2**53 - 1
"""Largest integer that every JSON decoder reads exactly."""
MAX_ID_CHARS = 200

_REQUEST_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAMING,
}
_LEAVING_BY_STATE = {"ready": False, "draining": True}


class _Share(msgspec.Struct):
    service: str
    # Relative to the other services of the route.
    weight: int = 1


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    # Latency objective, not a limit; for streams, of the first event.
    target_latency_ms: float = 1000.0
    # 0 is the most urgent.
    priority: int = 0
    # Used only if ``split`` is empty.
    service: str = ""
    split: list[_Share] = []
    max_attempts: int = 1
    # No API key is needed.
    public: bool = False
    # A stream may be resumed at another backend server.
    resumable: bool = False
    # Objective of the pause between two events of a stream.
    target_gap_ms: float = 0.0


class _Usual(msgspec.Struct):
    # Mean numbers of tokens of a request and its answer.
    prompt: float = 1.0
    answer: float = 1.0


class _Engine(msgspec.Struct):
    step_ms: float = 0.0
    # Added to the duration of a step for each request that is generating tokens.
    per_seq_ms: float = 0.0
    # Prompt tokens prefilled per second.
    read_per_s: float = 0.0
    usual: _Usual = msgspec.field(default_factory=_Usual)
    # Number of sets of layers; the layers of a set share one placement of experts.
    sets: int = 0
    # Experts per set.
    experts: int = 0
    # Slots per rank and set, not placements of a whole map.
    placements: int = 0
    # Experts per set that a rank may load for one change of the map.
    spare: int = 0
    # Size of the weights of one expert, in megabytes.
    expert_mb: float = 0.0
    # Bandwidth over which a rank loads experts, in megabits per second.
    link_mbps: float = 0.0


class _Service(msgspec.Struct):
    name: str
    max_conns: int = 0
    engine: _Engine | None = None


class _Workspace(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    # Overrides the priority of the route.
    priority: int | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Workspaces; None if requests need no key.
    tenants: list[_Workspace] | None = None


class _BackendServer(msgspec.Struct):
    service: str
    address: str
    state: str
    # Failure domain.
    zone: str = ""
    # Requests that it runs concurrently, not slots of experts.
    slots: Annotated[int, msgspec.Meta(le=MAX_SLOTS)] = 1
    # Unix time of its start, in milliseconds.
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)] = 0


def decode_configuration(value: bytes) -> Configuration | StoreError:
    """Decode one version of the configuration."""
    document = decode_json(value, _Configuration)
    if isinstance(document, Unreadable):
        reason = f"configuration cannot be decoded: {document.reason}"
        return StoreError(StoreErrorKind.INVALID, reason)
    try:
        routes = [_route(route) for route in document.routes]
    except KeyError as error:
        return StoreError(StoreErrorKind.INVALID, f"unknown kind of route: {error}")
    limits = document.limits
    return Configuration(
        document.version,
        {(route.host, route.prefix): route for route in routes},
        {service.name: _service(service) for service in document.services},
        _workspaces(document.tenants),
        ServerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / MS_PER_S,
            limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def decode_backend_server(instance_id: str, value: bytes) -> BackendServer | StoreError:
    """Decode an entry of the list; other writers may have stored entries of any form."""
    if not _is_usable_id(instance_id):
        # Requests name the id in a header.
        return StoreError(StoreErrorKind.INVALID, "its name is not a word of printable ASCII")
    document = decode_json(value, _BackendServer)
    if isinstance(document, Unreadable):
        return StoreError(StoreErrorKind.INVALID, document.reason)
    leaving = _LEAVING_BY_STATE.get(document.state)
    if leaving is None or parse_address(document.address) is None:
        reason = f"state {document.state!r}, address {document.address!r}"
        return StoreError(StoreErrorKind.INVALID, reason)
    return BackendServer(
        instance_id,
        document.service,
        document.address,
        document.zone,
        max(1, document.slots),
        leaving,
        document.born,
    )


def _is_usable_id(instance_id: str) -> bool:
    printable = instance_id.isascii() and instance_id.isprintable() and " " not in instance_id
    return printable and 0 < len(instance_id) <= MAX_ID_CHARS


def _route(route: _Route) -> Route:
    shares = tuple(ServiceShare(share.service, share.weight) for share in route.split)
    return Route(
        route.name,
        route.host.lower(),
        route.path_prefix,
        _REQUEST_KINDS[route.kind],
        route.timeout_ms / MS_PER_S,
        route.target_latency_ms / MS_PER_S,
        route.target_gap_ms / MS_PER_S,
        route.priority,
        shares or (ServiceShare(route.service, 1),),
        max(1, route.max_attempts),
        route.public,
        route.resumable,
    )


def _service(service: _Service) -> Service:
    engine = service.engine
    if engine is None:
        return Service(service.name, service.max_conns, None)
    parameters = EngineParameters(
        engine.step_ms / MS_PER_S,
        engine.per_seq_ms / MS_PER_S,
        engine.read_per_s,
        engine.usual.prompt,
        engine.usual.answer,
        engine.sets,
        engine.experts,
        engine.placements,
        engine.spare,
        _load_s(engine),
    )
    return Service(service.name, service.max_conns, parameters)


def _load_s(engine: _Engine) -> float:
    if engine.link_mbps <= 0.0:
        return 0.0
    return BITS_PER_BYTE * max(0.0, engine.expert_mb) / engine.link_mbps


def _workspaces(documents: list[_Workspace] | None) -> dict[str, Workspace] | None:
    if documents is None:
        return None
    by_key: dict[str, Workspace] = {}
    for document in documents:
        for key in document.api_keys:
            by_key[key] = Workspace(document.name, document.priority)
    return by_key
