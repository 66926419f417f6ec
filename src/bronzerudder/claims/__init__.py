"""Runs each request that has an idempotency key at most once.

An agent claims the key before it starts the request. Claims are recorded by conditional updates of
objects in the platform's store, so that two agents that receive the same request cannot both start
it.
"""

from __future__ import annotations

from bronzerudder.claims.api import (
    AlreadyFinished,
    ClaimOutcome,
    ClaimRegister,
    Granted,
    Released,
    Running,
    StoredAnswer,
    Unknown,
)
from bronzerudder.claims.errors import ClaimError, ClaimErrorKind
from bronzerudder.claims.keys import ClaimKey, key_digest, make_claim_key
from bronzerudder.claims.register import StoredClaimRegister
from bronzerudder.claims.settings import ClaimSettings
from bronzerudder.claims.shards import SHARDS_PER_POOL, preferred_agents, shard_of

__all__ = [
    "SHARDS_PER_POOL",
    "AlreadyFinished",
    "ClaimError",
    "ClaimErrorKind",
    "ClaimKey",
    "ClaimOutcome",
    "ClaimRegister",
    "ClaimSettings",
    "Granted",
    "Released",
    "Running",
    "StoredAnswer",
    "StoredClaimRegister",
    "Unknown",
    "key_digest",
    "make_claim_key",
    "preferred_agents",
    "shard_of",
]
