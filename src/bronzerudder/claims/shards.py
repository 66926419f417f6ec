"""Assigns keys to shards, and shards to the agents that should record their claims.

Sending a shard's claims to one agent avoids conflicts between writers. At-most-once execution does
not depend on it: any agent may record a claim, and the conditional update lets one succeed.
"""

from __future__ import annotations

import functools
from collections.abc import Iterable

import xxhash

SHARDS_PER_POOL = 3
_CACHED_ASSIGNMENTS = 256


def shard_of(digest: bytes) -> int:
    """Shard of a key; the number of shards is part of the stored format and never changes."""
    return int.from_bytes(digest[:8], "big") % SHARDS_PER_POOL


def preferred_agents(pool: str, agents: Iterable[str]) -> tuple[str, ...]:
    """Preferred agent of each shard of a pool, by rendezvous hashing with bounded load.

    Parameters
    ----------
    pool : str
        Name of the pool.
    agents : iterable of str
        Names of the pool's live agents, in any order.

    Returns
    -------
    tuple of str
        One name for each shard, with the counts of any two names differing by at most one; empty
        when there are no agents.
    """
    return _assign(pool, tuple(sorted(set(agents))))


@functools.lru_cache(maxsize=_CACHED_ASSIGNMENTS)
def _assign(pool: str, names: tuple[str, ...]) -> tuple[str, ...]:
    if not names:
        return ()
    limit = -(-SHARDS_PER_POOL // len(names))
    counts = dict.fromkeys(names, 0)
    chosen = []
    for shard in range(SHARDS_PER_POOL):
        free = [name for name in names if counts[name] < limit]
        best = max(free, key=lambda name: _weight(pool, shard, name))
        counts[best] += 1
        chosen.append(best)
    return tuple(chosen)


def _weight(pool: str, shard: int, agent: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{pool}\0{shard}\0{agent}".encode())
