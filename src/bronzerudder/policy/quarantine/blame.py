"""Finds who accounts for crashes."""

from __future__ import annotations

import itertools
from collections.abc import Mapping

MOST_CANDIDATES = 12


def find_culprits(evidence: Mapping[str, frozenset[str]]) -> frozenset[str]:
    """Find the fingerprints that account for all repeated crashes.

    Only fingerprints that were in flight at two crashes or more are candidates. Of these, the
    smallest sets that together cover every crash that any candidate was in flight at are
    culprits; where several sets are equally small, nothing tells them apart, and all are.

    Parameters
    ----------
    evidence : mapping
        Crashes by fingerprint.

    Returns
    -------
    frozenset of str
        Culprits; every candidate when there are more than `MOST_CANDIDATES`.
    """
    candidates = sorted(name for name, crashes in evidence.items() if len(crashes) > 1)
    if not candidates or len(candidates) > MOST_CANDIDATES:
        return frozenset(candidates)
    to_cover = frozenset().union(*(evidence[name] for name in candidates))
    for size in range(1, len(candidates) + 1):
        culprits: set[str] = set()
        for chosen in itertools.combinations(candidates, size):
            if to_cover <= frozenset().union(*(evidence[name] for name in chosen)):
                culprits.update(chosen)
        if culprits:
            return frozenset(culprits)
    return frozenset(candidates)
