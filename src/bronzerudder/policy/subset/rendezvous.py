"""Subset by rendezvous hashing within each failure domain."""

from __future__ import annotations

import math
from collections.abc import Sequence

import xxhash

from bronzerudder.policy.subset.api import Member, SubsetPolicy

DEFAULT_SIZE = 100
HASH_RANGE = 2**64


class RendezvousSubset(SubsetPolicy):
    """Chooses the members of each failure domain that hash highest with the entry's name.

    Whether a member is chosen depends only on the entry, the member and the order of hashes within
    its domain. A change of one member therefore changes at most one choice of an entry, except
    where the domains' shares round differently. The same fraction of each domain is chosen.

    Parameters
    ----------
    size : int
        Number of members chosen; pools up to this size are used completely.
    """

    def __init__(self, size: int = DEFAULT_SIZE) -> None:
        self._size = size

    def select(self, entry_id: str, members: Sequence[Member]) -> tuple[Member, ...]:
        """Choose the entry's members, sorted by name."""
        if len(members) <= self._size:
            return tuple(sorted(members))
        by_domain: dict[str, list[Member]] = {}
        for member in members:
            by_domain.setdefault(member.failure_domain, []).append(member)
        chosen: list[Member] = []
        for domain, count in self._allocate_by_domain(entry_id, by_domain).items():
            ranked = sorted(
                by_domain[domain],
                key=lambda member: rendezvous_hash(entry_id, member.name),
                reverse=True,
            )
            chosen.extend(ranked[:count])
        return tuple(sorted(chosen))

    def _allocate_by_domain(
        self, entry_id: str, by_domain: dict[str, list[Member]]
    ) -> dict[str, int]:
        total = sum(len(members) for members in by_domain.values())
        counts = {}
        priorities = []
        for domain, members in by_domain.items():
            counts[domain], remainder = divmod(len(members) * self._size, total)
            if remainder:
                # Weighted rendezvous: on average over entries, each domain gets its share.
                priorities.append((-math.log(_hash_to_unit(entry_id, domain)) / remainder, domain))
        unallocated = self._size - sum(counts.values())
        for _, domain in sorted(priorities)[:unallocated]:
            counts[domain] += 1
        return counts


def rendezvous_hash(entry_id: str, name: str) -> int:
    """Hash a pair of names, the same in every process."""
    return xxhash.xxh64_intdigest(f"{entry_id}\0{name}".encode())


def _hash_to_unit(entry_id: str, name: str) -> float:
    return (rendezvous_hash(entry_id, name) + 1) / (HASH_RANGE + 1)
