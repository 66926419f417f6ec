"""The platform as a peer: object API and instance list."""

from __future__ import annotations

from bronzerudder.platform.api import (
    ABSENT_VERSION,
    MAX_VALUE_BYTES,
    Change,
    ChangeBatch,
    Instance,
    InstanceList,
    InstanceState,
    Listing,
    ObjectStore,
    StoredObject,
)
from bronzerudder.platform.errors import StoreError, StoreErrorKind

__all__ = [
    "ABSENT_VERSION",
    "MAX_VALUE_BYTES",
    "Change",
    "ChangeBatch",
    "Instance",
    "InstanceList",
    "InstanceState",
    "Listing",
    "ObjectStore",
    "StoreError",
    "StoreErrorKind",
    "StoredObject",
]
