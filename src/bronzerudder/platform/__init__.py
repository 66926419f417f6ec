"""Adapter to the platform: its object store, instance list, configuration, headers and ranks.

It decodes the platform's names once, into types with the project's terms.
"""

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
