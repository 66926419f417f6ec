"""JSON documents of the platform's HTTP interface; binary values are base64-encoded."""

from __future__ import annotations

from typing import TypedDict


class ObjectDocument(TypedDict):
    """One stored object."""

    kind: str
    name: str
    version: int
    value: bytes


class ValueDocument(TypedDict):
    """Body of a write."""

    value: bytes


class VersionDocument(TypedDict):
    """Answer to a write."""

    version: int


class ListingDocument(TypedDict):
    """Answer to a listing."""

    objects: list[ObjectDocument]
    version: int


class ChangeDocument(TypedDict):
    """One write, or a deletion, which has no value."""

    kind: str
    name: str
    version: int
    value: bytes | None


class ChangeBatchDocument(TypedDict):
    """Answer to a watch."""

    changes: list[ChangeDocument]
    version: int
    truncated: bool


class InstanceDocument(TypedDict):
    """One instance; ``state`` is ``live`` or ``leaving``."""

    name: str
    role: str
    address: str
    failure_domain: str
    state: str


class ErrorDocument(TypedDict):
    """Answer to a call that failed; ``kind`` is a value of `StoreErrorKind`."""

    kind: str
    reason: str
