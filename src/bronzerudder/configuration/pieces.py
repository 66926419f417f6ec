"""Writes, reads and deletes the pieces that hold large tables on the platform."""

from __future__ import annotations

from collections.abc import Iterable

import anyio

from bronzerudder.configuration.documents import PieceDocument
from bronzerudder.platform import ABSENT_VERSION, ObjectStore, StoreError, StoreErrorKind

CONCURRENT_CALLS = 8


async def write_piece(
    store: ObjectStore, kind: str, name: str, data: bytes
) -> PieceDocument | StoreError:
    """Write a piece that may be there already; a lost answer is settled by reading back."""
    version = await store.put(kind, name, data, ABSENT_VERSION)
    if isinstance(version, int):
        return PieceDocument(name=name, version=version)
    if version.kind not in (StoreErrorKind.CONFLICT, StoreErrorKind.OUTCOME_UNKNOWN):
        return version
    stored = await store.get(kind, name)
    if isinstance(stored, StoreError):
        return stored
    return PieceDocument(name=name, version=stored.version)


async def write_pieces(
    store: ObjectStore, kind: str, named: list[tuple[str, bytes]]
) -> list[PieceDocument] | StoreError:
    """Write several pieces, a few at a time; return them in order, or the first failure."""
    results: list[PieceDocument | StoreError | None] = [None] * len(named)
    limiter = anyio.CapacityLimiter(CONCURRENT_CALLS)

    async def write(place: int) -> None:
        async with limiter:
            results[place] = await write_piece(store, kind, *named[place])

    async with anyio.create_task_group() as tasks:
        for place in range(len(named)):
            tasks.start_soon(write, place)
    return _all_or_failure(results)


async def read_pieces(
    store: ObjectStore, kind: str, pieces: list[PieceDocument]
) -> list[bytes] | StoreError:
    """Read several pieces, a few at a time; return them in order, or the first failure."""
    results: list[bytes | StoreError | None] = [None] * len(pieces)
    limiter = anyio.CapacityLimiter(CONCURRENT_CALLS)

    async def read(place: int) -> None:
        async with limiter:
            stored = await store.get(kind, pieces[place]["name"])
        results[place] = stored if isinstance(stored, StoreError) else stored.value

    async with anyio.create_task_group() as tasks:
        for place in range(len(pieces)):
            tasks.start_soon(read, place)
    return _all_or_failure(results)


async def delete_pieces(store: ObjectStore, kind: str, pieces: Iterable[PieceDocument]) -> None:
    """Delete pieces that nothing names; a failure leaves one behind and is not retried."""
    for piece in pieces:
        await store.delete(kind, piece["name"], piece["version"])


def _all_or_failure(results: list) -> list | StoreError:
    for result in results:
        if isinstance(result, StoreError):
            return result
    return results
