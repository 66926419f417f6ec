"""Writes, reads and deletes the immutable objects (parts, logs, manifests) on the platform."""

from __future__ import annotations

from collections.abc import Iterable

import anyio

from bronzerudder.configuration.documents import ObjectReference
from bronzerudder.platform import ABSENT_VERSION, ObjectStore, StoreError, StoreErrorKind

CONCURRENT_CALLS = 8


async def write_object(
    store: ObjectStore, kind: str, name: str, data: bytes
) -> ObjectReference | StoreError:
    """Write an object that may exist already; a lost response is resolved by reading it back."""
    version = await store.put(kind, name, data, ABSENT_VERSION)
    if isinstance(version, int):
        return ObjectReference(name=name, version=version)
    if version.kind not in (StoreErrorKind.CONFLICT, StoreErrorKind.OUTCOME_UNKNOWN):
        return version
    stored = await store.get(kind, name)
    if isinstance(stored, StoreError):
        return stored
    return ObjectReference(name=name, version=stored.version)


async def write_objects(
    store: ObjectStore, kind: str, named_data: list[tuple[str, bytes]]
) -> list[ObjectReference] | StoreError:
    """Write objects, a few at a time; return references in order, or the first error."""
    results: list[ObjectReference | StoreError | None] = [None] * len(named_data)
    limiter = anyio.CapacityLimiter(CONCURRENT_CALLS)

    async def write(index: int) -> None:
        async with limiter:
            results[index] = await write_object(store, kind, *named_data[index])

    async with anyio.create_task_group() as tasks:
        for index in range(len(named_data)):
            tasks.start_soon(write, index)
    return _all_or_failure(results)


async def read_objects(
    store: ObjectStore, kind: str, references: list[ObjectReference]
) -> list[bytes] | StoreError:
    """Read objects, a few at a time; return contents in order, or the first error."""
    results: list[bytes | StoreError | None] = [None] * len(references)
    limiter = anyio.CapacityLimiter(CONCURRENT_CALLS)

    async def read(index: int) -> None:
        async with limiter:
            stored = await store.get(kind, references[index]["name"])
        results[index] = stored if isinstance(stored, StoreError) else stored.value

    async with anyio.create_task_group() as tasks:
        for index in range(len(references)):
            tasks.start_soon(read, index)
    return _all_or_failure(results)


async def delete_objects(
    store: ObjectStore, kind: str, references: Iterable[ObjectReference]
) -> None:
    """Delete unreferenced objects; a failure leaves one behind and is not retried."""
    for reference in references:
        await store.delete(kind, reference["name"], reference["version"])


def _all_or_failure(results: list) -> list | StoreError:
    for result in results:
        if isinstance(result, StoreError):
            return result
    return results
