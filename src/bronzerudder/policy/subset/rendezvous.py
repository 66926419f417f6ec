"""Our subset: rendezvous hashing within each failure domain."""

from __future__ import annotations

import math
from collections.abc import Sequence

import xxhash

from bronzerudder.policy.subset.api import Member, SubsetPolicy

DEFAULT_SIZE = 100
HASH_RANGE = 2**64


class RendezvousSubset(SubsetPolicy):
    """Chooses the members of each failure domain that hash highest with the entry's name.

    Whether a member is chosen depends on the entry, the member and its rank within its domain
    only, so a change of one member changes at most one choice of an entry, besides where the
    domains' parts are rounded differently. All domains give the same part of their members.

    Parameters
    ----------
    size : int
        Members chosen; pools up to this size are used whole.
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
        for domain, count in self._divide(entry_id, by_domain).items():
            ranked = sorted(
                by_domain[domain], key=lambda member: _hash(entry_id, member.name), reverse=True
            )
            chosen.extend(ranked[:count])
        return tuple(sorted(chosen))

    def _divide(self, entry_id: str, by_domain: dict[str, list[Member]]) -> dict[str, int]:
        total = sum(len(members) for members in by_domain.values())
        counts = {}
        orders = []
        for domain, members in by_domain.items():
            counts[domain], remainder = divmod(len(members) * self._size, total)
            if remainder:
                # Weighted rendezvous, so that all domains get their part over all entries.
                orders.append((-math.log(_hash_to_unit(entry_id, domain)) / remainder, domain))
        left = self._size - sum(counts.values())
        for _, domain in sorted(orders)[:left]:
            counts[domain] += 1
        return counts


def _hash(entry_id: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{entry_id}\0{name}".encode())


def _hash_to_unit(entry_id: str, name: str) -> float:
    return (_hash(entry_id, name) + 1) / (HASH_RANGE + 1)
