"""Routing policies, which pick a backend server for each request."""

from __future__ import annotations

from bronzerudder.policy.routing.api import (
    NoCandidate,
    NoCandidateKind,
    RoutedRequest,
    RoutingPolicy,
)
from bronzerudder.policy.routing.breaker import Breaker
from bronzerudder.policy.routing.candidate import Assignment, Candidate, LoadReport
from bronzerudder.policy.routing.free_slots import (
    FreeSlotRouting,
    has_free_slot,
    slots_in_use,
)
from bronzerudder.policy.routing.least_outstanding import LeastOutstandingRouting
from bronzerudder.policy.routing.outlier import OutlierBreaker
from bronzerudder.policy.routing.random_choice import RandomRouting
from bronzerudder.policy.routing.send_gate import OPEN_GATE, OpenGate, SendGate
from bronzerudder.policy.routing.token_load import TokenLoadParameters, TokenLoadRouting

__all__ = [
    "Breaker",
    "Candidate",
    "FreeSlotRouting",
    "LeastOutstandingRouting",
    "LoadReport",
    "NoCandidate",
    "NoCandidateKind",
    "OutlierBreaker",
    "Assignment",
    "RandomRouting",
    "RoutedRequest",
    "RoutingPolicy",
    "OPEN_GATE",
    "OpenGate",
    "SendGate",
    "TokenLoadRouting",
    "TokenLoadParameters",
    "has_free_slot",
    "slots_in_use",
]
